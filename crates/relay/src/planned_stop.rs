//! The planned stop of an instance.

use std::time::Duration;

use tokio::time::Instant;

/// All new callers are accepted for the grace divided by this: callers cache the addresses of
/// instances for a while, and the requests that they begin then must end within the grace.
const ACCEPT_DIVISOR: u32 = 5;
/// How long before the end of the grace callers are cut off. Background tasks and log output have
/// to be finished before the process is killed.
const KILL_MARGIN: Duration = Duration::from_millis(350);
/// The maximum load of an instance when others leave, as a multiple of its usual load.
const MAX_LOAD_FACTOR: usize = 3;

/// Counts of the other instances of a fleet.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PeerCounts {
    /// Instances that accept callers.
    pub live: usize,
    /// Instances that are stopping.
    pub leaving: usize,
}

impl PeerCounts {
    /// Returns whether the instances that accept callers can take over those of all that leave,
    /// including this instance.
    pub const fn can_absorb_callers(self) -> bool {
        self.live * (MAX_LOAD_FACTOR - 1) > self.leaving
    }
}

/// A planned stop in progress.
///
/// Instances may be stopped one after the other faster than they drain, so that all of them are
/// stopping at once. If each accepted no callers after the first part of its grace, the fleet would
/// accept no connections for seconds. A stopping instance that knows too few others therefore
/// continues to accept callers while it drains. It serves requests that are certain to end in time
/// and refuses the others.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// use celerypond_relay::{PeerCounts, PlannedStop};
/// use tokio::time::Instant;
///
/// let started_at = Instant::now();
/// let stop = PlannedStop::new(started_at, Duration::from_secs(8));
/// let later = started_at + Duration::from_secs(3);
/// assert!(!stop.accepts_callers(PeerCounts { live: 6, leaving: 0 }, later));
/// assert!(stop.accepts_callers(PeerCounts { live: 0, leaving: 6 }, later));
/// assert!(stop.admits(Duration::from_secs(1), later));
/// assert!(!stop.admits(Duration::from_secs(25), later));
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlannedStop {
    started_at: Instant,
    grace: Duration,
}

impl PlannedStop {
    /// Starts to stop.
    pub const fn new(started_at: Instant, grace: Duration) -> Self {
        Self { started_at, grace }
    }

    /// Returns when the remaining callers are cut off.
    pub fn cutoff(&self) -> Instant {
        self.started_at + self.grace.saturating_sub(KILL_MARGIN)
    }

    /// Returns when a refused caller may retry; `None` if other instances accept callers now. A
    /// response that begins within `aim` is on time, and half of that is left for it.
    pub fn retry_after(&self, others: PeerCounts, aim: Duration, now: Instant) -> Option<Duration> {
        let left = self.cutoff().saturating_duration_since(now);
        (others.live == 0).then(|| left.min(aim / 2))
    }

    /// Returns whether all new callers are accepted, regardless of other instances.
    pub fn accepts_all(&self, now: Instant) -> bool {
        now < self.started_at + self.grace / ACCEPT_DIVISOR
    }

    /// Returns whether new callers are accepted.
    pub fn accepts_callers(&self, others: PeerCounts, now: Instant) -> bool {
        self.accepts_all(now) || (!others.can_absorb_callers() && now < self.cutoff())
    }

    /// Returns whether a request that takes at most `longest` is served. Requests that would be cut
    /// off are refused.
    pub fn admits(&self, longest: Duration, now: Instant) -> bool {
        self.accepts_all(now) || now + longest <= self.cutoff()
    }
}
