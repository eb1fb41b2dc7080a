//! The budget for sending requests more than once.

use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

use celerypond_types::ServiceName;
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use crate::{target::service_hash, Bounds, Urgency};

/// The share of the allowed ratio and slack that is used. Instances that have just started know too
/// few others and divide the slack by too small a number.
const BUDGET_SHARE: f64 = 0.85;
/// The minimum number by which the slack is divided; an instance that has just started knows of no
/// others.
const MIN_INSTANCES: usize = 8;
/// The number of slices of the window that are counted separately.
const SLICES_PER_WINDOW: u32 = 20;
/// The share of the budget that is kept for requests that have lost their run. If all engines are
/// silent at once, requests whose runs still work would otherwise spend it all.
const RESERVED_SHARE: f64 = 0.5;
/// The share of the budget that is kept for the most urgent requests.
const URGENT_SHARE: f64 = 0.25;
/// The time in which other instances may not know yet what was spent. Counts are sent with the
/// lists of streams, which arrive within a quarter of a second.
const REPORT_DELAY: Duration = Duration::from_millis(500);

/// What an instance sent to a service within the window.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SendCounts {
    /// The hash of the service's name.
    pub service: u64,
    /// The number of requests of callers.
    pub requests: u32,
    /// The number of times that requests were sent again.
    pub repeats: u32,
}

/// The budget for sending requests of each service more than once.
///
/// When many engines die, streams are sent again, and those that are refused are sent once more.
/// All instances together may repeat a share of a service's requests, plus a slack, within any
/// window. Each instance counts its own requests and repeats over a sliding window and reports them
/// to the others, so that there is one common budget. Equal shares per instance would not be enough
/// if a few instances have most of the lost streams, which would then fail. As reports are delayed,
/// an instance spends no more than its share of the remaining budget within that delay, so that
/// instances do not spend the same budget twice. An instance that hears of no other one has its
/// equal share. Services are counted separately: plain services get many more requests than
/// engines, and would allow too many repeats for engines.
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
    /// The allowed repeats per request.
    ratio: f64,
    /// The allowed repeats beyond that, over all instances.
    slack: f64,
    window: Duration,
    services: HashMap<ServiceName, Counts>,
    /// The reports of other instances by origin. They count for a whole window even if the instance
    /// is gone, as its requests were sent nevertheless.
    peers: HashMap<u64, (Vec<SendCounts>, Instant)>,
}

/// The counts of a service by slice, oldest first.
type Counts = VecDeque<Slice>;

/// The counts of a part of the window.
#[derive(Clone, Copy, Debug)]
struct Slice {
    start: Instant,
    requests: u32,
    repeats: u32,
}

impl RetryBudget {
    /// Creates a budget of which nothing was spent.
    pub fn new(bounds: &Bounds) -> Self {
        Self {
            ratio: bounds.retry_ratio * BUDGET_SHARE,
            slack: bounds.retry_slack * BUDGET_SHARE,
            window: bounds.retry_window,
            services: HashMap::new(),
            peers: HashMap::new(),
        }
    }

    /// Counts a caller's request for a service.
    pub fn record_request(&mut self, service: &ServiceName, now: Instant) {
        self.slice(service, now).requests += 1;
    }

    /// Returns what this instance sent within the window, to be reported to other instances.
    pub fn sends(&mut self, now: Instant) -> Vec<SendCounts> {
        let services: Vec<ServiceName> = self.services.keys().cloned().collect();
        let sends = services.iter().map(|service| {
            self.slice(service, now);
            self.own_counts(service)
        });
        sends.collect()
    }

    /// Merges the report of another instance.
    pub fn merge(&mut self, origin: u64, sends: Vec<SendCounts>, now: Instant) {
        let window = self.window;
        self.peers.insert(origin, (sends, now));
        self.peers
            .retain(|_, (_, at)| now.saturating_duration_since(*at) < window);
    }

    /// Spends one repeat if the budget allows it; `instances` is the number of instances that share
    /// the slack.
    pub fn try_spend(&mut self, service: &ServiceName, instances: usize, now: Instant) -> bool {
        self.spend_above(0.0, service, instances, now)
    }

    /// Spends one repeat of a request whose run may still complete, if enough of the budget remains
    /// for requests that have lost theirs.
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
    /// (0..6).for_each(|_| budget.record_request(&service, now));
    /// assert!(budget.try_spend_spare(&service, 7, now));
    /// assert!(!budget.try_spend_spare(&service, 7, now));
    /// assert!(budget.try_spend(&service, 7, now));
    /// ```
    pub fn try_spend_spare(
        &mut self,
        service: &ServiceName,
        instances: usize,
        now: Instant,
    ) -> bool {
        self.spend_above(RESERVED_SHARE, service, instances, now)
    }

