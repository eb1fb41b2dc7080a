//! Whether the store answers.

use std::time::Duration;

use rand::{rngs::SmallRng, Rng as _};
use tokio::time::Instant;

use crate::Settings;

/// How many times a wait doubles at most.
const DOUBLINGS: u32 = 16;

/// Whether the store answers, and when it is asked again if not.
///
/// While the wait runs, calls that need the store are refused at once, with the rest of the wait as
/// the time to come back. After it, the next call is the probe.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Health {
    failures: u32,
    until: Option<Instant>,
}

impl Health {
    pub(crate) fn failed(self, settings: &Settings, rng: &mut SmallRng, now: Instant) -> Self {
        let wait = settings.min_store_retry_delay * 2u32.pow(self.failures.min(DOUBLINGS));
        // Without jitter the instances that failed together would ask again together.
        let wait = wait
            .min(settings.max_store_retry_delay)
            .mul_f64(rng.random_range(0.5..1.0));
        Self {
            failures: self.failures + 1,
            until: Some(now + wait),
        }
    }

    /// Returns how long the store is not asked.
    pub(crate) fn wait(&self, now: Instant) -> Option<Duration> {
        let left = self.until?.saturating_duration_since(now);
        (!left.is_zero()).then_some(left)
    }

    pub(crate) const fn until(&self) -> Option<Instant> {
        self.until
    }
}
