//! The outcome of requests at the old and the new version of a service.

use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use celerypond_rollout::{bayes_factor, Proportion};
use celerypond_types::VersionName;
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

/// The odds from which a version counts as bad. With lower odds, good versions are rolled back when
/// all targets fail for a moment.
const BAD_ODDS: f64 = 1e4;
/// The odds above which a version does not count as good.
const DOUBTFUL_ODDS: f64 = 30.0;
/// Failure rates up to this one are never attributed to a version.
const TOLERATED_RATE: f64 = 0.005;
/// A response is slow if it takes this many times as long as usual at the old version on its route.
const SLOW_FACTOR: f64 = 3.0;
/// The minimum number of responses of the old version from which its usual time is known.
const MIN_USUAL_COUNT: u32 = 8;
/// The weight of one response in the moving average of the usual time.
const USUAL_TIME_WEIGHT: f64 = 0.05;
/// How long the last report of an instance counts. After that the instance is gone, and nobody else
/// has what it observed.
const REPORT_TTL: Duration = Duration::from_secs(60);

/// Counts of the responses of one version on one route.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answers {
    /// All responses.
    pub all: u32,
    /// Failures.
    pub bad: u32,
    /// Responses that took much longer than usual.
    pub slow: u32,
}

impl Answers {
    const fn failed(self) -> Proportion {
        Proportion {
            hits: self.bad as u64,
            trials: self.all as u64,
        }
    }

    const fn slowed(self) -> Proportion {
        Proportion {
            hits: self.slow as u64,
            trials: self.all as u64,
        }
    }

    const fn add(&mut self, other: Self) {
        self.all += other.all;
        self.bad += other.bad;
        self.slow += other.slow;
    }
}

/// The responses of both versions on one route.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionCounts {
    /// Responses of the previous versions.
    pub old: Answers,
    /// Responses of the version that the order names.
    pub new: Answers,
}

impl VersionCounts {
    fn add(&mut self, other: Self) {
        self.old.add(other.old);
        self.new.add(other.new);
    }

    /// Returns the odds that the new version is worse, by failures or by response time.
    fn odds(&self) -> f64 {
        let worse = |new: Proportion, old: Proportion| bayes_factor(new, old, old, TOLERATED_RATE);
        let failures = worse(self.new.failed(), self.old.failed());
        failures.max(worse(self.new.slowed(), self.old.slowed()))
    }
}

/// What one instance observed during an order. The counts only increase.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvidenceReport {
    /// The id of the instance's process.
    pub origin: u64,
    /// The version that the order names.
    pub version: VersionName,
    /// The responses by the hash of the route's name.
    pub routes: Vec<(u64, VersionCounts)>,
}

/// The outcome of requests at the old and the new version of a service, as observed by all
/// instances.
#[derive(Clone, Debug, Default)]
pub struct Evidence {
    local: BTreeMap<u64, VersionCounts>,
    /// The usual response time of the old version by route, in seconds, and the number of
    /// responses.
    usual: HashMap<u64, (f64, u32)>,
    peers: HashMap<u64, (EvidenceReport, Instant)>,
}

impl Evidence {
    /// Records a response on a route.
    pub fn record(&mut self, route: u64, is_new: bool, is_bad: bool, time: Duration) {
        let took = time.as_secs_f64();
        let (usual, count) = self.usual.entry(route).or_insert((took, 0));
        let is_slow = *count >= MIN_USUAL_COUNT && took > *usual * SLOW_FACTOR;
        if !is_new && !is_bad {
            *usual += (took - *usual) * USUAL_TIME_WEIGHT.max(1.0 / f64::from(*count + 1));
            *count += 1;
        }
        let counts = self.local.entry(route).or_default();
        let answers = if is_new {
            &mut counts.new
        } else {
            &mut counts.old
        };
        answers.add(Answers {
            all: 1,
            bad: u32::from(is_bad),
            slow: u32::from(is_slow),
        });
    }

    /// Returns what this instance observed.
    pub fn report(&self, origin: u64, version: &VersionName) -> EvidenceReport {
        EvidenceReport {
            origin,
            version: version.clone(),
            routes: self
                .local
                .iter()
                .map(|(route, counts)| (*route, *counts))
                .collect(),
        }
    }

    /// Merges the report of another instance, which replaces its previous one.
    pub fn merge(&mut self, report: EvidenceReport, now: Instant) {
        self.peers.insert(report.origin, (report, now));
        self.peers
            .retain(|_, (_, at)| now.saturating_duration_since(*at) < REPORT_TTL);
    }

    /// Returns the responses on all routes.
    pub fn total(&self) -> VersionCounts {
        let mut sum = VersionCounts::default();
        self.routes().values().for_each(|counts| sum.add(*counts));
        sum
    }

    /// Returns whether the new version is almost certainly bad on one route or over all routes.
    pub fn is_bad(&self) -> bool {
        self.odds() > BAD_ODDS
    }

    /// Returns whether the new version is more likely bad than good, if not almost certainly.
    pub fn is_doubtful(&self) -> bool {
        self.odds() > DOUBTFUL_ODDS
    }

    fn odds(&self) -> f64 {
        let routes = self.routes();
        let odds = routes.values().map(VersionCounts::odds);
        odds.fold(self.total().odds(), f64::max)
    }

    fn routes(&self) -> BTreeMap<u64, VersionCounts> {
        let mut all = self.local.clone();
        let reported = self.peers.values().flat_map(|(report, _)| &report.routes);
        for (route, counts) in reported {
            all.entry(*route).or_default().add(*counts);
        }
        all
    }
}
