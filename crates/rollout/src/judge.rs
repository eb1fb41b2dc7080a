//! The sequential test of a new version against its base.

use std::collections::{BTreeMap, BTreeSet};

use celerypond_types::{TargetName, VersionName};
use serde::{Deserialize, Serialize};

use crate::{
    evidence::{Evidence, Route, Subject},
    histogram::{Histogram, BUCKETS},
    splitter::WHOLE_PPM,
    tally::Tally,
};

/// The odds that trip the brake for failures and incidents.
const TRIP_ODDS: f64 = 1e4;
/// The odds that trip it for slowness, whose samples depend on each other more.
const SLOW_ODDS: f64 = 1e6;
/// How much worse than its base a version may be.
const TOLERANCE: f64 = 1.5;
/// The failure rate that nobody minds.
const FAILURE_FLOOR: f64 = 0.01;
/// The part of slow samples that nobody minds; by choice of the bound the base has about half of it.
const SLOW_FLOOR: f64 = 0.10;
/// The part of the base's samples that count as not slow.
const NORMAL_PART: f64 = 0.95;
/// How many buckets above the base's normal bound a sample is slow: 1.25^2, so 1.56 times.
const SLOW_BUCKETS: usize = 2;
/// How many samples of the base fix the bound.
const MIN_BASE_SAMPLES: u64 = 40;
/// The failure rate that is taken for the base's when no traffic is left on it.
const UNPAIRED_FLOOR: f64 = 0.3;
/// The rates that a bad version may have, all equally likely.
const BAD_RATES: [f64; 6] = [0.9, 0.6, 0.3, 0.15, 0.06, 0.03];
/// Incidents that an engine may have in a second, before any was seen: one in two hours.
const INCIDENT_PRIOR_S: f64 = 7_200.0;
const MS_PER_S: f64 = 1_000.0;

/// What a version is blamed for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Cause {
    /// It fails more often than its base.
    Failures,
    /// Its targets die or hang more often.
    Incidents,
    /// Its first tokens come later.
    FirstToken,
    /// Its later tokens come more slowly.
    TokenTime,
    /// The deadline came before the final share.
    Deadline,
    /// Too few requests came to judge it by.
    TooLittleEvidence,
}

/// Why the brake is to be tripped.
#[derive(Clone, Debug, PartialEq)]
pub struct Verdict {
    /// What the version is blamed for.
    pub cause: Cause,
    /// On which route, if not overall.
    pub route: Option<Route>,
    /// How much likelier the evidence is of a bad version than of one as good as its base.
    pub odds: f64,
}

/// How the test is done; the default is what the measurements chose.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Method {
    /// Whether each route is tested on its own as well.
    pub routes: bool,
    /// Whether failures on one target only need twice the evidence.
    pub targets: bool,
}

impl Default for Method {
    fn default() -> Self {
        Self {
            routes: true,
            targets: true,
        }
    }
}

/// The sums of both versions.
#[derive(Clone, Debug, Default)]
struct Pair {
    new: Tally,
    base: Tally,
}

/// The start of the current suspicion of one kind on one scope.
#[derive(Clone, Debug, Default)]
struct Window {
    start: Pair,
    blamed: BTreeMap<TargetName, u64>,
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
    windows: BTreeMap<(Cause, Option<Route>), Window>,
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

    /// Weighs the evidence so far; `share_ppm` is the share that the version has now and `engines` the
    /// number of targets that serve it and its base.
    pub fn weigh(
        &mut self,
        evidence: &Evidence,
        share_ppm: u32,
        engines: (u32, u32),
        now_ms: u64,
    ) -> Option<Verdict> {
        let scopes = self.scopes(evidence);
        let bound = scopes.len() as f64;
        let mut verdicts = Vec::new();
        for route in scopes {
            let pair = Pair {
                new: evidence.total(&self.subject, &self.version, route.as_ref()),
                base: evidence.total(&self.subject, &self.base, route.as_ref()),
            };
            let is_paired = share_ppm < WHOLE_PPM;
            verdicts.extend(self.failures(evidence, &pair, &route, is_paired, engines.0, bound));
            if is_paired {
                verdicts.extend(self.slowness(Cause::FirstToken, &pair, &route, bound));
                verdicts.extend(self.slowness(Cause::TokenTime, &pair, &route, bound));
            }
        }
        verdicts.extend(self.incidents(evidence, engines, now_ms));
        verdicts
            .into_iter()
            .max_by(|a, b| a.odds.total_cmp(&b.odds))
    }

    fn scopes(&self, evidence: &Evidence) -> Vec<Option<Route>> {
        let lines = evidence
            .reports(&self.subject)
            .flat_map(|report| &report.lines);
        let of_version = lines.filter(|line| line.version == self.version);
        let routes: BTreeSet<_> = of_version.map(|line| line.route.clone()).collect();
        let single = routes.len() < 2 || !self.method.routes;
        let routes = routes.into_iter().filter(|_| !single).map(Some);
        std::iter::once(None).chain(routes).collect()
    }

