//! How much likelier a bad version makes what was seen.

/// How much worse than its base a version may be.
pub(crate) const TOLERANCE: f64 = 1.5;
/// The rates that a bad version may have, all equally likely.
const BAD_RATES: [f64; 6] = [0.9, 0.6, 0.3, 0.15, 0.06, 0.03];
/// How many trials the assumption weighs that a base seldom fails: one hit in a hundred.
const USUAL_TRIALS: f64 = 50.0;
/// The chance that at some moment the base does not behave as in the past, for example in an overload.
const TROUBLE: f64 = 0.02;
/// The rates that the base may have then, all equally likely: from this one up by a ratio each.
const LOWEST_RATE: f64 = 0.000_5;
const RATE_RATIO: f64 = 1.39;
const TROUBLE_RATES: i32 = 23;

/// Hits among trials.
#[derive(Clone, Copy, Debug)]
pub struct Proportion {
    /// How many showed a fault.
    pub hits: u64,
    /// How many there were.
    pub trials: u64,
}

impl Proportion {
    /// Returns the logarithm of the likelihood at a rate.
    fn log(self, rate: f64) -> f64 {
        let misses = self.trials.saturating_sub(self.hits) as f64;
        self.hits as f64 * rate.ln() + misses * (1.0 - rate).ln()
    }

    /// Returns the usual rate, which is low as long as little is known.
    fn usual(self) -> f64 {
        (self.hits as f64 + 0.5) / (self.trials as f64 + USUAL_TRIALS)
    }
}

/// Returns how much likelier it is that the new version is bad than that it is as good as its base.
///
/// It is a Bayes factor over the rate of the base, which is that of the past or, with a chance
/// of 2 %, any other. A mere estimate from the few trials that a high share leaves to the base
/// would call the new version bad whenever the base is lucky while something hits both. `past` gives the
/// usual rate of the base, and `floor` a rate that is never held against the new version.
///
/// # Examples
///
/// ```
/// use celerypond_rollout::{bayes_factor, Proportion};
///
/// let base = Proportion { hits: 1, trials: 400 };
/// assert!(bayes_factor(Proportion { hits: 6, trials: 20 }, base, base, 0.005) > 1e4);
/// assert!(bayes_factor(Proportion { hits: 1, trials: 20 }, base, base, 0.005) < 1e4);
/// ```
pub fn bayes_factor(new: Proportion, base: Proportion, past: Proportion, floor: f64) -> f64 {
    if new.hits == 0 {
        return 0.0;
    }
    let trouble = (0..TROUBLE_RATES).map(|step| LOWEST_RATE * RATE_RATIO.powi(step));
    let chance = (TROUBLE / f64::from(TROUBLE_RATES)).ln();
    let usual = std::iter::once((past.usual(), (1.0 - TROUBLE).ln()));
    let mut good = Vec::new();
    let mut bad = Vec::new();
    for (rate, chance) in usual.chain(trouble.map(|rate| (rate, chance))) {
        let allowed = (TOLERANCE * rate).clamp(floor, 0.999);
        let log = chance + base.log(rate);
        good.push(log + new.log(allowed));
        bad.push(log + log_bad(new, allowed));
    }
    (log_sum(&bad) - log_sum(&good)).exp()
}

/// Returns how much likelier a bad version is than one with this rate.
pub(crate) fn bayes_factor_at_rate(new: Proportion, rate: f64) -> f64 {
    if new.hits == 0 {
        return 0.0;
    }
    (log_bad(new, TOLERANCE * rate) - new.log(rate)).exp()
}

fn log_bad(new: Proportion, allowed: f64) -> f64 {
    let worse = BAD_RATES.iter().filter(|rate| **rate > allowed);
    let logs: Vec<_> = worse.map(|rate| new.log(*rate)).collect();
    log_sum(&logs) - (BAD_RATES.len() as f64).ln()
}

/// Returns the logarithm of a sum of which the logarithms of the terms are given.
fn log_sum(logs: &[f64]) -> f64 {
    let most = logs.iter().copied().fold(f64::NEG_INFINITY, f64::max);
    if most == f64::NEG_INFINITY {
        return most;
    }
    most + logs.iter().map(|log| (log - most).exp()).sum::<f64>().ln()
}
