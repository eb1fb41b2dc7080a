//! A monotonic clock in milliseconds, which fit into one atomic.

use std::time::Duration;

use tokio::time::Instant;

/// Converts instants to milliseconds since a base instant that all views of a process share.
///
/// # Examples
///
/// ```
/// use celerypond_route::Clock;
/// use tokio::time::{Duration, Instant};
///
/// let base = Instant::now();
/// let clock = Clock::new(base);
/// assert_eq!(clock.millis(base + Duration::from_secs(2)), 2_000);
/// ```
#[derive(Clone, Copy, Debug)]
pub struct Clock(Instant);

impl Clock {
    /// Creates a clock that counts from `base`.
    pub const fn new(base: Instant) -> Self {
        Self(base)
    }

    /// Returns the milliseconds from the base to `now`, or 0 for an instant before the base.
    pub fn millis(self, now: Instant) -> u64 {
        now.saturating_duration_since(self.0).as_millis() as u64
    }

    /// Returns the instant `millis` after the base.
    pub fn instant(self, millis: u64) -> Instant {
        self.0 + Duration::from_millis(millis)
    }
}
