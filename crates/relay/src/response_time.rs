//! The expected response times of plain targets that state their pace.

use std::time::Duration;

use celerypond_types::TargetName;
use tokio::time::Instant;

use crate::Pace;

/// The weight of a response in the estimate: a few slow ones exclude a target, and a single one
/// does not.
const RESPONSE_WEIGHT: f64 = 0.25;
/// The factor by which a response has to differ from the estimate to be reported to other instances.
const REPORTED_FACTOR: f64 = 1.6;
/// The maximum factor by which one response may differ from the estimate, so that none excludes a
/// target alone: a lost response takes as long as the instance waits for it.
const MAX_FACTOR: f64 = 4.0;
/// How long an estimate beyond the slow limit is held without new responses. Repeatable requests
/// that probe the target renew it; where there are none, it fades and other requests probe.
const HOLD: Duration = Duration::from_secs(5);
/// The time after which half of an estimate without new responses is replaced by the prior.
const HALF_LIFE: Duration = Duration::from_secs(4);
/// How long a stated pace has an effect. It changes several times per second.
const PACE_TTL: Duration = Duration::from_millis(300);
/// The maximum effect of a stated pace, relative to the mean of those stated with the responses.
const MAX_PACE_EFFECT: f64 = 2.0;
/// How long a service's targets are compared by time after one of them has stated its pace.
pub(crate) const STATEMENT_TTL: Duration = Duration::from_secs(10);
/// A target is judged slow if its response time exceeds the usual one by this factor.
const SLOW_FACTOR: f64 = 2.0;
/// The maximum time of a connection that is attributed to the network, in milliseconds. A lost
/// packet delays a connection by much more.
const MAX_NETWORK_MS: f64 = 100.0;
/// The maximum share of a response's time that is attributed to the network.
const MAX_NETWORK_SHARE: f64 = 0.5;
/// The maximum time of a response, in milliseconds; reports of longer ones are ignored.
const MAX_RESPONSE_MS: f64 = 600_000.0;
/// The least time that candidates are compared by, in milliseconds.
const MIN_EXPECTED_MS: f64 = 1.0;
/// A slow target is judged usual again below this multiple of the usual response time.
const USUAL_FACTOR: f64 = 1.4;
/// Targets whose expected times are within this factor of the least are equal.
const EQUAL_FACTOR: f64 = 1.3;
/// The share of the latency target up to which a slower target is used as well. Service times vary,
/// and the response has to reach the caller.
const IN_AIM_SHARE: f64 = 0.42;
/// The factor of the usual time, and the share of the latency target, up to which a local target is
/// used as before. Noise ends before other targets would have taken over its requests, and would
/// make them all move to the few targets that are fast at the moment.
const STAY_FACTOR: f64 = 2.5;
const STAY_AIM_SHARE: f64 = 0.6;
/// The free share of a local target's slots below which requests go to other data centres.
const SPILL_SHARE: f64 = 0.5;
/// The share of repeatable requests that is sent to targets which are too slow otherwise, so that
/// their return is noticed.
const PROBE_SHARE: f64 = 0.04;

/// The response time of a plain target, as estimated from the responses of all instances.
///
/// A target turns several times slower for some seconds, and each instance sees few of its
/// responses. Instances report to each other those that differ from the estimate or from the usual
/// time; others would not change it. An estimate of a slow target is held while responses arrive,
/// which repeatable requests ensure. Without any it fades to the usual time, so that the target is
/// used again.
///
/// # Examples
///
/// ```
/// use celerypond_relay::{Pace, ResponseTime};
/// use tokio::time::Instant;
///
/// let now = Instant::now();
/// let mut time = ResponseTime::default();
/// time.record_pace(Pace::USUAL, now);
/// time.record(30.0, 1.0, 30.0, now);
/// assert_eq!(time.take_report(), None);
/// time.record(120.0, 1.0, 30.0, now);
/// assert_eq!(time.take_report(), Some(120.0));
/// assert_eq!(time.estimate_ms(30.0, now).round(), 53.0);
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct ResponseTime {
    /// The time of a response without queueing, in milliseconds, and when it was last updated.
    estimate: Option<(f64, Instant)>,
    /// A response that is to be reported to other instances.
    report: Option<f64>,
    /// The pace that was last stated.
    pace: Option<(Pace, Instant)>,
    /// When another instance last reported a response.
    reported_at: Option<Instant>,
    /// The mean factor of the paces stated with the responses.
    mean_pace: Option<f64>,
    /// The least recent time of a connection, in milliseconds.
    network_ms: f64,
    /// Whether it was judged slow.
    pub(crate) is_slow: bool,
}

