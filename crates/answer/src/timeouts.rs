//! Timeouts for the tokens of a target.

use std::time::Duration;

use hdrhistogram::Histogram;

/// Longer gaps are recorded as this one.
const MAX_GAP: Duration = Duration::from_secs(10);
const SIGNIFICANT_DIGITS: u8 = 2;
/// The number of gaps in a window. The estimate covers the last one to two windows. Small enough
/// for 16-bit counts, with which the histograms of a target take less than 5 KB.
const WINDOW_GAPS: u64 = 4096;
/// With fewer observed gaps, the ceiling is used as the timeout.
const MIN_GAPS: u64 = 100;

/// Parameters of the timeouts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TimeoutLimits {
    /// The minimum timeout between two tokens.
    pub floor: Duration,
    /// The maximum timeout between two tokens, also used for a target without enough observations.
    pub ceiling: Duration,
    /// The quantile of the observed gaps that the timeout is derived from.
    pub quantile: f64,
    /// The factor by which the timeout exceeds that quantile.
    pub factor: f64,
    /// The timeout for the first token of an attempt without a prefix.
    pub first_token: Duration,
    /// What each token of the prompt or prefix adds to `first_token`.
    pub prefill_per_token: Duration,
    /// The timeout of a probe.
    pub probe: Duration,
    /// How long a stream may go without a token although its engine responds to probes.
    pub no_progress: Duration,
}

/// The timeouts of one attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timeouts {
    /// How long to wait for the first token.
    pub first_token: Duration,
    /// How long to wait for each further token.
    pub token_gap: Duration,
    /// How long to wait for the response to a probe.
    pub probe: Duration,
    /// How long a stream may go without a token although the engine responds to probes. An attempt
    /// without a first token gets a multiple of `first_token` instead.
    pub no_progress: Duration,
}

/// Estimates the timeouts of one target from the observed gaps between its tokens.
///
/// Without a timeout, an answer would hang until its deadline when its connection becomes silent
/// without a reset. The timeout can be short: a false positive costs one probe and no token,
/// because a stream whose target responds to the probe is resumed there.
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
    /// Creates an estimator without observations.
    pub fn new(limits: TimeoutLimits) -> Self {
        Self {
            limits,
            recent: empty_histogram(),
            previous: empty_histogram(),
        }
    }

    /// Records the time between two consecutive tokens.
    ///
    /// Gaps across a resume must not be recorded: they would raise the timeout after each failure.
    pub fn observe(&mut self, gap: Duration) {
        if self.recent.len() >= WINDOW_GAPS {
            self.previous = std::mem::replace(&mut self.recent, empty_histogram());
        }
        self.recent.saturating_record(gap.as_millis() as u64);
    }

    /// Returns the timeouts for an attempt whose prompt and prefix have `tokens` tokens.
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
    // The histogram accepts these constant bounds.
    Histogram::new_with_max(max_gap, SIGNIFICANT_DIGITS).expect("constant bounds are valid")
}