    fn failures(
        &mut self,
        evidence: &Evidence,
        pair: &Pair,
        route: &Option<Route>,
        is_paired: bool,
        engines: u32,
        bound: f64,
    ) -> Option<Verdict> {
        let window = self
            .windows
            .entry((Cause::Failures, route.clone()))
            .or_default();
        let new = pair.new.since(&window.start.new);
        let base = pair.base.since(&window.start.base);
        let failed = new.failures();
        // Trials under way pass for good ones: failures are often known sooner than successes.
        let tried = new.sent.saturating_sub(new.discounted).max(failed);
        let base_tried = base.failures() + base.successes();
        let expected = if is_paired {
            expected_rate(base.failures(), base_tried, FAILURE_FLOOR)
        } else {
            UNPAIRED_FLOOR
        };
        let odds = odds(failed, tried, expected);
        let blamed = evidence.blamed(&self.subject, &self.version);
        if odds <= 1.0 {
            window.start = pair.clone();
            window.blamed = blamed;
            return None;
        }
        let of_target = |(target, count): (&TargetName, &u64)| {
            count.saturating_sub(window.blamed.get(target).copied().unwrap_or(0))
        };
        let hit = blamed
            .iter()
            .map(of_target)
            .filter(|count| *count > 0)
            .count();
        // One sick engine is no fault of the version; the router takes it out soon. With twice the
        // evidence on one target alone the version is blamed all the same.
        let is_single = self.method.targets && hit < 2 && engines > 1;
        let needed = if is_single {
            TRIP_ODDS * TRIP_ODDS
        } else {
            TRIP_ODDS
        };
        verdict(Cause::Failures, route, odds, needed * bound)
    }

    fn slowness(
        &mut self,
        cause: Cause,
        pair: &Pair,
        route: &Option<Route>,
        bound: f64,
    ) -> Option<Verdict> {
        let times = |tally: &Tally| match cause {
            Cause::FirstToken => tally.first.clone(),
            _ => tally.gap.clone(),
        };
        let window = self.windows.entry((cause, route.clone())).or_default();
        let history: Histogram = times(&pair.base);
        if history.count() < MIN_BASE_SAMPLES {
            window.start = pair.clone();
            return None;
        }
        let normal = history.bucket_of(NORMAL_PART);
        let slow = (normal + SLOW_BUCKETS).min(BUCKETS - 1);
        let new = times(&pair.new).since(&times(&window.start.new));
        let base = times(&pair.base).since(&times(&window.start.base));
        let expected = expected_rate(base.above(slow), base.count(), SLOW_FLOOR);
        let odds = odds(new.above(slow), new.count(), expected);
        if odds <= 1.0 {
            window.start = pair.clone();
            return None;
        }
        verdict(cause, route, odds, SLOW_ODDS * bound)
    }

    /// Compares how often targets die, as Poisson counts since each incident of the new version.
    ///
    /// The incident that opens a window is not counted in it: one death blames nobody.
    fn incidents(&self, evidence: &Evidence, engines: (u32, u32), now_ms: u64) -> Option<Verdict> {
        let new = evidence.incidents(&self.subject, &self.version);
        let base = evidence.incidents(&self.subject, &self.base);
        let odds = new.iter().enumerate().map(|(at, first)| {
            let span_s = now_ms.saturating_sub(first.at_ms).max(1) as f64 / MS_PER_S;
            let in_window = base
                .iter()
                .filter(|seen| seen.at_ms + 1_000 >= first.at_ms)
                .count();
            let exposed_s = f64::from(engines.1) * span_s + INCIDENT_PRIOR_S;
            let rate = TOLERANCE * (in_window as f64 + 1.0) / exposed_s;
            let expected = (rate * f64::from(engines.0) * span_s).max(f64::MIN_POSITIVE);
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
        verdict(Cause::Incidents, &None, most, TRIP_ODDS)
    }
}

fn verdict(cause: Cause, route: &Option<Route>, odds: f64, needed: f64) -> Option<Verdict> {
    (odds >= needed).then(|| Verdict {
        cause,
        route: route.clone(),
        odds,
    })
}

/// Returns the rate that a version as good as its base may show.
fn expected_rate(hits: u64, tried: u64, floor: f64) -> f64 {
    // Half a hit in one trial is added, so that few trials of the base leave much doubt.
    let rate = (hits as f64 + 0.5) / (tried as f64 + 1.0);
    (TOLERANCE * rate).clamp(floor, 1.0)
}

/// Returns how much likelier `hits` of `tried` are at one of the bad rates than at the expected one.
fn odds(hits: u64, tried: u64, expected: f64) -> f64 {
    if hits == 0 || tried == 0 {
        return 0.0;
    }
    let misses = tried.saturating_sub(hits) as f64;
    let hits = hits as f64;
    let log =
        |rate: f64| hits * (rate / expected).ln() + misses * ((1.0 - rate) / (1.0 - expected)).ln();
    let worse = BAD_RATES
        .iter()
        .filter(|rate| **rate > TOLERANCE * expected);
    let total: f64 = worse.map(|rate| log(*rate).exp()).sum();
    total / BAD_RATES.len() as f64
}
