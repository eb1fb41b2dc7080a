//! What each class of failure is worth, for calls that may be repeated.
//!
//! The model: 20 targets, 100 calls a second for 60 s of virtual time, with one kind of fault at a
//! time. A call has at most four tries, and a budget of a tenth of the successes where the way has
//! one. Targets that fail five calls in a row are ejected in all ways.

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
const STEP_MS: u64 = 10;
const TRIES: u32 = 4;
const DOWN_MS: u64 = 5_000;
const HINT_MS: u64 = 1_000;

/// A kind of fault.
#[derive(Clone, Copy, PartialEq)]
enum Fault {
    /// 2 of 100 calls answer 500 wherever they go.
    Poison,
    /// One target answers 500 to every call and says that it is well.
    BadTarget,
    /// For 2 s of every 10 s all answer 503 and to come back in 1 s.
    Busy,
    /// 5 of 100 calls answer 404.
    Missing,
    /// 1 of 500 calls ends its target, which refuses connections for 5 s.
    Deadly,
    /// One target at a time restarts and refuses connections for 5 s.
    Restarts,
}

const FAULTS: [(&str, Fault); 6] = [
    ("500 by call", Fault::Poison),
    ("500 by target", Fault::BadTarget),
    ("503 with hint", Fault::Busy),
    ("404", Fault::Missing),
    ("call ends target", Fault::Deadly),
    ("restarts", Fault::Restarts),
];

/// What a way does after a failure: the least wait until the next try, or `None` to give up.
type Rule = fn(Failure, u32) -> Option<Duration>;

const WAYS: [(&str, Rule, bool); 4] = [
    ("baseline: no retry", |_, _| None, false),
    ("baseline: all, at once", |_, _| Some(Duration::ZERO), false),
    ("paper's classes", paper, true),
    ("celerypond", ours, true),
];

fn ours(failure: Failure, tries: u32) -> Option<Duration> {
    let wait = match failure.retry_decision() {
        RetryDecision::OtherTarget => Some(Duration::ZERO),
        RetryDecision::AfterBackoff(wait) => Some(wait),
        RetryDecision::Never => None,
    };
    wait.filter(|_| tries < failure.max_attempts())
}

/// The classes as the paper has them: refused later, 500 never, hints kept.
fn paper(failure: Failure, _: u32) -> Option<Duration> {
    match failure {
        Failure::Refused | Failure::Unreachable => Some(Duration::from_millis(HINT_MS)),
        Failure::Reset | Failure::Timeout => Some(Duration::ZERO),
        Failure::Status {
            code: 503,
            retry_after,
        } => retry_after,
        Failure::Status { .. } | Failure::Protocol => None,
    }
}

/// Takes the measures.
pub(crate) fn run(seeds: u64) -> Vec<Row> {
    let mut rows = Vec::new();
    for (fault_name, fault) in FAULTS {
        for (way, rule, budget) in WAYS {
            let runs = (0..seeds).map(|seed| Model::new(seed, fault, rule, budget).run());
            let runs: Vec<Figures> = runs.collect();
            let row = |measure, unit, of: fn(&Figures) -> f64| {
                let name = format!("{way}, {fault_name}");
                Row::of(measure, name, unit, runs.iter().map(of).collect())
            };
            rows.push(row("classes: wait of retried, mean", "ms", |f| f.wait));
            rows.push(row("classes: calls answered", "share", |f| f.answered));
            rows.push(row("classes: tries", "ratio", |f| f.tries));
            rows.push(row("classes: targets ended", "count", |f| f.ended));
        }
    }
    rows
}

struct Figures {
    answered: f64,
    tries: f64,
    ended: f64,
    /// The mean time from the first try to the answer, of calls that were answered at a later one.
    wait: f64,
}

/// A call to be tried at a time.
struct Call {
    came: u64,
    due: u64,
    kind: f64,
    tries: u32,
    avoid: Vec<usize>,
}

struct Model {
    rng: SmallRng,
    fault: Fault,
    rule: Rule,
    budget: Option<RetryBudget>,
    down: Vec<u64>,
    ended: u32,
}

impl Model {
    fn new(seed: u64, fault: Fault, rule: Rule, budget: bool) -> Self {
        Self {
            rng: SmallRng::seed_from_u64(seed),
            fault,
            rule,
            budget: budget.then(RetryBudget::per_instance),
            down: vec![0; TARGETS],
            ended: 0,
        }
    }

