//! What is known of the health of one target in one pool.

use crate::OutlierLimits;

/// How much a new latency counts against the mean of those before it.
const LATENCY_PART: f64 = 0.1;

/// Where a target stands between work and ejection.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) enum State {
    /// It takes its part of the work.
    #[default]
    In,
    /// It takes no work until a time in milliseconds.
    Out { until: u64 },
    /// It is being asked; the question is put again at a time in milliseconds.
    Probing { until: u64 },
    /// It takes a growing part of the work since a time in milliseconds.
    Ramping { since: u64 },
}

/// What is known of the health of one target in one pool.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Health {
    pub(crate) state: State,
    /// The failures since the last success.
    pub(crate) failures: u32,
    /// How many latencies the mean covers.
    pub(crate) samples: u32,
    pub(crate) mean_ms: f64,
    /// The ejections since it last took its whole part.
    times: u32,
    /// Whether it is out for its latency and not for failures.
    pub(crate) slow: bool,
}

impl Health {
    pub(crate) fn takes_work(&self) -> bool {
        matches!(self.state, State::In | State::Ramping { .. })
    }

    pub(crate) fn succeeded(self, latency_ms: f64) -> Self {
        let part = if self.samples == 0 { 1.0 } else { LATENCY_PART };
        Self {
            failures: 0,
            samples: self.samples.saturating_add(1),
            mean_ms: self.mean_ms + (latency_ms - self.mean_ms) * part,
            ..self
        }
    }

    pub(crate) fn failed(self) -> Self {
        Self {
            failures: self.failures.saturating_add(1),
            ..self
        }
    }

    pub(crate) fn out(self, now_ms: u64, slow: bool, limits: &OutlierLimits) -> Self {
        let doubled = limits
            .base_ejection_ms
            .saturating_mul(1 << self.times.min(16));
        Self {
            state: State::Out {
                until: now_ms + doubled.min(limits.max_ejection_ms),
            },
            times: self.times + 1,
            slow,
            ..self
        }
    }

    pub(crate) fn probing(self, now_ms: u64, wait_ms: u64) -> Self {
        Self {
            state: State::Probing {
                until: now_ms + wait_ms,
            },
            ..self
        }
    }

    /// Lets the target back, with a clean record but for the number of its ejections.
    pub(crate) fn ramping(self, now_ms: u64) -> Self {
        Self {
            state: State::Ramping { since: now_ms },
            times: self.times,
            ..Self::default()
        }
    }

    pub(crate) fn back(self) -> Self {
        Self {
            state: State::In,
            times: 0,
            ..self
        }
    }
}
