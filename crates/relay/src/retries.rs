//! How many sends beyond the first an instance may add.

use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

use celerypond_types::ServiceName;
use tokio::time::Instant;

use crate::Bounds;

/// The part of the allowed share and slack that is used. Instances that have just started know too
/// few others, and divide the slack among too few.
const MARGIN: f64 = 0.85;
/// The instances among which the slack is divided at least; one that has just started knows of none.
const INSTANCES_LEAST: usize = 8;
/// The parts of a window that are counted on their own.
const SLICES: u32 = 20;

/// How many sends beyond the first an instance may add to each service.
///
/// The load it answers: many engines die, streams are sent again, and what is sent again is refused
/// and sent once more. All instances together may add a share of a service's requests and a slack
/// in any window. Each instance counts its own requests and repeats over a sliding window, so that
/// the sums stay below the bound whichever window is looked at, and takes an equal part of the
/// slack. Services are counted apart: a plain service has many more requests than engines have,
/// and would allow their repeats.
///
/// # Examples
///
/// ```
/// use celerypond_relay::{Bounds, Retries};
/// use celerypond_types::ServiceName;
/// use tokio::time::Instant;
///
/// let bounds = Bounds { retry_ratio: 0.5, retry_slack: 0.0, ..Bounds::default() };
/// let mut retries = Retries::new(&bounds);
/// let (service, now) = (ServiceName::new("writer"), Instant::now());
/// assert!(!retries.take(&service, 7, now));
/// (0..4).for_each(|_| retries.requested(&service, now));
/// assert!(retries.take(&service, 7, now));
/// assert!(!retries.take(&service, 7, now));
/// ```
#[derive(Clone, Debug)]
pub struct Retries {
    /// Repeats allowed for each request.
    ratio: f64,
    /// Repeats allowed beyond that, over all instances.
    slack: f64,
    window: Duration,
    services: HashMap<ServiceName, Counts>,
}

/// What was sent to a service, oldest first.
type Counts = VecDeque<Slice>;

/// What was sent within a part of a window.
#[derive(Clone, Copy, Debug)]
struct Slice {
    start: Instant,
    requests: u32,
    repeats: u32,
}

impl Retries {
    /// Has sent nothing yet.
    pub fn new(bounds: &Bounds) -> Self {
        Self {
            ratio: bounds.retry_ratio * MARGIN,
            slack: bounds.retry_slack * MARGIN,
            window: bounds.retry_window,
            services: HashMap::new(),
        }
    }

    /// Counts a request of a caller for a service.
    pub fn requested(&mut self, service: &ServiceName, now: Instant) {
        self.slice(service, now).requests += 1;
    }

    /// Takes one more send, unless too many were taken within the window; `instances` is how many
    /// share the slack.
    pub fn take(&mut self, service: &ServiceName, instances: usize, now: Instant) -> bool {
        let slack = self.slack / instances.max(INSTANCES_LEAST) as f64;
        let ratio = self.ratio;
        self.slice(service, now);
        let Some(counts) = self.services.get_mut(service) else {
            return false;
        };
        let requests: u32 = counts.iter().map(|slice| slice.requests).sum();
        let repeats: u32 = counts.iter().map(|slice| slice.repeats).sum();
        let allowed = f64::from(requests) * ratio + slack;
        let is_allowed = f64::from(repeats + 1) <= allowed;
        if let (true, Some(last)) = (is_allowed, counts.back_mut()) {
            last.repeats += 1;
        }
        is_allowed
    }

    /// Returns the part of the window that `now` is in, and drops those that have left it.
    fn slice(&mut self, service: &ServiceName, now: Instant) -> &mut Slice {
        let step = self.window / SLICES;
        // What was sent last in a part leaves the window a step after what was sent first.
        let kept = self.window + step;
        let counts = self.services.entry(service.clone()).or_default();
        while counts
            .front()
            .is_some_and(|slice| now.saturating_duration_since(slice.start) > kept)
        {
            counts.pop_front();
        }
        let is_over = |slice: &Slice| now.saturating_duration_since(slice.start) >= step;
        if counts.back().is_none_or(is_over) {
            counts.push_back(Slice {
                start: now,
                requests: 0,
                repeats: 0,
            });
        }
        let last = counts.len() - 1;
        &mut counts[last]
    }
}