    fn run(mut self) -> Figures {
        let (view, route, keys) = fleet::view(TARGETS, 8, Instant::now());
        let mut detector = OutlierDetector::new(OutlierLimits::default());
        let mut out = [false; TARGETS];
        let (mut answered, mut tries) = (0_u32, 0_u32);
        let (mut waits, mut retried) = (0, 0);
        let mut later: Vec<Call> = Vec::new();
        for ms in (0..CALLS * STEP_MS + 20_000).step_by(STEP_MS as usize) {
            if let Some(pool) = view.pool(route).filter(|_| ms.is_multiple_of(100)) {
                self.eject(&mut detector, pool, &keys, &mut out, ms);
            }
            let (mut due, rest): (Vec<Call>, Vec<Call>) =
                later.into_iter().partition(|c| c.due <= ms);
            later = rest;
            if ms < CALLS * STEP_MS {
                due.push(Call {
                    came: ms,
                    due: ms,
                    kind: self.rng.random(),
                    tries: 0,
                    avoid: vec![],
                });
            }
            for mut call in due {
                let at = self.target(&call, &out);
                tries += 1;
                call.tries += 1;
                match self.answer(&call, at, ms) {
                    None => {
                        answered += 1;
                        waits += ms - call.came;
                        retried += u64::from(call.tries > 1);
                        detector.record_success(keys[at], 100.0);
                        self.budget.iter().for_each(RetryBudget::record_success);
                    }
                    Some(failure) => {
                        let status =
                            |low| matches!(failure, Failure::Status { code, .. } if code < low);
                        if !status(500) && !matches!(failure, Failure::Status { code: 503, .. }) {
                            detector.record_failure(keys[at]);
                        }
                        call.avoid.push(at);
                        later.extend(self.again(call, failure, ms));
                    }
                }
            }
        }
        Figures {
            answered: f64::from(answered) / CALLS as f64,
            tries: f64::from(tries) / CALLS as f64,
            ended: f64::from(self.ended),
            wait: waits as f64 / retried.max(1) as f64,
        }
    }

    fn again(&mut self, call: Call, failure: Failure, ms: u64) -> Option<Call> {
        let wait = (self.rule)(failure, call.tries)?;
        if call.tries >= TRIES
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
            due: ms + jittered.as_millis() as u64,
            ..call
        })
    }

    fn target(&mut self, call: &Call, out: &[bool]) -> usize {
        loop {
            let at = self.rng.random_range(0..TARGETS);
            if !out[at] && !call.avoid.contains(&at) {
                return at;
            }
        }
    }

    fn answer(&mut self, call: &Call, at: usize, ms: u64) -> Option<Failure> {
        if self.fault == Fault::Restarts && ms.is_multiple_of(DOWN_MS) && self.down[at] <= ms {
            self.down[at] = ms + DOWN_MS;
        }
        if self.down[at] > ms {
            return Some(Failure::Refused);
        }
        let status = |code, retry_after| Some(Failure::Status { code, retry_after });
        match self.fault {
            Fault::Poison if call.kind < 0.02 => status(500, None),
            Fault::BadTarget if at == 0 => status(500, None),
            Fault::Busy if ms % 10_000 < 2_000 => status(503, Some(Duration::from_millis(HINT_MS))),
            Fault::Missing if call.kind < 0.05 => status(404, None),
            Fault::Deadly if call.kind < 0.002 => {
                self.ended += 1;
                self.down[at] = ms + DOWN_MS;
                Some(Failure::Reset)
            }
            _ => None,
        }
    }

    fn eject(
        &mut self,
        detector: &mut OutlierDetector,
        pool: &Pool,
        keys: &[celerypond_types::TargetKey],
        out: &mut [bool],
        ms: u64,
    ) {
        for effect in detector.step(pool, ms) {
            let at = |key| keys.iter().position(|one| *one == key).unwrap_or(0);
            match effect {
                OutlierEffect::SetWeight(key, weight) => out[at(key)] = weight == 0,
                OutlierEffect::Probe(key) => {
                    detector.record_probe(key, self.down[at(key)] <= ms, ms)
                }
                OutlierEffect::SetPanicMode(_) => {}
            }
        }
    }
}
