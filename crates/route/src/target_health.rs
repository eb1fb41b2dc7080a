//! The health of one target in one pool, as outlier detection sees it.

use crate::OutlierLimits;

/// The weight of a new sample in the moving average of latencies.
const LATENCY_WEIGHT: f64 = 0.1;

/// Whether a target receives traffic.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) enum State {
    /// It receives traffic at its full weight.
    #[default]
    Active,
    /// It receives no traffic until this time, in milliseconds.
    Ejected { until: u64 },
    /// A health probe is pending; it is repeated at this time, in milliseconds.
    Probing { until: u64 },
    /// Its weight has been growing since this time, in milliseconds.
    Ramping { since: u64 },
}

/// The health of one target in one pool.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Health {
    pub(crate) state: State,
    /// Consecutive failures.
    pub(crate) failures: u32,
    /// How many latency samples the mean covers.
    pub(crate) samples: u32,
    pub(crate) mean_ms: f64,
    /// Ejections since the target last had its full weight.
    ejections: u32,
    /// Whether the target was ejected for its latency rather than for failures.
    pub(crate) is_latency_outlier: bool,
}

impl Health {
    pub(crate) fn is_active(&self) -> bool {
        matches!(self.state, State::Active | State::Ramping { .. })
    }

    pub(crate) fn record_success(self, latency_ms: f64) -> Self {
        let weight = if self.samples == 0 {
            1.0
        } else {
            LATENCY_WEIGHT
        };
        Self {
            failures: 0,
            samples: self.samples.saturating_add(1),
            mean_ms: self.mean_ms + (latency_ms - self.mean_ms) * weight,
            ..self
        }
    }

    pub(crate) fn record_failure(self) -> Self {
        Self {
            failures: self.failures.saturating_add(1),
            ..self
        }
    }

    pub(crate) fn eject(
        self,
        now_ms: u64,
        is_latency_outlier: bool,
        limits: &OutlierLimits,
    ) -> Self {
        let backoff_ms = limits
            .base_ejection_ms
            .saturating_mul(1 << self.ejections.min(16));
        Self {
            state: State::Ejected {
                until: now_ms + backoff_ms.min(limits.max_ejection_ms),
            },
            ejections: self.ejections + 1,
            is_latency_outlier,
            ..self
        }
    }

    pub(crate) fn start_probe(self, now_ms: u64, wait_ms: u64) -> Self {
        Self {
            state: State::Probing {
                until: now_ms + wait_ms,
            },
            ..self
        }
    }

    /// Returns the target to traffic at a reduced weight and clears its record, except for the
    /// number of ejections.
    pub(crate) fn start_ramp(self, now_ms: u64) -> Self {
        Self {
            state: State::Ramping { since: now_ms },
            ejections: self.ejections,
            ..Self::default()
        }
    }

    pub(crate) fn reinstate(self) -> Self {
        Self {
            state: State::Active,
            ejections: 0,
            ..self
        }
    }
}
