//! Detection of targets that perform worse than their peers.

use std::{collections::HashMap, time::Duration};

use serde::{Deserialize, Serialize};
use tokio::time::Instant;

/// The time after which the weight of a result is halved.
const HALF_LIFE: Duration = Duration::from_millis(1_500);
/// The minimum number of failures of an outlier; fewer may be chance.
const MIN_FAILURES: f64 = 3.0;
/// The minimum number of results of a slow target.
const MIN_RESULTS: f64 = 6.0;
/// A target is an outlier if its failure rate exceeds that of its peers by this factor.
const FAILURE_FACTOR: f64 = 2.5;
/// The failure rate that is assumed for peers with fewer failures, as they may have none.
const RATE_FLOOR: f64 = 0.05;
/// A target is an outlier if its mean response time exceeds that of its peers by this factor.
const SLOW_FACTOR: f64 = 2.5;
/// The mean response time that is assumed for faster peers, in milliseconds.
const SLOW_FLOOR_MS: f64 = 20.0;

/// Recent results of requests at one target, with decaying weights.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Tally {
    /// Responses that were no failures.
    pub good: f32,
    /// Failures, including missing responses.
    pub bad: f32,
    /// The sum of all response times, in milliseconds.
    pub time_ms: f32,
}

impl Tally {
    fn add(&mut self, other: &Self) {
        self.good += other.good;
        self.bad += other.bad;
        self.time_ms += other.time_ms;
    }

    fn scaled(&self, by: f32) -> Self {
        Self {
            good: self.good * by,
            bad: self.bad * by,
            time_ms: self.time_ms * by,
        }
    }

    fn count(&self) -> f64 {
        f64::from(self.good + self.bad)
    }

    fn rate(&self) -> f64 {
        f64::from(self.bad) / self.count().max(1.0)
    }

    fn mean_ms(&self) -> f64 {
        f64::from(self.time_ms) / self.count().max(1.0)
    }
}

/// Recent results of requests at all targets, observed by this instance and its peers.
///
/// A target may fail or slow down for a part of its requests although its health check succeeds,
/// and requests that must not be repeated are lost there. Targets are compared with others of the
/// same service, so that no target is blamed for faulty requests or for a fault that affects all
/// targets.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// use celerypond_relay::Quality;
/// use tokio::time::Instant;
///
/// let now = Instant::now();
/// let mut quality = Quality::default();
/// for n in 0..40 {
///     quality.record(1, n % 2 == 0, Duration::from_millis(50), now);
///     quality.record(2, true, Duration::from_millis(50), now);
/// }
/// assert_eq!(quality.outliers(&[1, 2], now), [1]);
/// ```
#[derive(Clone, Debug, Default)]
pub struct Quality {
    local: HashMap<u64, (Tally, Instant)>,
    /// The reports of other instances by origin.
    peers: HashMap<u64, (Vec<(u64, Tally)>, Instant)>,
}

impl Quality {
    /// Records the result of a request at a target.
    pub fn record(&mut self, target: u64, is_good: bool, time: Duration, now: Instant) {
        let (tally, at) = self.local.entry(target).or_insert((Tally::default(), now));
        *tally = tally.scaled(decay(*at, now));
        *at = now;
        tally.add(&Tally {
            good: f32::from(u8::from(is_good)),
            bad: f32::from(u8::from(!is_good)),
            time_ms: time.as_secs_f32() * 1_000.0,
        });
    }

    /// Returns this instance's recent results, to be reported to other instances.
    pub fn tallies(&self, now: Instant) -> Vec<(u64, Tally)> {
        let local = self.local.iter();
        let local = local.map(|(target, (tally, at))| (*target, tally.scaled(decay(*at, now))));
        local.filter(|(_, tally)| tally.count() > 0.5).collect()
    }

    /// Merges the report of another instance.
    pub fn merge(&mut self, origin: u64, tallies: Vec<(u64, Tally)>, now: Instant) {
        self.peers.insert(origin, (tallies, now));
    }

