//! What is too old to serve requests by, and how long they wait for it to be replaced.

use std::time::Duration;

use tokio::time::Instant;

/// Why requests cannot be served by what is known of the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stale {
    /// Another instance has a newer version, which may have been acknowledged longer ago than the limit.
    Superseded,
    /// As above, but the newer version is still being transferred and nobody is known to have it in force.
    Pending,
    /// There was no contact with the store or another instance for longer than the limit.
    Isolated,
    /// Contact was regained a moment ago, and changes of the time without it may still be unread.
    Resuming,
}

/// The part of a caller's time for which its request waits at most, in quarters; the work needs the remaining one.
const MAX_WAIT_QUARTERS: u32 = 3;
/// How long changes of targets may take to arrive after another instance has reported them.
const MAX_CHANGE_DELAY: Duration = Duration::from_millis(500);

/// How long a request waits until what is known can serve it.
///
/// It waits only for what ends by itself and cannot be had elsewhere, and not if the end is known to be too late.
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
    /// Makes the wait of a request whose caller has so much time left.
    pub fn new(started_at: Instant, left: Duration) -> Self {
        let latest = started_at + left * MAX_WAIT_QUARTERS / 4;
        Self { started_at, latest }
    }

    /// Returns until when a request waits for a configuration; nothing if it is refused. `current` is when missed changes
    /// have been reported.
    pub fn for_config(
        &self,
        stale: Stale,
        current: Option<Instant>,
        now: Instant,
    ) -> Option<Instant> {
        match stale {
            // Others have what is missing here.
            Stale::Superseded | Stale::Isolated => None,
            Stale::Pending => (now < self.latest).then_some(self.latest),
            Stale::Resuming => Some(current.unwrap_or(now)).filter(|at| *at <= self.latest),
        }
    }

    /// Returns until when a request waits for a list of targets, whose changes are small; nothing if it is refused.
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
