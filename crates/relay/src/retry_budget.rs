//! How many sends beyond the first an instance may add.

use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

use celerypond_types::ServiceName;
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use crate::Bounds;

/// The part of the allowed share and slack that is used. Instances that have just started know too
/// few others, and divide the slack among too few.
const BUDGET_SHARE: f64 = 0.85;
/// The instances among which the slack is divided at least; one that has just started knows of none.
const MIN_INSTANCES: usize = 8;
/// The parts of a window that are counted on their own.
const SLICES_PER_WINDOW: u32 = 20;
/// How long an instance takes no more than its part of what is left: what others took meanwhile may not
/// be known yet. Counts go with the lists of streams, which come within a quarter of a second.
const REPORT_DELAY: Duration = Duration::from_millis(500);

/// What an instance sent to a service within the window.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SendCounts {
    /// The hash of the service's name.
    pub service: u64,
    /// Requests of callers.
    pub requests: u32,
    /// Sends beyond the first of a request.
    pub repeats: u32,
}

/// How many sends beyond the first an instance may add to each service.
///
/// The load it answers: many engines die, streams are sent again, and what is sent again is refused
/// and sent once more. All instances together may add a share of a service's requests and a slack
/// in any window. Each instance counts its own requests and repeats over a sliding window, and tells
/// the others, so that all use one bound: where a few instances have most of the lost streams, their
/// equal parts would not do, and lost streams would break for want of them. In the time in which others
/// may not know of it yet an instance takes no more than its part of what is left, so that together they
/// do not take it twice. An instance that hears of no other one has its equal part. Services are counted apart: a plain service has many more
/// requests than engines have, and would allow their repeats.
///
/// # Examples
///
/// ```
/// use celerypond_relay::{Bounds, RetryBudget};
/// use celerypond_types::ServiceName;
/// use tokio::time::Instant;
///
/// let bounds = Bounds { retry_ratio: 0.5, retry_slack: 0.0, ..Bounds::default() };
/// let mut budget = RetryBudget::new(&bounds);
/// let (service, now) = (ServiceName::new("writer"), Instant::now());
/// assert!(!budget.try_spend(&service, 7, now));
/// (0..4).for_each(|_| budget.record_request(&service, now));
/// assert!(budget.try_spend(&service, 7, now));
/// assert!(!budget.try_spend(&service, 7, now));
/// ```
#[derive(Clone, Debug)]
pub struct RetryBudget {
    /// Repeats allowed for each request.
    ratio: f64,
    /// Repeats allowed beyond that, over all instances.
    slack: f64,
    window: Duration,
    services: HashMap<ServiceName, Counts>,
    /// What other instances told, by their run. It counts for a whole window, also when its instance is
    /// gone: what it sent was sent.
    peers: HashMap<u64, (Vec<SendCounts>, Instant)>,
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

impl RetryBudget {
    /// Has sent nothing yet.
    pub fn new(bounds: &Bounds) -> Self {
        Self {
            ratio: bounds.retry_ratio * BUDGET_SHARE,
            slack: bounds.retry_slack * BUDGET_SHARE,
            window: bounds.retry_window,
            services: HashMap::new(),
            peers: HashMap::new(),
        }
    }

    /// Counts a request of a caller for a service.
    pub fn record_request(&mut self, service: &ServiceName, now: Instant) {
        self.slice(service, now).requests += 1;
    }

    /// Returns what this instance sent within the window, for the others.
    pub fn sends(&mut self, now: Instant) -> Vec<SendCounts> {
        let services: Vec<ServiceName> = self.services.keys().cloned().collect();
        let sends = services.iter().map(|service| {
            self.slice(service, now);
            self.own(service)
        });
        sends.collect()
    }

    /// Takes in what another instance sent within the window.
    pub fn merge(&mut self, origin: u64, sends: Vec<SendCounts>, now: Instant) {
        let window = self.window;
        self.peers.insert(origin, (sends, now));
        self.peers
            .retain(|_, (_, at)| now.saturating_duration_since(*at) < window);
    }

    /// Takes one more send, unless too many were taken within the window; `instances` is how many
    /// share the slack.
    pub fn try_spend(&mut self, service: &ServiceName, instances: usize, now: Instant) -> bool {
        let is_allowed = self.allows(service, instances, now);
        if is_allowed {
            self.slice(service, now).repeats += 1;
        }
        is_allowed
    }

    /// Returns whether one more send would be taken now.
    pub fn allows(&mut self, service: &ServiceName, instances: usize, now: Instant) -> bool {
        self.slice(service, now);
        let own = self.own(service);
        let instances = instances.max(MIN_INSTANCES);
        let known = (self.peers.len() + 1).min(instances);
        let slack = self.slack * known as f64 / instances as f64;
        let (requests, repeats) = self.all(own);
        let left = f64::from(requests) * self.ratio + slack - f64::from(repeats);
        let Some(counts) = self.services.get(service) else {
            return false;
        };
        // A part counts while any of it is so late.
        let late = REPORT_DELAY + self.window / SLICES_PER_WINDOW;
        let is_late = |slice: &&Slice| now.saturating_duration_since(slice.start) < late;
        let unknown = counts.iter().filter(is_late);
        let unknown = f64::from(unknown.map(|slice| slice.repeats).sum::<u32>());
        let part = (left + unknown) / known as f64;
        left >= 1.0 && unknown + 1.0 <= part
    }

    fn own(&self, service: &ServiceName) -> SendCounts {
        let slices = self.services.get(service).into_iter().flatten();
        let mut own = SendCounts {
            service: celerypond_route::hash(service.as_str().as_bytes()),
            ..SendCounts::default()
        };
        for slice in slices {
            own.requests += slice.requests;
            own.repeats += slice.repeats;
        }
        own
    }

    /// Returns the requests and repeats of all instances that are known.
    fn all(&self, own: SendCounts) -> (u32, u32) {
        let peers = self.peers.values().flat_map(|(sends, _)| sends);
        let peers = peers.filter(|sends| sends.service == own.service);
        peers.fold((own.requests, own.repeats), |(requests, repeats), sends| {
            (requests + sends.requests, repeats + sends.repeats)
        })
    }

    /// Returns the part of the window that `now` is in, and drops those that have left it.
    fn slice(&mut self, service: &ServiceName, now: Instant) -> &mut Slice {
        let step = self.window / SLICES_PER_WINDOW;
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