    /// Forgets this instance's results of requests at a target.
    pub(crate) fn forget(&mut self, target: u64) {
        self.local.remove(&target);
    }

    /// Forgets the report of another instance.
    pub(crate) fn forget_peer(&mut self, origin: u64) {
        self.peers.remove(&origin);
    }

    /// Removes results that are too old to count.
    pub fn sweep(&mut self, now: Instant) {
        let is_kept = |at: Instant| now.saturating_duration_since(at) < HALF_LIFE * 8;
        self.local.retain(|_, (_, at)| is_kept(*at));
        self.peers.retain(|_, (_, at)| is_kept(*at));
    }

    /// Returns the targets of a service that perform much worse than their peers.
    ///
    /// Returns none if these are more than half of the targets, as the others could not take all
    /// requests.
    pub fn outliers(&self, targets: &[u64], now: Instant) -> Vec<u64> {
        let tallies = self.sums(targets, now);
        let is_outlier = |(target, tally): &(u64, Tally)| {
            let mut peers = Tally::default();
            let others = tallies.iter().filter(|(other, _)| other != target);
            others.for_each(|(_, other)| peers.add(other));
            is_failing(tally, &peers) || is_slow(tally, &peers)
        };
        let outliers: Vec<u64> = tallies
            .iter()
            .filter(|entry| is_outlier(entry))
            .map(|(target, _)| *target)
            .collect();
        if outliers.len() * 2 > targets.len() {
            return Vec::new();
        }
        outliers
    }

    /// Returns the targets of a service that fail more often than their peers.
    pub(crate) fn failing(&self, targets: &[u64], now: Instant) -> Vec<u64> {
        let tallies = self.sums(targets, now);
        let is_outlier = |(target, tally): &&(u64, Tally)| {
            let mut peers = Tally::default();
            let others = tallies.iter().filter(|(other, _)| other != target);
            others.for_each(|(_, other)| peers.add(other));
            is_failing(tally, &peers)
        };
        let failing: Vec<u64> = tallies
            .iter()
            .filter(is_outlier)
            .map(|(target, _)| *target)
            .collect();
        if failing.len() * 2 > targets.len() {
            return Vec::new();
        }
        failing
    }

    /// Returns the mean response time of all instances at a target, in milliseconds; `None` if few
    /// are known.
    pub(crate) fn mean_ms(&self, target: u64, now: Instant) -> Option<f64> {
        let (_, tally) = self.sums(&[target], now).first().copied()?;
        (tally.count() >= MIN_RESULTS).then(|| tally.mean_ms())
    }

    fn sums(&self, targets: &[u64], now: Instant) -> Vec<(u64, Tally)> {
        let local = |target: &u64| match self.local.get(target) {
            Some((tally, at)) => tally.scaled(decay(*at, now)),
            None => Tally::default(),
        };
        let mut sums: Vec<(u64, Tally)> = targets
            .iter()
            .map(|target| (*target, local(target)))
            .collect();
        for (tallies, at) in self.peers.values() {
            let share = decay(*at, now);
            for (reported, tally) in tallies {
                if let Some((_, sum)) = sums.iter_mut().find(|(target, _)| target == reported) {
                    sum.add(&tally.scaled(share));
                }
            }
        }
        sums
    }
}

fn is_failing(tally: &Tally, peers: &Tally) -> bool {
    let limit = FAILURE_FACTOR * peers.rate().max(RATE_FLOOR);
    f64::from(tally.bad) >= MIN_FAILURES && tally.rate() > limit
}

fn is_slow(tally: &Tally, peers: &Tally) -> bool {
    let is_known = tally.count() >= MIN_RESULTS && peers.count() >= MIN_RESULTS;
    is_known && tally.mean_ms() > SLOW_FACTOR * peers.mean_ms().max(SLOW_FLOOR_MS)
}

fn decay(since: Instant, now: Instant) -> f32 {
    let age = now.saturating_duration_since(since).as_secs_f32();
    0.5_f32.powf(age / HALF_LIFE.as_secs_f32())
}
