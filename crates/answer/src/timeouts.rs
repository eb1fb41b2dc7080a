//! How long to wait for the next token of a target.

use std::time::Duration;

use hdrhistogram::Histogram;

/// The max_gap gap that is told apart from longer ones.
const MAX_GAP: Duration = Duration::from_secs(10);
const SIGNIFICANT_DIGITS: u8 = 2;
/// How many gaps make a window; the estimate covers the last one to two windows. Few enough for
/// counts of 16 bits, which keep a target below 5 KB.
const WINDOW_GAPS: u64 = 4096;
/// Below this number of gaps the ceiling is used.
const MIN_GAPS: u64 = 100;

/// Bounds of the progress timeout.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TimeoutLimits {
    /// The shortest timeout between two tokens.
    pub floor: Duration,
    /// The max_gap timeout between two tokens, and the one for a target not yet observed.
    pub ceiling: Duration,
    /// Which quantile of the gaps the timeout follows.
    pub quantile: f64,
    /// How many times that quantile the timeout is.
    pub factor: f64,
    /// The timeout for the first token of an attempt without a prefix.
    pub first_token: Duration,
    /// What each token of the prompt or prefix adds to it.
    pub prefill_per_token: Duration,
    /// How long a probe may take.
    pub probe: Duration,
    /// How long a stream may give no token although its engine answers probes.
    pub no_progress: Duration,
}

/// The timeouts of one attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timeouts {
    /// How long to wait for the first token.
    pub first_token: Duration,
    /// How long to wait for each further token.
    pub token_gap: Duration,
    /// How long to wait for the answer to a probe.
    pub probe: Duration,
    /// How long to go without a token although the engine answers probes. An attempt that has had
    /// none yet gets several times `first_token` instead.
    pub no_progress: Duration,
}

/// Learns the gaps between tokens of one target, and sets the progress timeout from them.
///
/// The failure: a connection goes silent for good without a reset. The symptom would be an answer
/// that hangs until its deadline. A false alarm costs one probe and no token, because a target
/// that answers the probe is resumed and not replaced; so the timeout can be short.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// use celerypond_answer::{TimeoutEstimator, TimeoutLimits};
///
/// let mut estimator = TimeoutEstimator::new(TimeoutLimits::default());
/// assert_eq!(estimator.timeouts(0).token_gap, TimeoutLimits::default().ceiling);
/// for _ in 0..1000 {
///     estimator.observe(Duration::from_millis(30));
/// }
/// assert_eq!(estimator.timeouts(0).token_gap, TimeoutLimits::default().floor);
/// ```
#[derive(Clone, Debug)]
pub struct TimeoutEstimator {
    limits: TimeoutLimits,
    recent: Histogram<u16>,
    previous: Histogram<u16>,
}

impl Default for TimeoutLimits {
    fn default() -> Self {
        Self {
            floor: Duration::from_millis(250),
            ceiling: Duration::from_millis(700),
            quantile: 0.999,
            factor: 3.0,
            first_token: Duration::from_millis(900),
            prefill_per_token: Duration::from_micros(200),
            probe: Duration::from_millis(200),
            no_progress: Duration::from_millis(1500),
        }
    }
}

impl TimeoutEstimator {
    /// Starts without an observation.
    pub fn new(limits: TimeoutLimits) -> Self {
        Self {
            limits,
            recent: empty_histogram(),
            previous: empty_histogram(),
        }
    }

    /// Takes the time between two consecutive tokens into account.
    ///
    /// Gaps across a resume don't belong here: they would raise the timeout after each loss.
    pub fn observe(&mut self, gap: Duration) {
        if self.recent.len() >= WINDOW_GAPS {
            self.previous = std::mem::replace(&mut self.recent, empty_histogram());
        }
        self.recent.saturating_record(gap.as_millis() as u64);
    }

    /// Returns the timeouts for an attempt that first reads `tokens` of prompt and prefix.
    pub fn timeouts(&self, tokens: u32) -> Timeouts {
        let token_gap = self.token_gap();
        Timeouts {
            first_token: self.limits.first_token.max(token_gap)
                + self.limits.prefill_per_token * tokens,
            token_gap,
            probe: self.limits.probe,
            no_progress: self.limits.no_progress.max(token_gap * 2),
        }
    }

    fn token_gap(&self) -> Duration {
        let limits = &self.limits;
        if self.recent.len() + self.previous.len() < MIN_GAPS {
            return limits.ceiling;
        }
        let recent = self.recent.value_at_quantile(limits.quantile);
        let previous = self.previous.value_at_quantile(limits.quantile);
        let quantile = Duration::from_millis(recent.max(previous));
        quantile
            .mul_f64(limits.factor)
            .clamp(limits.floor, limits.ceiling)
    }
}

fn empty_histogram() -> Histogram<u16> {
    let max_gap = MAX_GAP.as_millis() as u64;
    // The bounds are constants that the histogram accepts.
    Histogram::new_with_max(max_gap, SIGNIFICANT_DIGITS).expect("constant bounds are valid")
}
