//! Backoff between calls to a store that does not respond.

use std::{ops::RangeInclusive, time::Duration};

/// The minimum pause after a failed call. The actual pause is drawn from up to three times as long,
/// so that instances whose calls failed together do not retry together.
const MIN_PAUSE: Duration = Duration::from_millis(100);
/// The maximum number of times that the pause is doubled.
const MAX_DOUBLINGS: u32 = 3;

/// Backoff between calls to a store that does not respond.
///
/// If the store is unavailable to all instances, none of them observes a watcher and each watches
/// for itself. Elected watchers continue to call often, and notify the others when the store
/// returns. So does an instance that knows nothing yet, as it serves nobody until then.
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
    /// Records a failed call and returns the range of the pause after it. `is_relied_on` is whether
    /// other instances, or this instance's callers, depend on its calls.
    pub fn failed(&mut self, is_relied_on: bool) -> RangeInclusive<Duration> {
        let doubled = match is_relied_on {
            true => 0,
            false => self.failures.min(MAX_DOUBLINGS),
        };
        self.failures += 1;
        let least = MIN_PAUSE * 2_u32.pow(doubled);
        least..=least * 3
    }

    /// Records a successful call.
    pub fn answered(&mut self) {
        self.failures = 0;
    }
}
