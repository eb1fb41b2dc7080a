//! Pauses between calls of the store.

use std::{ops::RangeInclusive, time::Duration};

use celerypond_platform::PlatformError;
use rand::Rng as _;
use tokio::time::sleep;

use super::site::Site;

/// The time between two checks whether this instance has to watch the store.
pub(super) const WATCH_POLL: Duration = Duration::from_millis(100);
/// The longest wait for which the store is obeyed that limits the rate of calls.
const RETRY_AFTER_MOST: Duration = Duration::from_secs(1);

/// Waits after a failed call of the store, for as long as it says and a time drawn from these limits.
pub(super) async fn rest(site: &Site, error: PlatformError, limits: RangeInclusive<Duration>) {
    let least = match error {
        PlatformError::RateLimited { retry_after } | PlatformError::OverBudget { retry_after } => {
            retry_after.min(RETRY_AFTER_MOST)
        }
        _ => Duration::ZERO,
    };
    let drawn = rand::rng().random_range(limits);
    tokio::select! {
        () = site.ending.cancelled() => {}
        () = sleep(least + drawn) => {}
    }
}
