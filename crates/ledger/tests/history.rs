//! What callers saw and what the service ran, and the checks of it.

use std::collections::BTreeMap;

use celerypond_ledger::{Answer, CallId, CallKey};
use celerypond_types::Outcome;
use todc_utils::{
    linearizability::WGLChecker,
    Action::{self, Call, Response},
    History as Actions, Specification,
};
use tokio::time::Instant;

#[derive(Clone, Debug)]
pub(crate) struct Attempt {
    pub(crate) key: CallKey,
    pub(crate) from: Instant,
    /// Until when the service may begin.
    pub(crate) send_by: Instant,
    /// `None` as long as there is no answer; its instance may have crashed.
    pub(crate) answer: Option<(Instant, Answer)>,
    pub(crate) crashed: bool,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Execution {
    pub(crate) key: CallKey,
    pub(crate) id: CallId,
    pub(crate) number: u64,
    pub(crate) at: Instant,
}

#[derive(Debug, Default)]
pub(crate) struct History {
    pub(crate) attempts: BTreeMap<CallId, Attempt>,
    pub(crate) executions: Vec<Execution>,
    pub(crate) faults: Vec<String>,
}

/// A register per key that is written once, by the execution.
struct Once;

impl Specification for Once {
    type State = Option<u64>;
    type Operation = Option<u64>;

    fn init() -> Self::State {
        None
    }

    fn apply(operation: &Self::Operation, state: &Self::State) -> (bool, Self::State) {
        (state.is_none() || state == operation, *operation)
    }
}

impl History {
    pub(crate) fn check(&self) -> Vec<String> {
        let mut faults = self.faults.clone();
        let mut by_key: BTreeMap<CallKey, Vec<Execution>> = BTreeMap::new();
        for execution in &self.executions {
            by_key.entry(execution.key).or_default().push(*execution);
        }
        for (key, executions) in &by_key {
            if executions.len() > 1 {
                faults.push(format!("{key} ran {} times", executions.len()));
            }
            let mut attempts = self.attempts.values().filter(|a| a.key == *key);
            if attempts.all(|a| a.told_not_run()) {
                faults.push(format!("{key} ran, and all its callers were told not run"));
            }
        }
        for execution in &self.executions {
            let attempt = &self.attempts[&execution.id];
            if attempt.told_not_run() {
                faults.push(format!("{:?} ran and was told not run", execution.id));
            }
            if execution.at > attempt.send_by + crate::world::SERVICE_MOST {
                faults.push(format!("{:?} ran after its time", execution.id));
            }
        }
        for (id, attempt) in &self.attempts {
            if attempt.answer.is_none() && !attempt.crashed {
                faults.push(format!("{id:?} was never answered"));
            }
            if let Some(number) = attempt.ran() {
                let of_key = by_key.get(&attempt.key);
                if of_key.is_none_or(|all| all.iter().all(|e| e.number != number)) {
                    faults.push(format!("{id:?} got the result of another call"));
                }
            }
        }
        for key in by_key.keys() {
            if !self.linearizable(*key) {
                faults.push(format!("{key} is not linearizable"));
            }
        }
        faults
    }

    /// Checks the calls that came after all faults had ended: each has a result, unless a call with
    /// its key was sent before and its outcome is lost.
    pub(crate) fn check_after(&self, healed: Instant, may_be_lost: bool) -> Vec<String> {
        let late = self.attempts.iter().filter(|(_, a)| a.from >= healed);
        let bad = late.filter(
            |(_, attempt)| match attempt.answer.as_ref().map(|(_, a)| a) {
                Some(Answer::Outcome(Outcome::Ran(_))) => false,
                Some(Answer::Outcome(Outcome::Unknown)) => !may_be_lost,
                Some(Answer::Outcome(Outcome::NotRun { .. }) | Answer::KeyReused) | None => true,
            },
        );
        bad.map(|(id, attempt)| format!("{id:?} ended as {:?}", attempt.answer))
            .collect()
    }

    /// Whether the answers of one key have an order in which it is written once and then read.
    ///
    /// An attempt without a known outcome takes part if the service ran it, and then may take
    /// effect at any time until the end. One that was told not run has no effect on the register.
    fn linearizable(&self, key: CallKey) -> bool {
        let mut actions: Vec<(Option<Instant>, usize, Action<Option<u64>>)> = Vec::new();
        let of_key = self.attempts.iter().filter(|(_, a)| a.key == key);
        for (process, (id, attempt)) in of_key.enumerate() {
            let executed = self.executions.iter().find(|e| e.id == *id);
            let (number, end) = match (attempt.ran(), executed) {
                (Some(number), _) => (number, attempt.answer.as_ref().map(|(at, _)| *at)),
                (None, Some(execution)) => (execution.number, None),
                (None, None) => continue,
            };
            actions.push((Some(attempt.from), process, Call(Some(number))));
            actions.push((end, process, Response(Some(number))));
        }
        // `None` is the end of time.
        actions.sort_by_key(|(at, ..)| (at.is_none(), *at));
        let actions: Vec<_> = actions.into_iter().map(|(_, p, a)| (p, a)).collect();
        actions.is_empty() || WGLChecker::<Once>::is_linearizable(Actions::from_actions(actions))
    }
}

impl Attempt {
    pub(crate) fn told_not_run(&self) -> bool {
        let answer = self.answer.as_ref().map(|(_, answer)| answer);
        matches!(answer, Some(Answer::Outcome(Outcome::NotRun { .. })))
    }

    /// The number of the execution whose result the caller got.
    fn ran(&self) -> Option<u64> {
        match &self.answer.as_ref()?.1 {
            Answer::Outcome(Outcome::Ran(reply)) => {
                std::str::from_utf8(&reply.body).ok()?.parse().ok()
            }
            _ => None,
        }
    }
}
