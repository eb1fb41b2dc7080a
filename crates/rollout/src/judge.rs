//! The sequential test of a new version against its base.

use std::collections::BTreeMap;

use celerypond_types::{TargetName, VersionName};

use crate::{
    bayes::{bayes_factor, bayes_factor_at_rate, Proportion, TOLERANCE},
    evidence::{Evidence, RequestClass, Subject},
    histogram::{Histogram, BUCKET_COUNT},
    plan::Stage,
    splitter::FULL_SHARE_PPM,
    tally::{Tally, TrialCounts},
    verdict::{Cause, Engines, JudgeConfig, Verdict},
};

/// The odds that trip the brake for failures and incidents.
const FAILURE_THRESHOLD: f64 = 1e4;
/// The odds that trip it for slowness, whose samples depend on each other more.
const SLOWNESS_THRESHOLD: f64 = 1e6;
/// The failure rate that nobody minds.
const FAILURE_FLOOR: f64 = 0.005;
/// The part of slow samples that nobody minds; by choice of the bound the base has about half of it.
const SLOW_FLOOR: f64 = 0.10;
/// The part of the base's samples that count as not slow.
const NORMAL_QUANTILE: f64 = 0.95;
/// How many buckets above the base's normal bound a sample is slow: 1.25^2, so 1.56 times.
const SLOW_BUCKETS: usize = 2;
/// How many samples of the base fix the bound.
const MIN_BASE_SAMPLES: u64 = 40;
/// The failure rate that is taken for the base's when no traffic is left on it.
const ASSUMED_BASE_RATE: f64 = 0.3;
/// How many successes a failure on other classes needs for the version to do well there.
const HEALTHY_RATIO: u64 = 3;
/// Incidents that an engine may have in a second, before any was seen: one in two hours.
const PRIOR_ENGINE_S: f64 = 7_200.0;
const MS_PER_S: f64 = 1_000.0;

/// What a window is open on.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Scope {
    cause: Cause,
    is_first: bool,
    class: Option<RequestClass>,
}

/// The trials of both versions.
#[derive(Clone, Debug, Default)]
struct VersionPair {
    new: TrialCounts,
    base: TrialCounts,
}

/// The start of the current suspicion on one scope.
#[derive(Clone, Debug, Default)]
struct Window {
    start: VersionPair,
    blamed: BTreeMap<TargetName, u64>,
    elsewhere: TrialCounts,
}

/// What all scope_count are weighed with.
#[derive(Clone, Copy, Debug)]
struct StageContext {
    has_base_traffic: bool,
    candidate_engines: u32,
    scope_count: f64,
}

/// Tests one version against its base on the merged evidence of all instances.
///
/// For each scope and kind a window is open since the first sign of a fault. Within it the odds of a
/// bad version are a mixture over failure rates, against a version at most half as bad again as the
/// base *in the same window*: what hits both, such as an overload or a partition, raises the rate that
/// is expected of the new version and blames neither. A window whose odds fall to evens is closed, so
/// a fault that shows after minutes is not hidden by the good minutes before.
#[derive(Clone, Debug)]
pub struct Judge {
    subject: Subject,
    version: VersionName,
    base: VersionName,
    config: JudgeConfig,
    windows: BTreeMap<Scope, Window>,
}

impl Judge {
    /// Makes a judge of a version.
    pub fn new(
        subject: Subject,
        version: VersionName,
        base: VersionName,
        config: JudgeConfig,
    ) -> Self {
        Self {
            subject,
            version,
            base,
            config,
            windows: BTreeMap::new(),
        }
    }

    /// Weighs the evidence so far at the present stage.
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
        let blamed = evidence.failures_by_target(&self.subject, &self.version);
        let mut verdicts = Vec::new();
        for class in classes {
            let all = sum_of_class(&new, None);
            let new = sum_of_class(&new, class);
            let elsewhere = all.first.since(&new.first);
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
                    &blamed,
                    &elsewhere,
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
        blamed: &BTreeMap<TargetName, u64>,
        elsewhere: &TrialCounts,
        context: StageContext,
    ) -> Option<Verdict> {
        let window = self.windows.entry(scope.clone()).or_default();
        let new = pair.new.since(&window.start.new);
        let base = pair.base.since(&window.start.base);
        let failed = new.failures();
        // Failures are often known sooner than successes. So trials of the new version that are under
        // way pass for good ones, and successes of the base that began before the window for none:
        // else a fault that hits both would seem to hit the new version first.
        let begun = new.sent + window.start.new.pending();
        let tried = begun.saturating_sub(new.discounted).max(failed);
        let old = window.start.base.pending();
        let base_tried = base.failures() + base.times.count().saturating_sub(old);
        let seen = Proportion {
            hits: failed,
            trials: tried,
        };
        let factor = if context.has_base_traffic {
            let past = &window.start.base;
            let past = Proportion {
                hits: past.failures(),
                trials: past.failures() + past.times.count(),
            };
            let base = Proportion {
                hits: base.failures(),
                trials: base_tried,
            };
            bayes_factor(seen, base, past, FAILURE_FLOOR)
        } else {
            bayes_factor_at_rate(seen, ASSUMED_BASE_RATE)
        };
        if factor <= 1.0 {
            window.start = pair.clone();
            window.blamed = blamed.clone();
            window.elsewhere = elsewhere.clone();
            return None;
        }
        let is_hit = |(target, count): &(&TargetName, &u64)| {
            **count > window.blamed.get(*target).copied().unwrap_or(0)
        };
        // One sick engine is no fault of the version; the router takes it out soon. With twice the
        // evidence on one target alone the version is blamed all the same.
        let is_spread = blamed.iter().filter(is_hit).count() > 1;
        // A sick engine fails on all classes: if the version does well on the others, the class is bad.
        let others = elsewhere.since(&window.elsewhere);
        let successes = others.times.count();
        let is_class_fault =
            scope.class.is_some() && successes >= HEALTHY_RATIO * others.failures().max(1);
        let is_enough = is_spread
            || is_class_fault
            || context.candidate_engines < 2
            || !self.config.spread_over_targets;
        let power = if is_enough { 1 } else { 2 };
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
        // With no traffic left on the base nobody can tell a slow version from a busy hour.
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

    /// Compares how often targets die, as Poisson counts since each incident of the new version.
    ///
    /// The incident that opens a window is not counted in it: one death blames nobody.
    fn incidents(
        &self,
        evidence: &Evidence,
        used: u32,
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
            let expected = (rate * f64::from(used) * span_s).max(f64::MIN_POSITIVE);
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

/// Returns the sums on one class, or on all.
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
