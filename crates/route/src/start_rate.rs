//! An estimate of the rate at which queued requests start.

/// The time constant of the exponential decay of past starts, in milliseconds.
const DECAY_MS: f64 = 2_000.0;
/// How many starts the initial assumption counts as.
const INITIAL_COUNT: f64 = 8.0;
/// No start for this many mean intervals is considered a stall.
const STALL_INTERVALS: f64 = 8.0;

/// An estimate of the rate at which requests start while others wait.
///
/// It has to be steady. Under overload, requests are admitted whenever the estimated wait is low
/// for a moment, so noise alone makes the queue too long.
#[derive(Clone, Copy, Debug)]
pub(crate) struct StartRate {
    /// The time during which requests waited, in milliseconds, with exponential decay.
    elapsed_ms: f64,
    /// The starts in that time, with the same decay.
    count: f64,
    /// When the last request started, or when the queue became non-empty.
    last_start: Option<u64>,
}

impl StartRate {
    pub(crate) fn new(per_s: f64) -> Self {
        Self {
            elapsed_ms: INITIAL_COUNT * 1_000.0 / per_s.max(f64::MIN_POSITIVE),
            count: INITIAL_COUNT,
            last_start: None,
        }
    }

    pub(crate) fn record_arrival(self, now_ms: u64) -> Self {
        Self {
            last_start: self.last_start.or(Some(now_ms)),
            ..self
        }
    }

    /// Records a start. With `is_last`, no other request waits, so the time until the next start
    /// depends on the clients rather than the targets and is not measured.
    pub(crate) fn record_start(self, now_ms: u64, is_last: bool) -> Self {
        let last_start = (!is_last).then_some(now_ms);
        let Some(previous) = self.last_start else {
            return Self { last_start, ..self };
        };
        let interval = now_ms.saturating_sub(previous) as f64;
        let decay = (-interval / DECAY_MS).exp();
        Self {
            elapsed_ms: self.elapsed_ms * decay + interval,
            count: self.count * decay + 1.0,
            last_start,
        }
    }

    pub(crate) fn paused(self) -> Self {
        Self {
            last_start: None,
            ..self
        }
    }

    /// Estimates the time until `count` more requests have started.
    ///
    /// A stall is expected to last as long again as it already has.
    pub(crate) fn wait_ms(&self, count: f64, now_ms: u64) -> f64 {
        let mean = self.elapsed_ms / self.count;
        let since = self
            .last_start
            .map_or(0, |last| now_ms.saturating_sub(last)) as f64;
        let stall_ms = if since > mean * STALL_INTERVALS {
            since
        } else {
            0.0
        };
        count * mean + stall_ms
    }
}
