//! What a planned stop still takes.

use std::time::Duration;

use tokio::time::Instant;

/// The part of the grace for which all new callers are taken: callers keep an answer of the directory for
/// a while, and what they begin then must end within the grace.
const ACCEPT_DIVISOR: u32 = 5;
/// How long before the end of the grace callers are cut off: background work has to end and lines
/// have to be written, or the process is killed with them.
const KILL_MARGIN: Duration = Duration::from_millis(350);
/// How many times its usual load an instance may get when others leave.
const MAX_LOAD_FACTOR: usize = 3;

/// The other instances of a fleet.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PeerCounts {
    /// Those that take callers.
    pub live: usize,
    /// Those that are stopping.
    pub leaving: usize,
}

impl PeerCounts {
    /// Returns whether those that take callers can take those of all that leave, this instance among them.
    pub const fn can_absorb_callers(self) -> bool {
        self.live * (MAX_LOAD_FACTOR - 1) > self.leaving
    }
}

/// A planned stop under way.
///
/// The load it answers: instances are stopped one after the other, faster than they drain, so that all of
/// them stop at once. If each takes no callers after the first part of its grace, there is no connection to
/// be had for seconds. A stopping instance that knows too few others goes on to take callers as long as it
/// drains, serves what is sure to end in time, and refuses the rest.
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
    /// Begins to stop.
    pub const fn new(started_at: Instant, grace: Duration) -> Self {
        Self { started_at, grace }
    }

    /// Returns when callers that are still served are cut off.
    pub fn cutoff(&self) -> Instant {
        self.started_at + self.grace.saturating_sub(KILL_MARGIN)
    }

    /// Returns when a caller that is not admitted may come back; nothing where others take callers now. An
    /// answer that begins within `aim` is on time, and half of that is left for it.
    pub fn retry_after(&self, others: PeerCounts, aim: Duration, now: Instant) -> Option<Duration> {
        let left = self.cutoff().saturating_duration_since(now);
        (others.live == 0).then(|| left.min(aim / 2))
    }

    /// Returns whether all new callers are taken, whoever else is there.
    pub fn accepts_all(&self, now: Instant) -> bool {
        now < self.started_at + self.grace / ACCEPT_DIVISOR
    }

    /// Returns whether new callers are taken.
    pub fn accepts_callers(&self, others: PeerCounts, now: Instant) -> bool {
        self.accepts_all(now) || (!others.can_absorb_callers() && now < self.cutoff())
    }

    /// Returns whether a request that takes `longest` at most is served. What would be cut off is not begun.
    pub fn admits(&self, longest: Duration, now: Instant) -> bool {
        self.accepts_all(now) || now + longest <= self.cutoff()
    }
}
