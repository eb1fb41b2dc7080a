//! Pauses between calls to the store.

use std::{ops::RangeInclusive, time::Duration};

use celerypond_platform::PlatformError;
use rand::Rng as _;
use tokio::time::sleep;

use super::state::RelayState;

/// The interval between two checks whether this instance has to watch the store.
pub(super) const WATCH_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// The maximum `Retry-After` of the store that is honoured.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Waits after a failed call to the store: for its `Retry-After`, plus a random time within
/// `limits`.
pub(super) async fn pause(
    state: &RelayState,
    error: PlatformError,
    limits: RangeInclusive<Duration>,
) {
    let min_wait = match error {
        PlatformError::RateLimited { retry_after }
        | PlatformError::BudgetExhausted { retry_after } => retry_after.min(MAX_RETRY_AFTER),
        _ => Duration::ZERO,
    };
    let jitter = rand::rng().random_range(limits);
    tokio::select! {
        () = state.ending.cancelled() => {}
        () = sleep(min_wait + jitter) => {}
    }
}
