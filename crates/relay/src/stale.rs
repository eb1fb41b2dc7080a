//! Reasons for which known state is too old to serve requests, and the time that requests wait for
//! newer state.

use std::time::Duration;

use tokio::time::Instant;

/// The reason for which the known state of the store must not be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stale {
    /// Another instance has a newer version, which may have been acknowledged longer ago than the
    /// limit.
    Superseded,
    /// Likewise, but the newer version is still being transferred, and no instance is known to have
    /// it in force.
    Pending,
    /// There was no contact with the store or another instance for longer than the limit.
    Isolated,
    /// Contact was regained recently, and changes from the time without contact may still be
    /// unread.
    Resuming,
}

/// The maximum wait of a request in quarters of its caller's time; the remaining quarter is needed
/// for the work.
const MAX_WAIT_QUARTERS: u32 = 3;
/// How long changes of targets may take to arrive after another instance has reported them.
const MAX_CHANGE_DELAY: Duration = Duration::from_millis(500);

/// The time that a request waits until it can be served with the known state.
///
/// A request waits only for conditions that end by themselves and that a retry at another instance
/// would not avoid, and only if they are not known to end too late.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// use celerypond_relay::{Stale, StaleWait};
/// use tokio::time::Instant;
///
/// let now = Instant::now();
/// let wait = StaleWait::new(now, Duration::from_secs(2));
/// let current = Some(now + Duration::from_millis(800));
/// assert_eq!(wait.for_config(Stale::Resuming, current, now), current);
/// assert_eq!(wait.for_config(Stale::Superseded, None, now), None);
/// let hasty = StaleWait::new(now, Duration::from_secs(1));
/// assert_eq!(hasty.for_config(Stale::Resuming, current, now), None);
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StaleWait {
    started_at: Instant,
    latest: Instant,
}

impl StaleWait {
    /// Returns the wait of a request whose caller has this much time left.
    pub fn new(started_at: Instant, left: Duration) -> Self {
        let latest = started_at + left * MAX_WAIT_QUARTERS / 4;
        Self { started_at, latest }
    }

    /// Returns until when a request waits for a configuration; `None` if it is refused. `current`
    /// is when missed changes will have been reported.
    pub fn for_config(
        &self,
        stale: Stale,
        current: Option<Instant>,
        now: Instant,
    ) -> Option<Instant> {
        match stale {
            // Other instances have what is missing here.
            Stale::Superseded | Stale::Isolated => None,
            Stale::Pending => (now < self.latest).then_some(self.latest),
            Stale::Resuming => Some(current.unwrap_or(now)).filter(|at| *at <= self.latest),
        }
    }

    /// Returns until when a request waits for a list of targets; `None` if it is refused. Unlike
    /// configurations, changes of targets are small, so that it is also worth waiting for them if
    /// they are superseded.
    pub fn for_targets(
        &self,
        stale: Stale,
        current: Option<Instant>,
        now: Instant,
    ) -> Option<Instant> {
        let changed = self.latest.min(self.started_at + MAX_CHANGE_DELAY);
        match stale {
            Stale::Superseded => (now < changed).then_some(changed),
            _ => self.for_config(stale, current, now),
        }
    }
}
