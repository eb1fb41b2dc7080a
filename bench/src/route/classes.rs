//! Effect of the retry rule for each class of failure, on calls that may be repeated.
//!
//! The model: 20 targets and 100 calls per second for 60 s of virtual time, with one kind of fault
//! at a time. A call has at most four attempts. Policies with a retry budget allow retries for a
//! tenth of the successes. Under every policy a target that fails five calls in a row is ejected.

use std::time::Duration;

use celerypond_route::{
    Backoff, Failure, OutlierDetector, OutlierEffect, OutlierLimits, Pool, RetryBudget,
    RetryDecision,
};
use rand::{rngs::SmallRng, Rng, SeedableRng};
use tokio::time::Instant;

use super::fleet;
use crate::table::Row;

const TARGETS: usize = 20;
const CALLS: u64 = 6_000;
const ARRIVAL_INTERVAL_MS: u64 = 10;
const MAX_ATTEMPTS: u32 = 4;
const DOWN_MS: u64 = 5_000;
const RETRY_AFTER_MS: u64 = 1_000;

/// A kind of fault.
#[derive(Clone, Copy, PartialEq)]
enum Fault {
    /// 2 of 100 calls get status 500 from every target.
    FailsByCall,
    /// One target answers 500 to every call, but its health probes succeed.
    FailsByTarget,
    /// For 2 s of every 10 s all targets answer 503 with a `Retry-After` of 1 s.
    Unavailable,
    /// 5 of 100 calls get status 404.
    NotFound,
    /// 1 of 500 calls crashes its target, which then refuses connections for 5 s.
    CrashesTarget,
    /// One target at a time restarts and refuses connections for 5 s.
    Restarts,
}

const FAULTS: [(&str, Fault); 6] = [
    ("500 by call", Fault::FailsByCall),
    ("500 by target", Fault::FailsByTarget),
    ("503 with hint", Fault::Unavailable),
    ("404", Fault::NotFound),
    ("call ends target", Fault::CrashesTarget),
    ("restarts", Fault::Restarts),
];

/// Returns the minimum delay before the next attempt after a failure, or `None` to give up. Also
/// takes the number of attempts so far.
type RetryRule = fn(Failure, u32) -> Option<Duration>;

/// The name of a policy, its retry rule and whether it has a retry budget.
const POLICIES: [(&str, RetryRule, bool); 4] = [
    ("baseline: no retry", |_, _| None, false),
    ("baseline: all, at once", |_, _| Some(Duration::ZERO), false),
    ("paper's classes", paper_rule, true),
    ("celerypond", celerypond_rule, true),
];

fn celerypond_rule(failure: Failure, attempts: u32) -> Option<Duration> {
    let wait = match failure.retry_decision() {
        RetryDecision::OtherTarget => Some(Duration::ZERO),
        RetryDecision::AfterBackoff(wait) => Some(wait),
        RetryDecision::Never => None,
    };
    wait.filter(|_| attempts < failure.max_attempts())
}

/// The classes as the paper defines them: retries a refused connection after a delay, never retries
/// a 500, and follows `Retry-After`.
fn paper_rule(failure: Failure, _: u32) -> Option<Duration> {
    match failure {
        Failure::Refused | Failure::Unreachable => Some(Duration::from_millis(RETRY_AFTER_MS)),
        Failure::Reset | Failure::Timeout => Some(Duration::ZERO),
        Failure::Status {
            code: 503,
            retry_after,
        } => retry_after,
        Failure::Status { .. } | Failure::Protocol => None,
    }
}

/// Runs the benchmark for each fault and policy.
pub(crate) fn run(seeds: u64) -> Vec<Row> {
    let mut rows = Vec::new();
    for (fault_name, fault) in FAULTS {
        for (policy, rule, budget) in POLICIES {
            let runs = (0..seeds).map(|seed| Simulation::new(seed, fault, rule, budget).run());
            let runs: Vec<Outcome> = runs.collect();
            let row = |measure, unit, of: fn(&Outcome) -> f64| {
                let name = format!("{policy}, {fault_name}");
                Row::of(measure, name, unit, runs.iter().map(of).collect())
            };
            rows.push(row("classes: wait of retried, mean", "ms", |f| {
                f.retried_ms
            }));
            rows.push(row("classes: calls answered", "share", |f| f.answered));
            rows.push(row("classes: tries", "ratio", |f| f.attempts));
            rows.push(row("classes: targets ended", "count", |f| f.crashes));
        }
    }
    rows
}

struct Outcome {
    answered: f64,
    attempts: f64,
    crashes: f64,
    /// The mean time in ms from arrival to success, over the calls that succeeded on a retry.
    retried_ms: f64,
}

/// A call whose next attempt is scheduled.
struct Call {
    arrived_ms: u64,
    due_ms: u64,
    /// A random number that decides which calls the fault affects.
    draw: f64,
    attempts: u32,
    /// The targets that have failed the call; they are not tried again.
    failed_targets: Vec<usize>,
}

struct Simulation {
    rng: SmallRng,
    fault: Fault,
    rule: RetryRule,
    budget: Option<RetryBudget>,
    /// For each target, the time until which it refuses connections.
    down_until_ms: Vec<u64>,
    crashes: u32,
}