/// A target that was judged slow, or usual again.
#[derive(Clone, Debug, PartialEq)]
pub struct PaceJudgement {
    /// The target.
    pub target: TargetName,
    /// Whether it is slow.
    pub is_slow: bool,
    /// The expected time of a response without queueing, in milliseconds.
    pub expected_ms: f64,
    /// The pace that it last stated, as a multiple of its usual time.
    pub pace: Option<f64>,
}

impl ResponseTime {
    /// Records a pace that the target stated.
    pub fn record_pace(&mut self, pace: Pace, now: Instant) {
        let mean = self.mean_pace.unwrap_or(pace.factor());
        self.mean_pace = Some(mean + RESPONSE_WEIGHT * (pace.factor() - mean));
        self.pace = Some((pace, now));
    }

    /// Records the time of a connection.
    pub fn record_connection(&mut self, took: Duration) {
        let took_ms = (took.as_secs_f64() * 1_000.0).min(MAX_NETWORK_MS);
        let is_measured = self.network_ms > 0.0;
        self.network_ms = match is_measured {
            true => took_ms.min(self.network_ms * 1.02),
            false => took_ms,
        };
    }

    /// Records a response of this instance's own request after a queue of `turns` service times,
    /// including its own. Reports it if it differs from the estimate.
    pub fn record(&mut self, took_ms: f64, turns: f64, prior_ms: f64, now: Instant) {
        // A slow connection would exceed each response otherwise, and none would count.
        self.network_ms = self.network_ms.min(took_ms.max(0.0) * MAX_NETWORK_SHARE);
        let work_ms = (took_ms - self.network_ms).max(0.0) / turns.max(1.0);
        if !is_plausible(work_ms) {
            return;
        }
        // The estimates of other instances have faded towards the prior.
        let differs = |from_ms: f64| {
            let range = from_ms / REPORTED_FACTOR..=from_ms * REPORTED_FACTOR;
            from_ms > 0.0 && !range.contains(&work_ms)
        };
        let is_reported = differs(prior_ms) || differs(self.estimate_ms(prior_ms, now));
        // Only statements that this instance received count, so that reports end with them.
        if is_reported && is_within(self.pace.map(|(_, at)| at), STATEMENT_TTL, now) {
            self.report = Some(work_ms);
        }
        self.update(work_ms, prior_ms, now);
    }

    /// Merges the report of another instance, which shows that the target states its pace.
    /// Implausible ones are ignored.
    pub fn merge(&mut self, work_ms: f64, prior_ms: f64, now: Instant) {
        if is_plausible(work_ms) {
            self.reported_at = Some(now);
            self.update(work_ms, prior_ms, now);
        }
    }

    fn update(&mut self, work_ms: f64, prior_ms: f64, now: Instant) {
        let previous = self.estimate_ms(prior_ms, now);
        let estimate = match previous > 0.0 {
            true => {
                let work_ms = work_ms.clamp(previous / MAX_FACTOR, previous * MAX_FACTOR);
                previous + RESPONSE_WEIGHT * (work_ms - previous)
            }
            false => work_ms,
        };
        self.estimate = Some((estimate, now));
    }

    /// Returns and clears the response to be reported to other instances.
    pub fn take_report(&mut self) -> Option<f64> {
        self.report.take()
    }

    /// Returns the time of a response without queueing, in milliseconds. `prior_ms` is that of the
    /// service's other targets.
    pub fn estimate_ms(&self, prior_ms: f64, now: Instant) -> f64 {
        let Some((estimate, at)) = self.estimate else {
            return prior_ms;
        };
        if prior_ms <= 0.0 {
            return estimate;
        }
        let hold = match estimate > prior_ms * SLOW_FACTOR {
            true => HOLD,
            false => Duration::ZERO,
        };
        let age = now.saturating_duration_since(at).saturating_sub(hold);
        let share = 0.5_f64.powf(age.as_secs_f64() / HALF_LIFE.as_secs_f64());
        prior_ms + (estimate - prior_ms) * share
    }

