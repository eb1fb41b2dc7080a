//! The delay before a store that failed is asked again.

use std::time::Duration;

use rand::{rngs::SmallRng, Rng as _};
use tokio::time::Instant;

use crate::Settings;

/// How many times the delay doubles at most.
const MAX_DOUBLINGS: u32 = 16;

/// Exponential backoff after failures of the store.
///
/// During the delay, calls that need the store are refused immediately, with the remaining delay as
/// the time to retry after. After it, the next call shows whether the store works again.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct StoreBackoff {
    failures: u32,
    retry_at: Option<Instant>,
}

impl StoreBackoff {
    pub(crate) fn after_failure(
        self,
        settings: &Settings,
        rng: &mut SmallRng,
        now: Instant,
    ) -> Self {
        let delay = settings.min_store_retry_delay * 2u32.pow(self.failures.min(MAX_DOUBLINGS));
        // Without jitter, instances that failed at the same time would all retry at the same time.
        let delay = delay
            .min(settings.max_store_retry_delay)
            .mul_f64(rng.random_range(0.5..1.0));
        Self {
            failures: self.failures + 1,
            retry_at: Some(now + delay),
        }
    }

    /// Returns the remaining delay; `None` if the store may be asked.
    pub(crate) fn remaining(&self, now: Instant) -> Option<Duration> {
        let remaining = self.retry_at?.saturating_duration_since(now);
        (!remaining.is_zero()).then_some(remaining)
    }

    pub(crate) const fn retry_at(&self) -> Option<Instant> {
        self.retry_at
    }
}
