//! How fast requests start while others wait.

/// The time over which starts are remembered, in milliseconds.
const MEMORY_MS: f64 = 2_000.0;
/// How many starts the first expectation counts for.
const FIRST_COUNT: f64 = 8.0;
/// A pause of so many mean intervals is taken for a standstill.
const STANDSTILL: f64 = 8.0;

/// How fast requests start while others wait.
///
/// The mean must be steady: under overload, requests are let in whenever it is low for a moment, so
/// noise in it alone makes the queue too long.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Pace {
    /// The time that passed while requests waited, in milliseconds; it fades.
    time: f64,
    /// The starts in that time; they fade alike.
    count: f64,
    /// When the last request started, or the first began to wait.
    last: Option<u64>,
}

impl Pace {
    pub(crate) fn new(per_s: f64) -> Self {
        Self {
            time: FIRST_COUNT * 1_000.0 / per_s.max(f64::MIN_POSITIVE),
            count: FIRST_COUNT,
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
        let last = (!is_last).then_some(now_ms);
        let Some(before) = self.last else {
            return Self { last, ..self };
        };
        let interval = now_ms.saturating_sub(before) as f64;
        let kept = (-interval / MEMORY_MS).exp();
        Self {
            time: self.time * kept + interval,
            count: self.count * kept + 1.0,
            last,
        }
    }

    pub(crate) fn idle(self) -> Self {
        Self { last: None, ..self }
    }

    /// Estimates the time until `count` more requests have started.
    ///
    /// A standstill is expected to last as long again as it has lasted.
    pub(crate) fn wait_ms(&self, count: f64, now_ms: u64) -> f64 {
        let mean = self.time / self.count;
        let since = self.last.map_or(0, |last| now_ms.saturating_sub(last)) as f64;
        let pause = if since > mean * STANDSTILL {
            since
        } else {
            0.0
        };
        count * mean + pause
    }
}
