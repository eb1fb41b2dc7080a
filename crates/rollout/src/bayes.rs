//! Bayes factors for the hypothesis that a version is bad.

/// Factor by which the rate of a good version may exceed that of its base.
pub(crate) const TOLERANCE: f64 = 1.5;
/// Rates of a bad version, all equally likely.
const BAD_RATES: [f64; 6] = [0.9, 0.6, 0.3, 0.15, 0.06, 0.03];
/// Weight, in trials, of the prior that one of a hundred trials of the base is a hit.
const PRIOR_TRIALS: f64 = 50.0;
/// Probability that the base currently does not behave as in the past, for example in an overload.
const DISTURBANCE_PROBABILITY: f64 = 0.02;
/// Rates of the base in that case, all equally likely: a geometric series from the lowest rate.
const LOWEST_RATE: f64 = 0.000_5;
const RATE_RATIO: f64 = 1.39;
const DISTURBANCE_RATES: i32 = 23;

/// Number of hits among a number of trials.
#[derive(Clone, Copy, Debug)]
pub struct Proportion {
    /// Trials that showed a fault.
    pub hits: u64,
    /// All trials.
    pub trials: u64,
}

impl Proportion {
    /// Returns the log likelihood at a rate.
    fn log_likelihood(self, rate: f64) -> f64 {
        let misses = self.trials.saturating_sub(self.hits) as f64;
        self.hits as f64 * rate.ln() + misses * (1.0 - rate).ln()
    }

    /// Returns the estimated rate, which the prior keeps low while there are few trials.
    fn usual_rate(self) -> f64 {
        (self.hits as f64 + 0.5) / (self.trials as f64 + PRIOR_TRIALS)
    }
}

/// Returns the Bayes factor of the new version being bad against it being as good as its base.
///
/// The rate of the base is unknown: it is its usual rate or, with a probability of 2 %, any other.
/// A point estimate from the few trials that a high share leaves to the base would find the new
/// version bad whenever the base is lucky while a fault affects both. `past` gives the usual rate
/// of the base, and `floor` a rate that never counts against the new version.
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
    let disturbed = (0..DISTURBANCE_RATES).map(|step| LOWEST_RATE * RATE_RATIO.powi(step));
    let log_prior = (DISTURBANCE_PROBABILITY / f64::from(DISTURBANCE_RATES)).ln();
    let usual = std::iter::once((past.usual_rate(), (1.0 - DISTURBANCE_PROBABILITY).ln()));
    let mut good = Vec::new();
    let mut bad = Vec::new();
    for (rate, log_prior) in usual.chain(disturbed.map(|rate| (rate, log_prior))) {
        let allowed = (TOLERANCE * rate).clamp(floor, 0.999);
        let log = log_prior + base.log_likelihood(rate);
        good.push(log + new.log_likelihood(allowed));
        bad.push(log + log_likelihood_if_bad(new, allowed));
    }
    (log_sum_exp(&bad) - log_sum_exp(&good)).exp()
}

/// Returns the Bayes factor of a version being bad against it having this rate.
pub(crate) fn bayes_factor_at_rate(new: Proportion, rate: f64) -> f64 {
    if new.hits == 0 {
        return 0.0;
    }
    (log_likelihood_if_bad(new, TOLERANCE * rate) - new.log_likelihood(rate)).exp()
}

fn log_likelihood_if_bad(new: Proportion, allowed: f64) -> f64 {
    let worse = BAD_RATES.iter().filter(|rate| **rate > allowed);
    let logs: Vec<_> = worse.map(|rate| new.log_likelihood(*rate)).collect();
    log_sum_exp(&logs) - (BAD_RATES.len() as f64).ln()
}

/// Returns the logarithm of the sum of terms that are given as logarithms.
fn log_sum_exp(logs: &[f64]) -> f64 {
    let most = logs.iter().copied().fold(f64::NEG_INFINITY, f64::max);
    if most == f64::NEG_INFINITY {
        return most;
    }
    most + logs.iter().map(|log| (log - most).exp()).sum::<f64>().ln()
}
