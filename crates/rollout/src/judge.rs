//! Sequential test of a new version against its base.

use std::collections::BTreeMap;

use celerypond_types::{TargetName, VersionName};

use crate::{
    bayes::{bayes_factor, bayes_factor_at_rate, Proportion, TOLERANCE},
    evidence::{Evidence, RequestClass, Subject},
    histogram::{Histogram, BUCKET_COUNT},
    plan::Stage,
    splitter::FULL_SHARE_PPM,
    tally::{Tally, TrialCounts},
    verdict::{Cause, Engines, RolloutConfig, Verdict},
};

/// Bayes factor at which the brake is set for failures and incidents.
const FAILURE_THRESHOLD: f64 = 1e4;
/// Bayes factor at which it is set for slowness. It is higher because times of trials are more
/// correlated.
const SLOWNESS_THRESHOLD: f64 = 1e6;
/// Failure rate that never counts against a version.
const FAILURE_FLOOR: f64 = 0.005;
/// Fraction of slow samples that never counts against a version; the base has about half of it, by
/// the choice of [`NORMAL_QUANTILE`].
const SLOW_FLOOR: f64 = 0.10;
/// Fraction of the samples of the base that are not slow.
const NORMAL_QUANTILE: f64 = 0.95;
/// Number of buckets above that quantile from which a sample is slow: 1.25^2, so 1.56 times its
/// bound.
const SLOW_BUCKETS: usize = 2;
/// Minimum number of samples of the base to determine the quantile.
const MIN_BASE_SAMPLES: u64 = 40;
/// Failure rate assumed for the base when it gets no traffic any more.
const ASSUMED_BASE_RATE: f64 = 0.3;
/// Successes per failure from which a version counts as healthy on other request classes.
const HEALTHY_RATIO: u64 = 3;
/// Prior for the rate of incidents: one in this time of an engine (two hours), in seconds.
const PRIOR_ENGINE_S: f64 = 7_200.0;
const MS_PER_S: f64 = 1_000.0;

/// One of the comparisons of the two versions that are made separately.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Scope {
    cause: Cause,
    /// Whether first chunks are compared or later ones.
    is_first: bool,
    /// Request class; `None` for all together.
    class: Option<RequestClass>,
}

/// Trial counts of both versions.
#[derive(Clone, Debug, Default)]
struct VersionPair {
    new: TrialCounts,
    base: TrialCounts,
}

/// Counts at the start of the window of a scope.
#[derive(Clone, Debug, Default)]
struct Window {
    start: VersionPair,
    target_failures: BTreeMap<TargetName, u64>,
    other_classes: TrialCounts,
}

/// Conditions of the current stage that all scopes have in common.
#[derive(Clone, Copy, Debug)]
struct StageContext {
    has_base_traffic: bool,
    candidate_engines: u32,
    scope_count: f64,
}

/// Tests one version against its base on the merged evidence of all instances.
///
/// Failures and slow trials are tested for each scope in a window that starts at the first sign of
/// a fault. Within it, a mixture of rates of a bad version is compared with a version whose rate is
/// at most 1.5 times that of the base *in the same window*: a fault that affects both, such as an
/// overload or a network partition, raises the rate that is expected of the new version. The window
/// restarts when its Bayes factor falls to 1, so that a fault after some minutes is not hidden by
/// the good minutes before it.
#[derive(Clone, Debug)]
pub struct Judge {
    subject: Subject,
    version: VersionName,
    base: VersionName,
    config: RolloutConfig,
    windows: BTreeMap<Scope, Window>,
}

impl Judge {
    /// Creates a judge of a version.
    pub fn new(
        subject: Subject,
        version: VersionName,
        base: VersionName,
        config: RolloutConfig,
    ) -> Self {
        Self {
            subject,
            version,
            base,
            config,
            windows: BTreeMap::new(),
        }
    }

