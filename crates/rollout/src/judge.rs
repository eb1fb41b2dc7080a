//! The sequential test of a new version against its base.

use std::collections::BTreeMap;

use celerypond_types::{TargetName, VersionName};

use crate::{
    evidence::{Evidence, Route, Subject},
    histogram::{Histogram, BUCKETS},
    odds::{odds, odds_against, Seen, TOLERANCE},
    plan::Stage,
    splitter::WHOLE_PPM,
    tally::{Tally, Trials},
    verdict::{Cause, Engines, Method, Verdict},
};

/// The odds that trip the brake for failures and incidents.
const TRIP_ODDS: f64 = 1e4;
/// The odds that trip it for slowness, whose samples depend on each other more.
const SLOW_ODDS: f64 = 1e6;
/// The failure rate that nobody minds.
const FAILURE_FLOOR: f64 = 0.005;
/// The part of slow samples that nobody minds; by choice of the bound the base has about half of it.
const SLOW_FLOOR: f64 = 0.10;
/// The part of the base's samples that count as not slow.
const NORMAL_PART: f64 = 0.95;
/// How many buckets above the base's normal bound a sample is slow: 1.25^2, so 1.56 times.
const SLOW_BUCKETS: usize = 2;
/// How many samples of the base fix the bound.
const MIN_BASE_SAMPLES: u64 = 40;
/// The failure rate that is taken for the base's when no traffic is left on it.
const UNPAIRED_RATE: f64 = 0.3;
/// How many successes a failure on other routes needs for the version to do well there.
const WELL_RATIO: u64 = 3;
/// Incidents that an engine may have in a second, before any was seen: one in two hours.
const INCIDENT_PRIOR_S: f64 = 7_200.0;
const MS_PER_S: f64 = 1_000.0;

/// What a window is open on.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Scope {
    cause: Cause,
    is_first: bool,
    route: Option<Route>,
}

/// The trials of both versions.
#[derive(Clone, Debug, Default)]
struct Pair {
    new: Trials,
    base: Trials,
}

/// The start of the current suspicion on one scope.
#[derive(Clone, Debug, Default)]
struct Window {
    start: Pair,
    blamed: BTreeMap<TargetName, u64>,
    elsewhere: Trials,
}

/// What all scopes are weighed with.
#[derive(Clone, Copy, Debug)]
struct Terms {
    is_paired: bool,
    engines: u32,
    scopes: f64,
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
    method: Method,
    windows: BTreeMap<Scope, Window>,
}

