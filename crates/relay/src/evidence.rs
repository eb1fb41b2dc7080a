//! What became of requests at the old and the new version of a service.

use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use celerypond_rollout::{odds, Seen};
use celerypond_types::VersionName;
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

/// The odds at which a version is called bad; lower ones take back good versions when all targets
/// fail for a moment.
const BAD_ODDS: f64 = 1e4;
/// The odds from which a version is not called good.
const DOUBTFUL_ODDS: f64 = 30.0;
/// Failures up to this rate are never held against a version.
const TOLERATED_RATE: f64 = 0.005;
/// An answer is slow that takes so many times as long as the old version usually does on its route.
const SLOW_FACTOR: f64 = 3.0;
/// Answers of the old version by which its usual time is known.
const MIN_USUAL_COUNT: u32 = 8;
/// The weight of one answer in the usual time.
const USUAL_TIME_WEIGHT: f64 = 0.05;
/// How long what an instance reported counts without a new report; then it is gone, and what it saw
/// is kept by nobody.
const REPORT_TTL: Duration = Duration::from_secs(60);

/// Answers of one version on one route.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answers {
    /// All answers.
    pub all: u32,
    /// Those that failed.
    pub bad: u32,
    /// Those that took much longer than usual.
    pub slow: u32,
}

impl Answers {
    const fn failed(self) -> Seen {
        Seen {
            hits: self.bad as u64,
            tried: self.all as u64,
        }
    }

    const fn slowed(self) -> Seen {
        Seen {
            hits: self.slow as u64,
            tried: self.all as u64,
        }
    }

    const fn add(&mut self, other: Self) {
        self.all += other.all;
        self.bad += other.bad;
        self.slow += other.slow;
    }
}

/// The answers of both versions on one route.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionCounts {
    /// Of the versions before.
    pub old: Answers,
    /// Of the version that the order names.
    pub new: Answers,
}

impl VersionCounts {
    fn add(&mut self, other: Self) {
        self.old.add(other.old);
        self.new.add(other.new);
    }

    /// Returns the odds that the new version is bad, by failures or by slowness.
    fn odds(&self) -> f64 {
        let worse = |new: Seen, old: Seen| odds(new, old, old, TOLERATED_RATE);
        let failures = worse(self.new.failed(), self.old.failed());
        failures.max(worse(self.new.slowed(), self.old.slowed()))
    }
}

/// What one instance has seen of an order; all counts only grow.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvidenceReport {
    /// The run of the instance.
    pub origin: u64,
    /// The version that the order names.
    pub version: VersionName,
    /// The answers by the hash of their route's name.
    pub routes: Vec<(u64, VersionCounts)>,
}

/// What became of requests at the old and the new version of a service, as all instances saw it.
#[derive(Clone, Debug, Default)]
pub struct Evidence {
    local: BTreeMap<u64, VersionCounts>,
    /// The usual time of the old version by route, in seconds, and of how many answers.
    usual: HashMap<u64, (f64, u32)>,
    peers: HashMap<u64, (EvidenceReport, Instant)>,
}

impl Evidence {
    /// Adds an answer on a route.
    pub fn record(&mut self, route: u64, is_new: bool, is_bad: bool, time: Duration) {
        let took = time.as_secs_f64();
        let (usual, count) = self.usual.entry(route).or_insert((took, 0));
        let is_slow = *count >= MIN_USUAL_COUNT && took > *usual * SLOW_FACTOR;
        if !is_new && !is_bad {
            *usual += (took - *usual) * USUAL_TIME_WEIGHT.max(1.0 / f64::from(*count + 1));
            *count += 1;
        }
        let pair = self.local.entry(route).or_default();
        let answers = if is_new { &mut pair.new } else { &mut pair.old };
        answers.add(Answers {
            all: 1,
            bad: u32::from(is_bad),
            slow: u32::from(is_slow),
        });
    }

    /// Returns what this instance saw.
    pub fn report(&self, origin: u64, version: &VersionName) -> EvidenceReport {
        EvidenceReport {
            origin,
            version: version.clone(),
            routes: self
                .local
                .iter()
                .map(|(route, pair)| (*route, *pair))
                .collect(),
        }
    }

    /// Takes in what another instance saw; it replaces what that instance told before.
    pub fn merge(&mut self, report: EvidenceReport, now: Instant) {
        self.peers.insert(report.origin, (report, now));
        self.peers
            .retain(|_, (_, at)| now.saturating_duration_since(*at) < REPORT_TTL);
    }

    /// Returns all answers, over all routes.
    pub fn total(&self) -> VersionCounts {
        let mut sum = VersionCounts::default();
        self.routes().values().for_each(|pair| sum.add(*pair));
        sum
    }

    /// Returns whether the new version is very likely bad on one route or over all of them.
    pub fn is_bad(&self) -> bool {
        self.odds() > BAD_ODDS
    }

    /// Returns whether the new version is likelier bad than good, though not for sure.
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
        let peers = self.peers.values().flat_map(|(report, _)| &report.routes);
        for (route, pair) in peers {
            all.entry(*route).or_default().add(*pair);
        }
        all
    }
}