    /// Tests the evidence so far; returns the finding with the highest Bayes factor, if the version
    /// is bad.
    pub fn evaluate(
        &mut self,
        evidence: &Evidence,
        stage: &Stage,
        engines: Engines,
        now_ms: u64,
    ) -> Option<Verdict> {
        let new = evidence.totals_by_class(&self.subject, &self.version);
        let base = evidence.totals_by_class(&self.subject, &self.base);
        let is_per_class = self.config.per_class && new.len() > 1;
        let classes = new
            .keys()
            .filter(|_| is_per_class)
            .map(|class| Some(*class));
        let classes: Vec<Option<&RequestClass>> = std::iter::once(None).chain(classes).collect();
        let context = StageContext {
            has_base_traffic: stage.share_ppm < FULL_SHARE_PPM,
            candidate_engines: engines.new,
            scope_count: classes.len() as f64,
        };
        let target_failures = evidence.failures_by_target(&self.subject, &self.version);
        let mut verdicts = Vec::new();
        for class in classes {
            let all = sum_of_class(&new, None);
            let new = sum_of_class(&new, class);
            let other_classes = all.first.since(&new.first);
            let base = sum_of_class(&base, class);
            let first = VersionPair {
                new: new.first,
                base: base.first,
            };
            let later = VersionPair {
                new: new.later,
                base: base.later,
            };
            for (is_first, pair) in [(true, first), (false, later)] {
                let scope = |cause| Scope {
                    cause,
                    is_first,
                    class: class.cloned(),
                };
                verdicts.extend(self.failures(
                    scope(Cause::Failures),
                    &pair,
                    &target_failures,
                    &other_classes,
                    context,
                ));
                let slow = if is_first {
                    Cause::FirstToken
                } else {
                    Cause::TokenTime
                };
                verdicts.extend(self.slowness(scope(slow), &pair, context));
            }
        }
        verdicts.extend(self.incidents(evidence, stage.engines, engines.base, now_ms));
        verdicts
            .into_iter()
            .max_by(|a, b| a.bayes_factor.total_cmp(&b.bayes_factor))
    }

    fn failures(
        &mut self,
        scope: Scope,
        pair: &VersionPair,
        target_failures: &BTreeMap<TargetName, u64>,
        other_classes: &TrialCounts,
        context: StageContext,
    ) -> Option<Verdict> {
        let window = self.windows.entry(scope.clone()).or_default();
        let new = pair.new.since(&window.start.new);
        let base = pair.base.since(&window.start.base);
        let failed = new.failures();
        // Failures often show before successes. Trials of the new version without a result
        // therefore count as successes, and successes of base trials from before the window don't
        // count: a fault that affects both would otherwise seem to affect the new version first.
        let begun = new.sent + window.start.new.pending();
        let trials = begun.saturating_sub(new.discounted).max(failed);
        let pending_before = window.start.base.pending();
        let base_trials = base.failures() + base.times.count().saturating_sub(pending_before);
        let seen = Proportion {
            hits: failed,
            trials,
        };
        let factor = if context.has_base_traffic {
            let past = &window.start.base;
            let past = Proportion {
                hits: past.failures(),
                trials: past.failures() + past.times.count(),
            };
            let base = Proportion {
                hits: base.failures(),
                trials: base_trials,
            };
            bayes_factor(seen, base, past, FAILURE_FLOOR)
        } else {
            bayes_factor_at_rate(seen, ASSUMED_BASE_RATE)
        };
        if factor <= 1.0 {
            window.start = pair.clone();
            window.target_failures = target_failures.clone();
            window.other_classes = other_classes.clone();
            return None;
        }
        let has_new_failures = |(target, count): &(&TargetName, &u64)| {
            **count > window.target_failures.get(*target).copied().unwrap_or(0)
        };
        // A single faulty engine is not a fault of the version, and the router ejects it soon.
        // Failures on one target therefore need twice the evidence.
        let has_several_targets = target_failures.iter().filter(has_new_failures).count() > 1;
        // A faulty engine fails on all request classes. If the others are healthy, the version is
        // bad on this class.
        let others = other_classes.since(&window.other_classes);
        let successes = others.times.count();
        let is_class_fault =
            scope.class.is_some() && successes >= HEALTHY_RATIO * others.failures().max(1);
        let is_conclusive = has_several_targets
            || is_class_fault
            || context.candidate_engines < 2
            || !self.config.stricter_for_single_target;
        let power = if is_conclusive { 1 } else { 2 };
        verdict(
            scope,
            factor,
            FAILURE_THRESHOLD.powi(power) * context.scope_count,
        )
    }