impl Simulation {
    fn new(seed: u64, fault: Fault, rule: RetryRule, budget: bool) -> Self {
        Self {
            rng: SmallRng::seed_from_u64(seed),
            fault,
            rule,
            budget: budget.then(RetryBudget::per_instance),
            down_until_ms: vec![0; TARGETS],
            crashes: 0,
        }
    }

    fn run(mut self) -> Outcome {
        let (view, route, keys) = fleet::view(TARGETS, 8, Instant::now());
        let mut detector = OutlierDetector::new(OutlierLimits::default());
        let mut ejected = [false; TARGETS];
        let (mut answered, mut attempts) = (0_u32, 0_u32);
        let (mut waits, mut retried) = (0, 0);
        let mut scheduled: Vec<Call> = Vec::new();
        for ms in (0..CALLS * ARRIVAL_INTERVAL_MS + 20_000).step_by(ARRIVAL_INTERVAL_MS as usize) {
            if let Some(pool) = view.pool(route).filter(|_| ms.is_multiple_of(100)) {
                self.update_ejections(&mut detector, pool, &keys, &mut ejected, ms);
            }
            let (mut due, rest): (Vec<Call>, Vec<Call>) =
                scheduled.into_iter().partition(|c| c.due_ms <= ms);
            scheduled = rest;
            if ms < CALLS * ARRIVAL_INTERVAL_MS {
                due.push(Call {
                    arrived_ms: ms,
                    due_ms: ms,
                    draw: self.rng.random(),
                    attempts: 0,
                    failed_targets: vec![],
                });
            }
            for mut call in due {
                let at = self.draw_target(&call, &ejected);
                attempts += 1;
                call.attempts += 1;
                match self.attempt_call(&call, at, ms) {
                    None => {
                        answered += 1;
                        waits += ms - call.arrived_ms;
                        retried += u64::from(call.attempts > 1);
                        detector.record_success(keys[at], 100.0);
                        self.budget.iter().for_each(RetryBudget::record_success);
                    }
                    Some(failure) => {
                        let status =
                            |low| matches!(failure, Failure::Status { code, .. } if code < low);
                        if !status(500) && !matches!(failure, Failure::Status { code: 503, .. }) {
                            detector.record_failure(keys[at]);
                        }
                        call.failed_targets.push(at);
                        scheduled.extend(self.schedule_retry(call, failure, ms));
                    }
                }
            }
        }
        Outcome {
            answered: f64::from(answered) / CALLS as f64,
            attempts: f64::from(attempts) / CALLS as f64,
            crashes: f64::from(self.crashes),
            retried_ms: waits as f64 / retried.max(1) as f64,
        }
    }

    fn schedule_retry(&mut self, call: Call, failure: Failure, ms: u64) -> Option<Call> {
        let wait = (self.rule)(failure, call.attempts)?;
        if call.attempts >= MAX_ATTEMPTS
            || self
                .budget
                .as_ref()
                .is_some_and(|budget| !budget.try_take())
        {
            return None;
        }
        let jittered = match self.budget.is_some() && failure != Failure::Refused {
            true => Backoff::default().next_delay(Duration::ZERO, wait, &mut self.rng),
            false => wait,
        };
        Some(Call {
            due_ms: ms + jittered.as_millis() as u64,
            ..call
        })
    }

    fn draw_target(&mut self, call: &Call, ejected: &[bool]) -> usize {
        loop {
            let at = self.rng.random_range(0..TARGETS);
            if !ejected[at] && !call.failed_targets.contains(&at) {
                return at;
            }
        }
    }

    fn attempt_call(&mut self, call: &Call, at: usize, ms: u64) -> Option<Failure> {
        if self.fault == Fault::Restarts
            && ms.is_multiple_of(DOWN_MS)
            && self.down_until_ms[at] <= ms
        {
            self.down_until_ms[at] = ms + DOWN_MS;
        }
        if self.down_until_ms[at] > ms {
            return Some(Failure::Refused);
        }
        let status = |code, retry_after| Some(Failure::Status { code, retry_after });
        match self.fault {
            Fault::FailsByCall if call.draw < 0.02 => status(500, None),
            Fault::FailsByTarget if at == 0 => status(500, None),
            Fault::Unavailable if ms % 10_000 < 2_000 => {
                status(503, Some(Duration::from_millis(RETRY_AFTER_MS)))
            }
            Fault::NotFound if call.draw < 0.05 => status(404, None),
            Fault::CrashesTarget if call.draw < 0.002 => {
                self.crashes += 1;
                self.down_until_ms[at] = ms + DOWN_MS;
                Some(Failure::Reset)
            }
            _ => None,
        }
    }

    fn update_ejections(
        &mut self,
        detector: &mut OutlierDetector,
        pool: &Pool,
        keys: &[celerypond_types::TargetKey],
        ejected: &mut [bool],
        ms: u64,
    ) {
        for effect in detector.step(pool, ms) {
            let at = |key| keys.iter().position(|one| *one == key).unwrap_or(0);
            match effect {
                OutlierEffect::SetWeight(key, weight) => ejected[at(key)] = weight == 0,
                OutlierEffect::Probe(key) => {
                    detector.record_probe(key, self.down_until_ms[at(key)] <= ms, ms)
                }
                OutlierEffect::SetPanicMode(_) => {}
            }
        }
    }
}
