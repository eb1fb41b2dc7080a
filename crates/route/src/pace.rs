//! How fast requests start while others wait.

/// How much a new interval counts against the mean of those before it.
const INTERVAL_PART: f64 = 0.05;
/// A pause of so many mean intervals is taken for a standstill.
const STANDSTILL: f64 = 8.0;

/// How fast requests start while others wait.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Pace {
    /// The mean time between two starts, in milliseconds.
    mean: f64,
    /// When the last request started, or the first began to wait.
    last: Option<u64>,
}

impl Pace {
    pub(crate) fn new(per_s: f64) -> Self {
        Self {
            mean: 1_000.0 / per_s.max(f64::MIN_POSITIVE),
            last: None,
        }
    }

    pub(crate) fn offered(self, now_ms: u64) -> Self {
        Self {
            last: self.last.or(Some(now_ms)),
            ..self
        }
    }

    /// Takes a start; `is_last` says that no other request waits, so that the next interval would
    /// measure the callers and not the targets.
    pub(crate) fn taken(self, now_ms: u64, is_last: bool) -> Self {
        let interval = self.last.map(|last| now_ms.saturating_sub(last) as f64);
        let change = interval.map_or(0.0, |interval| (interval - self.mean) * INTERVAL_PART);
        Self {
            mean: self.mean + change,
            last: (!is_last).then_some(now_ms),
        }
    }

    pub(crate) fn idle(self) -> Self {
        Self { last: None, ..self }
    }

    /// Estimates the time until `count` more requests have started.
    ///
    /// A standstill is expected to last as long again as it has lasted.
    pub(crate) fn wait_ms(&self, count: f64, now_ms: u64) -> f64 {
        let since = self
            .last
            .map_or(0.0, |last| now_ms.saturating_sub(last) as f64);
        let pause = if since > self.mean * STANDSTILL {
            since
        } else {
            0.0
        };
        count * self.mean + pause
    }
}