    fn slowness(
        &mut self,
        scope: Scope,
        pair: &VersionPair,
        context: StageContext,
    ) -> Option<Verdict> {
        let window = self.windows.entry(scope.clone()).or_default();
        let history = &pair.base.times;
        // Without traffic on the base, a slow version can't be distinguished from a busy hour.
        if history.count() < MIN_BASE_SAMPLES || !context.has_base_traffic {
            window.start = pair.clone();
            return None;
        }
        let slow = (history.quantile_bucket(NORMAL_QUANTILE) + SLOW_BUCKETS).min(BUCKET_COUNT - 1);
        let new = pair.new.times.since(&window.start.new.times);
        let base = pair.base.times.since(&window.start.base.times);
        let seen = |times: &Histogram| Proportion {
            hits: times.count_above(slow),
            trials: times.count(),
        };
        let past = seen(&window.start.base.times);
        let factor = bayes_factor(seen(&new), seen(&base), past, SLOW_FLOOR);
        if factor <= 1.0 {
            window.start = pair.clone();
            return None;
        }
        verdict(scope, factor, SLOWNESS_THRESHOLD * context.scope_count)
    }

    /// Compares how often targets crash, as Poisson counts since each incident of the new version.
    ///
    /// The incident that starts a window is not counted in it, so a single crash is never a
    /// finding.
    fn incidents(
        &self,
        evidence: &Evidence,
        stage_engines: u32,
        base_engines: u32,
        now_ms: u64,
    ) -> Option<Verdict> {
        let new = evidence.incidents(&self.subject, &self.version);
        let base = evidence.incidents(&self.subject, &self.base);
        let factors = new.iter().enumerate().map(|(at, first)| {
            let span_s = now_ms.saturating_sub(first.at_ms).max(1) as f64 / MS_PER_S;
            let in_window = base
                .iter()
                .filter(|seen| seen.at_ms + 1_000 >= first.at_ms)
                .count();
            let exposed_s = f64::from(base_engines) * span_s + PRIOR_ENGINE_S;
            let rate = TOLERANCE * (in_window as f64 + 1.0) / exposed_s;
            let expected = (rate * f64::from(stage_engines) * span_s).max(f64::MIN_POSITIVE);
            let count = (new.len() - at - 1) as f64;
            let is_worse = count > expected;
            let log = count * (count / expected).ln() - (count - expected);
            if is_worse {
                log.exp()
            } else {
                0.0
            }
        });
        let most = factors.fold(0.0, f64::max);
        let scope = Scope {
            cause: Cause::Incidents,
            is_first: false,
            class: None,
        };
        verdict(scope, most, FAILURE_THRESHOLD)
    }
}

/// Returns the counts of one request class, or of all.
fn sum_of_class(totals: &BTreeMap<&RequestClass, Tally>, class: Option<&RequestClass>) -> Tally {
    let mut sum = Tally::default();
    let chosen = totals
        .iter()
        .filter(|(found, _)| class.is_none_or(|class| class == **found));
    for (_, tally) in chosen {
        sum.merge(tally);
    }
    sum
}

fn verdict(scope: Scope, bayes_factor: f64, threshold: f64) -> Option<Verdict> {
    (bayes_factor >= threshold).then_some(Verdict {
        cause: scope.cause,
        class: scope.class,
        bayes_factor,
    })
}
