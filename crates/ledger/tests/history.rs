//! The history of a simulation: what callers were told and what the service ran, with the checks on
//! it.

use std::collections::BTreeMap;

use celerypond_ledger::{Answer, CallId, CallKey};
use celerypond_types::Outcome;
use todc_utils::{
    linearizability::WGLChecker,
    Action::{self, Call, Response},
    History as Actions, Specification,
};
use tokio::time::Instant;

/// A call as one caller made it.
#[derive(Clone, Debug)]
pub(crate) struct Attempt {
    pub(crate) key: CallKey,
    pub(crate) started_at: Instant,
    /// When the call must have been sent.
    pub(crate) send_by: Instant,
    /// The answer and its time; `None` if there is none yet, or if the instance crashed.
    pub(crate) answer: Option<(Instant, Answer)>,
    pub(crate) instance_crashed: bool,
}

/// One run of a call by the service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Execution {
    pub(crate) key: CallKey,
    pub(crate) id: CallId,
    /// Identifies the execution; its response contains this number.
    pub(crate) number: u64,
    pub(crate) at: Instant,
}

#[derive(Debug, Default)]
pub(crate) struct History {
    pub(crate) attempts: BTreeMap<CallId, Attempt>,
    pub(crate) executions: Vec<Execution>,
    /// Violations found during the simulation.
    pub(crate) violations: Vec<String>,
}

/// The specification of one key: a register that the execution of its call writes once.
struct WriteOnceRegister;

impl Specification for WriteOnceRegister {
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
    /// Returns all violations of at-most-once execution and of the outcomes that callers were told.
    pub(crate) fn check(&self) -> Vec<String> {
        let mut violations = self.violations.clone();
        let mut by_key: BTreeMap<CallKey, Vec<Execution>> = BTreeMap::new();
        for execution in &self.executions {
            by_key.entry(execution.key).or_default().push(*execution);
        }
        for (key, executions) in &by_key {
            if executions.len() > 1 {
                violations.push(format!("{key} ran {} times", executions.len()));
            }
            let mut attempts = self.attempts.values().filter(|a| a.key == *key);
            if attempts.all(|a| a.was_told_not_run()) {
                violations.push(format!(
                    "{key} ran, but all its callers were told that it did not run"
                ));
            }
        }
        for execution in &self.executions {
            let attempt = &self.attempts[&execution.id];
            if attempt.was_told_not_run() {
                violations.push(format!(
                    "{:?} ran, but its caller was told that it did not run",
                    execution.id
                ));
            }
            if execution.at > attempt.send_by + crate::simulation::MAX_SERVICE_DELAY {
                violations.push(format!("{:?} ran too late", execution.id));
            }
        }
        for (id, attempt) in &self.attempts {
            if attempt.answer.is_none() && !attempt.instance_crashed {
                violations.push(format!("{id:?} was never answered"));
            }
            if let Some(number) = attempt.execution_number() {
                let same_key = by_key.get(&attempt.key);
                if same_key.is_none_or(|all| all.iter().all(|e| e.number != number)) {
                    violations.push(format!("{id:?} got the result of another call"));
                }
            }
        }
        for key in by_key.keys() {
            if !self.is_linearizable(*key) {
                violations.push(format!("{key} is not linearizable"));
            }
        }
        violations
    }

    /// Returns the calls that arrived after all faults had ended and did not get a response, unless a
    /// call with the same key was sent earlier and its outcome was lost.
    pub(crate) fn check_calls_after_faults(
        &self,
        faults_end: Instant,
        outcomes_may_be_lost: bool,
    ) -> Vec<String> {
        let late_calls = self
            .attempts
            .iter()
            .filter(|(_, a)| a.started_at >= faults_end);
        let failed =
            late_calls.filter(
                |(_, attempt)| match attempt.answer.as_ref().map(|(_, a)| a) {
                    Some(Answer::Outcome(Outcome::Ran(_))) => false,
                    Some(Answer::Outcome(Outcome::Unknown)) => !outcomes_may_be_lost,
                    Some(Answer::Outcome(Outcome::NotRun { .. }) | Answer::KeyReused) | None => {
                        true
                    }
                },
            );
        failed
            .map(|(id, attempt)| format!("{id:?} ended as {:?}", attempt.answer))
            .collect()
    }

    /// Returns whether the answers of one key can be ordered such that the register is written once
    /// and then read.
    ///
    /// An attempt without a known outcome is included if the service ran it; it may take effect at
    /// any time until the end. An attempt that was told that it did not run is left out.
    fn is_linearizable(&self, key: CallKey) -> bool {
        let mut actions: Vec<(Option<Instant>, usize, Action<Option<u64>>)> = Vec::new();
        let same_key = self.attempts.iter().filter(|(_, a)| a.key == key);
        for (process, (id, attempt)) in same_key.enumerate() {
            let executed = self.executions.iter().find(|e| e.id == *id);
            let (number, end) = match (attempt.execution_number(), executed) {
                (Some(number), _) => (number, attempt.answer.as_ref().map(|(at, _)| *at)),
                (None, Some(execution)) => (execution.number, None),
                (None, None) => continue,
            };
            actions.push((Some(attempt.started_at), process, Call(Some(number))));
            actions.push((end, process, Response(Some(number))));
        }
        // `None` sorts after all times.
        actions.sort_by_key(|(at, ..)| (at.is_none(), *at));
        let actions: Vec<_> = actions.into_iter().map(|(_, p, a)| (p, a)).collect();
        actions.is_empty()
            || WGLChecker::<WriteOnceRegister>::is_linearizable(Actions::from_actions(actions))
    }
}

impl Attempt {
    pub(crate) fn was_told_not_run(&self) -> bool {
        let answer = self.answer.as_ref().map(|(_, answer)| answer);
        matches!(answer, Some(Answer::Outcome(Outcome::NotRun { .. })))
    }

    /// Returns the number of the execution whose response the caller got.
    fn execution_number(&self) -> Option<u64> {
        match &self.answer.as_ref()?.1 {
            Answer::Outcome(Outcome::Ran(reply)) => {
                std::str::from_utf8(&reply.body).ok()?.parse().ok()
            }
            _ => None,
        }
    }
}