    /// Returns the expected time of a response, in milliseconds, behind a queue of `turns` service
    /// times.
    ///
    /// A stated pace counts relative to those stated with earlier responses, so that a target that
    /// always states a wrong pace is judged by its responses. It counts by half, as it changes
    /// before the request arrives.
    pub fn expected_ms(&self, turns: f64, prior_ms: f64, now: Instant) -> f64 {
        let stated = self.fresh_pace(now).zip(self.mean_pace);
        let effect = stated.map_or(1.0, |(pace, mean)| {
            let ratio = (pace.factor() / mean).clamp(1.0 / MAX_PACE_EFFECT, MAX_PACE_EFFECT);
            (1.0 + ratio) / 2.0
        });
        self.network_ms + self.estimate_ms(prior_ms, now) * effect * turns
    }

    /// Returns whether the target recently stated its pace to this instance or another one.
    pub(crate) fn states_pace(&self, now: Instant) -> bool {
        is_within(self.pace.map(|(_, at)| at), STATEMENT_TTL, now)
            || is_within(self.reported_at, STATEMENT_TTL, now)
    }

    /// Returns whether the target was judged slow and has recently been observed.
    pub(crate) fn is_slow_now(&self, now: Instant) -> bool {
        self.is_slow && self.states_pace(now)
    }

    /// Returns the estimate if there is one.
    pub(crate) fn last_estimate_ms(&self) -> Option<f64> {
        self.estimate.map(|(estimate, _)| estimate)
    }

    /// Returns the factor of the pace that was last stated.
    pub(crate) fn stated_factor(&self) -> Option<f64> {
        self.pace.map(|(pace, _)| pace.factor())
    }

    /// Sets whether the target is slow by the usual time of its service; returns whether that
    /// changed.
    pub(crate) fn set_slow(&mut self, usual_ms: f64, now: Instant) -> bool {
        let estimate = self.estimate_ms(usual_ms, now);
        let factor = if self.is_slow {
            USUAL_FACTOR
        } else {
            SLOW_FACTOR
        };
        let is_slow = usual_ms > 0.0 && estimate > factor * usual_ms;
        std::mem::replace(&mut self.is_slow, is_slow) != is_slow
    }

    fn fresh_pace(&self, now: Instant) -> Option<Pace> {
        let (pace, at) = self.pace?;
        (now.saturating_duration_since(at) < PACE_TTL).then_some(pace)
    }
}

/// Returns the usual time of a service by the estimates of its targets: the lower median, as up to
/// half of them may be slow. Returns 0 if none is known.
pub(crate) fn usual_ms(estimates: impl Iterator<Item = f64>) -> f64 {
    let mut all: Vec<f64> = estimates.collect();
    all.sort_by(f64::total_cmp);
    let middle = all.len().saturating_sub(1) / 2;
    all.get(middle).copied().unwrap_or(0.0)
}

fn is_plausible(ms: f64) -> bool {
    ms > 0.0 && ms <= MAX_RESPONSE_MS
}

fn is_within(at: Option<Instant>, ttl: Duration, now: Instant) -> bool {
    at.is_some_and(|at| now.saturating_duration_since(at) < ttl)
}

/// A plain target that a request may be sent to.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    /// The expected time of the response, including the queue, in milliseconds.
    pub expected_ms: f64,
    /// The same if nothing were queued.
    pub idle_ms: f64,
    /// The free share of its slots; negative if requests are queued.
    pub free: f64,
    /// Whether it is in the data centre of this instance.
    pub is_local: bool,
    /// Whether it fails more often than others.
    pub is_failing: bool,
}

/// The request that a target is chosen for.
#[derive(Clone, Copy, Debug)]
pub struct ChoiceQuery {
    /// The latency target; zero if there is none.
    pub aim: Duration,
    /// Whether the request may be sent to a slow target: it may be repeated, and none was tried.
    pub may_probe: bool,
    /// The usual expected time without queues of all targets of the service, including those that
    /// are no candidates, in milliseconds; 0 if unknown.
    pub usual_ms: f64,
    /// A number specific to the request.
    pub tie_breaker: u64,
}