    /// Spends one repeat of a request with this urgency if the budget allows it.
    ///
    /// A part of the budget is kept for the most urgent requests: during a burst of less urgent ones,
    /// these have most of the streams that move or are sent again, and would spend it all.
    ///
    /// # Examples
    ///
    /// ```
    /// use celerypond_relay::{Bounds, RetryBudget, Urgency};
    /// use celerypond_types::ServiceName;
    /// use tokio::time::Instant;
    ///
    /// let bounds = Bounds { retry_ratio: 0.5, retry_slack: 0.0, ..Bounds::default() };
    /// let mut budget = RetryBudget::new(&bounds);
    /// let (service, now) = (ServiceName::new("writer"), Instant::now());
    /// (0..6).for_each(|_| budget.record_request(&service, now));
    /// let (urgent, other) = (Some(Urgency::new(0)), Some(Urgency::new(1)));
    /// assert!(budget.try_spend_ranked(other, &service, 7, now));
    /// assert!(!budget.try_spend_ranked(other, &service, 7, now));
    /// assert!(budget.try_spend_ranked(urgent, &service, 7, now));
    /// ```
    pub fn try_spend_ranked(
        &mut self,
        urgency: Option<Urgency>,
        service: &ServiceName,
        instances: usize,
        now: Instant,
    ) -> bool {
        self.spend_above(reserve(urgency), service, instances, now)
    }

    /// Returns whether the budget allows one more repeat of a request with this urgency now.
    pub fn allows_ranked(
        &mut self,
        urgency: Option<Urgency>,
        service: &ServiceName,
        instances: usize,
        now: Instant,
    ) -> bool {
        self.allows_above(reserve(urgency), service, instances, now)
    }

    fn spend_above(
        &mut self,
        reserve: f64,
        service: &ServiceName,
        instances: usize,
        now: Instant,
    ) -> bool {
        let is_allowed = self.allows_above(reserve, service, instances, now);
        if is_allowed {
            self.slice(service, now).repeats += 1;
        }
        is_allowed
    }

    /// Returns whether the budget allows one more repeat now.
    pub fn allows(&mut self, service: &ServiceName, instances: usize, now: Instant) -> bool {
        self.allows_above(0.0, service, instances, now)
    }

    /// Returns whether the budget allows one more repeat now that leaves this share of it.
    fn allows_above(
        &mut self,
        reserve: f64,
        service: &ServiceName,
        instances: usize,
        now: Instant,
    ) -> bool {
        self.slice(service, now);
        let own_counts = self.own_counts(service);
        let instances = instances.max(MIN_INSTANCES);
        let known_instances = (self.peers.len() + 1).min(instances);
        let slack = self.slack * known_instances as f64 / instances as f64;
        let (requests, repeats) = self.total(own_counts);
        let total = f64::from(requests) * self.ratio + slack;
        let remaining = total * (1.0 - reserve) - f64::from(repeats);
        let Some(counts) = self.services.get(service) else {
            return false;
        };
        // A slice counts as unreported as long as any part of it may be.
        let delay = REPORT_DELAY + self.window / SLICES_PER_WINDOW;
        let may_be_unreported = |slice: &&Slice| now.saturating_duration_since(slice.start) < delay;
        let unreported = counts.iter().filter(may_be_unreported);
        let unreported = f64::from(unreported.map(|slice| slice.repeats).sum::<u32>());
        let share = (remaining + unreported) / known_instances as f64;
        remaining >= 1.0 && unreported + 1.0 <= share
    }

    fn own_counts(&self, service: &ServiceName) -> SendCounts {
        let slices = self.services.get(service).into_iter().flatten();
        let mut own_counts = SendCounts {
            service: service_hash(service),
            ..SendCounts::default()
        };
        for slice in slices {
            own_counts.requests += slice.requests;
            own_counts.repeats += slice.repeats;
        }
        own_counts
    }

    /// Returns the requests and repeats of all known instances.
    fn total(&self, own_counts: SendCounts) -> (u32, u32) {
        let peers = self.peers.values().flat_map(|(sends, _)| sends);
        let peers = peers.filter(|sends| sends.service == own_counts.service);
        peers.fold(
            (own_counts.requests, own_counts.repeats),
            |(requests, repeats), sends| (requests + sends.requests, repeats + sends.repeats),
        )
    }

    /// Returns the slice that contains `now`, and removes those that have left the window.
    fn slice(&mut self, service: &ServiceName, now: Instant) -> &mut Slice {
        let step = self.window / SLICES_PER_WINDOW;
        // The end of a slice leaves the window one step after its start.
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

/// Returns the share of the budget that requests with this urgency leave to others.
fn reserve(urgency: Option<Urgency>) -> f64 {
    match urgency {
        Some(urgency) if !urgency.is_first() => URGENT_SHARE,
        _ => 0.0,
    }
}
