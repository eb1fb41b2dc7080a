//! Backoff between calls of a store that does not answer.

use std::{ops::RangeInclusive, time::Duration};

/// The shortest pause after a failed call. Up to three times as long is drawn, so that instances whose calls failed
/// together do not retry together.
const MIN_PAUSE: Duration = Duration::from_millis(100);
/// How often the pause is doubled at most.
const MAX_DOUBLINGS: u32 = 3;

/// Backoff between calls of a store that does not answer.
///
/// The load it answers: the store is away for all, so that no watcher is observed and each instance watches for
/// itself. Elected watchers go on to call often, and notify the others of the store's return; so does an instance
/// that knows nothing yet, as it serves nobody until then.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// use celerypond_relay::StoreBackoff;
///
/// let mut backoff = StoreBackoff::default();
/// assert_eq!(*backoff.failed(false).start(), Duration::from_millis(100));
/// assert_eq!(*backoff.failed(false).start(), Duration::from_millis(200));
/// assert_eq!(*backoff.failed(true).start(), Duration::from_millis(100));
/// backoff.answered();
/// assert_eq!(*backoff.failed(false).start(), Duration::from_millis(100));
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct StoreBackoff {
    failures: u32,
}

impl StoreBackoff {
    /// Records a failed call and returns the limits of the pause after it. `is_relied_on` is whether other instances, or
    /// this instance's callers, depend on its calls.
    pub fn failed(&mut self, is_relied_on: bool) -> RangeInclusive<Duration> {
        let doubled = match is_relied_on {
            true => 0,
            false => self.failures.min(MAX_DOUBLINGS),
        };
        self.failures += 1;
        let least = MIN_PAUSE * 2_u32.pow(doubled);
        least..=least * 3
    }

    /// Records an answer.
    pub fn answered(&mut self) {
        self.failures = 0;
    }
}