/// Returns the index of the candidate to send a request to; `None` if there are none.
///
/// Instances choose at the same moment by views that are some hundred milliseconds old. If all chose
/// the best target, it would be overloaded until their views have changed. They choose at random
/// instead, by free capacity. A local target is used first as long as it has room. A slow one gets
/// less the slower it is, and in the end only a few requests that may be repeated.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// use celerypond_relay::{choose_candidate, Candidate, ChoiceQuery};
///
/// let query = ChoiceQuery { aim: Duration::from_millis(150), may_probe: false, usual_ms: 31.0,
///     tie_breaker: 5 };
/// let local = Candidate { expected_ms: 31.0, idle_ms: 31.0, free: 0.8, is_local: true,
///     is_failing: false };
/// let remote = Candidate { is_local: false, expected_ms: 30.0, ..local };
/// assert_eq!(choose_candidate(&[remote, local], query), Some(1));
/// let slow = Candidate { expected_ms: 120.0, idle_ms: 120.0, ..local };
/// assert_eq!(choose_candidate(&[remote, slow], query), Some(0));
/// ```
pub fn choose_candidate(candidates: &[Candidate], query: ChoiceQuery) -> Option<usize> {
    let healthy = candidates.iter().filter(|candidate| !candidate.is_failing);
    // The least time would exclude all but one target if that is the only fast one.
    let idle_ms = usual_ms(healthy.map(|candidate| candidate.idle_ms));
    // The candidates that remain may all be slow.
    let idle_ms = match query.usual_ms > 0.0 {
        true => idle_ms.min(query.usual_ms),
        false => idle_ms,
    };
    let limit_ms = (idle_ms * SLOW_FACTOR).max(query.aim.as_secs_f64() * 1_000.0 * IN_AIM_SHARE);
    let share = |candidate: &Candidate| match candidate.is_failing {
        true => 0.0,
        false => speed_share(candidate.idle_ms, idle_ms * EQUAL_FACTOR, limit_ms),
    };
    let draw = |purpose: u64| {
        let bytes = [query.tie_breaker.to_le_bytes(), purpose.to_le_bytes()];
        celerypond_route::hash(bytes.as_flattened()) as f64 / u64::MAX as f64
    };
    if query.may_probe && draw(1) < PROBE_SHARE {
        // A queue there shows that it is still in use.
        let is_unused = |candidate: &Candidate| {
            !candidate.is_failing && share(candidate) <= 0.0 && candidate.free > 0.0
        };
        let weight = |candidate: &Candidate| f64::from(u8::from(is_unused(candidate)));
        if let Some(found) = choose_weighted(candidates, weight, draw(2)) {
            return Some(found);
        }
    }
    let stay_ms = (idle_ms * STAY_FACTOR).min(query.aim.as_secs_f64() * 1_000.0 * STAY_AIM_SHARE);
    let local_share = |candidate: &Candidate| {
        let is_in_aim = !candidate.is_failing && candidate.idle_ms <= stay_ms;
        let share = if is_in_aim { 1.0 } else { share(candidate) };
        (candidate.free / SPILL_SHARE).clamp(0.0, 1.0) * share
    };
    let local =
        |candidate: &Candidate| f64::from(u8::from(candidate.is_local)) * local_share(candidate);
    if let Some(found) = choose_weighted(candidates, local, draw(3))
        && draw(4) < local_share(&candidates[found])
    {
        return Some(found);
    }
    let by_room = |candidate: &Candidate| {
        candidate.free.max(0.0) * share(candidate) / candidate.idle_ms.max(MIN_EXPECTED_MS)
    };
    let by_time = |candidate: &Candidate| match candidate.is_failing {
        true => 0.0,
        false => candidate.expected_ms.max(MIN_EXPECTED_MS).powi(-2),
    };
    let any = |candidate: &Candidate| candidate.expected_ms.max(MIN_EXPECTED_MS).powi(-2);
    choose_weighted(candidates, by_room, draw(5))
        .or_else(|| choose_weighted(candidates, by_time, draw(6)))
        .or_else(|| choose_weighted(candidates, any, draw(7)))
        .or_else(|| (!candidates.is_empty()).then_some(0))
}

/// Returns the share of its room that a target of this time gets.
fn speed_share(time_ms: f64, equal_ms: f64, limit_ms: f64) -> f64 {
    if time_ms <= equal_ms {
        return 1.0;
    }
    ((limit_ms - time_ms) / (limit_ms - equal_ms).max(1e-3)).clamp(0.0, 1.0)
}

/// Returns the index of a candidate by weight; `draw` is between 0 and 1. Returns `None` if no
/// candidate has a weight.
fn choose_weighted(
    candidates: &[Candidate],
    weight: impl Fn(&Candidate) -> f64,
    draw: f64,
) -> Option<usize> {
    let weights = candidates.iter().map(weight).enumerate();
    let weights: Vec<(usize, f64)> = weights.filter(|(_, weight)| *weight > 0.0).collect();
    let sum: f64 = weights.iter().map(|(_, weight)| weight).sum();
    let mut left = draw * sum;
    for (index, weight) in &weights {
        left -= weight;
        if left <= 0.0 {
            return Some(*index);
        }
    }
    weights.last().map(|(index, _)| *index)
}