impl Judge {
    /// Makes a judge of a version.
    pub fn new(subject: Subject, version: VersionName, base: VersionName, method: Method) -> Self {
        Self {
            subject,
            version,
            base,
            method,
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
        let new = evidence.totals(&self.subject, &self.version);
        let base = evidence.totals(&self.subject, &self.base);
        let has_routes = self.method.routes && new.len() > 1;
        let routes = new.keys().filter(|_| has_routes).map(|route| Some(*route));
        let routes: Vec<Option<&Route>> = std::iter::once(None).chain(routes).collect();
        let terms = Terms {
            is_paired: stage.share_ppm < WHOLE_PPM,
            engines: engines.new,
            scopes: routes.len() as f64,
        };
        let blamed = evidence.blamed(&self.subject, &self.version);
        let mut verdicts = Vec::new();
        for route in routes {
            let all = on_route(&new, None);
            let new = on_route(&new, route);
            let elsewhere = all.first.since(&new.first);
            let base = on_route(&base, route);
            let first = Pair {
                new: new.first,
                base: base.first,
            };
            let later = Pair {
                new: new.later,
                base: base.later,
            };
            for (is_first, pair) in [(true, first), (false, later)] {
                let scope = |cause| Scope {
                    cause,
                    is_first,
                    route: route.cloned(),
                };
                verdicts.extend(self.failures(
                    scope(Cause::Failures),
                    &pair,
                    &blamed,
                    &elsewhere,
                    terms,
                ));
                let slow = if is_first {
                    Cause::FirstToken
                } else {
                    Cause::TokenTime
                };
                verdicts.extend(self.slowness(scope(slow), &pair, terms));
            }
        }
        verdicts.extend(self.incidents(evidence, stage.engines, engines.base, now_ms));
        verdicts
            .into_iter()
            .max_by(|a, b| a.odds.total_cmp(&b.odds))
    }

    fn failures(
        &mut self,
        scope: Scope,
        pair: &Pair,
        blamed: &BTreeMap<TargetName, u64>,
        elsewhere: &Trials,
        terms: Terms,
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
        let seen = Seen {
            hits: failed,
            tried,
        };
        let odds = if terms.is_paired {
            let past = &window.start.base;
            let past = Seen {
                hits: past.failures(),
                tried: past.failures() + past.times.count(),
            };
            let base = Seen {
                hits: base.failures(),
                tried: base_tried,
            };
            odds(seen, base, past, FAILURE_FLOOR)
        } else {
            odds_against(seen, UNPAIRED_RATE)
        };
        if odds <= 1.0 {
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
        // A sick engine fails on all routes: if the version does well on the others, the route is bad.
        let others = elsewhere.since(&window.elsewhere);
        let well = others.times.count();
        let is_route = scope.route.is_some() && well >= WELL_RATIO * others.failures().max(1);
        let is_enough = is_spread || is_route || terms.engines < 2 || !self.method.targets;
        let power = if is_enough { 1 } else { 2 };
        verdict(scope, odds, TRIP_ODDS.powi(power) * terms.scopes)
    }

    fn slowness(&mut self, scope: Scope, pair: &Pair, terms: Terms) -> Option<Verdict> {
        let window = self.windows.entry(scope.clone()).or_default();
        let history = &pair.base.times;
        // With no traffic left on the base nobody can tell a slow version from a busy hour.
        if history.count() < MIN_BASE_SAMPLES || !terms.is_paired {
            window.start = pair.clone();
            return None;
        }
        let slow = (history.bucket_of(NORMAL_PART) + SLOW_BUCKETS).min(BUCKETS - 1);
        let new = pair.new.times.since(&window.start.new.times);
        let base = pair.base.times.since(&window.start.base.times);
        let seen = |times: &Histogram| Seen {
            hits: times.above(slow),
            tried: times.count(),
        };
        let past = seen(&window.start.base.times);
        let odds = odds(seen(&new), seen(&base), past, SLOW_FLOOR);
        if odds <= 1.0 {
            window.start = pair.clone();
            return None;
        }
        verdict(scope, odds, SLOW_ODDS * terms.scopes)
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
        let odds = new.iter().enumerate().map(|(at, first)| {
            let span_s = now_ms.saturating_sub(first.at_ms).max(1) as f64 / MS_PER_S;
            let in_window = base
                .iter()
                .filter(|seen| seen.at_ms + 1_000 >= first.at_ms)
                .count();
            let exposed_s = f64::from(base_engines) * span_s + INCIDENT_PRIOR_S;
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
        let most = odds.fold(0.0, f64::max);
        let scope = Scope {
            cause: Cause::Incidents,
            is_first: false,
            route: None,
        };
        verdict(scope, most, TRIP_ODDS)
    }
}

/// Returns the sums on one route, or on all.
fn on_route(totals: &BTreeMap<&Route, Tally>, route: Option<&Route>) -> Tally {
    let mut sum = Tally::default();
    let chosen = totals
        .iter()
        .filter(|(found, _)| route.is_none_or(|route| route == **found));
    for (_, tally) in chosen {
        sum.merge(tally);
    }
    sum
}

fn verdict(scope: Scope, odds: f64, needed: f64) -> Option<Verdict> {
    (odds >= needed).then_some(Verdict {
        cause: scope.cause,
        route: scope.route,
        odds,
    })
}
