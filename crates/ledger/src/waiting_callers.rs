//! The callers that wait for the outcome of a call.

use std::{collections::BTreeMap, time::Duration};

use celerypond_types::{NotRunReason, Outcome};
use tokio::time::Instant;

use crate::{Answer, Call, CallId, CallKey, Effect, RequestFingerprint, ServiceResponse};

/// A call that this instance has not sent, with all callers that wait for it.
#[derive(Clone, Debug)]
pub(crate) struct WaitingCall {
    pub(crate) key: CallKey,
    pub(crate) fingerprint: RequestFingerprint,
    pub(crate) send_by: Instant,
    pub(crate) service_timeout: Duration,
    pub(crate) callers: Vec<CallId>,
}

/// A call that this instance has sent or is about to send.
#[derive(Clone, Debug)]
pub(crate) struct RunningCall {
    pub(crate) intent_number: u64,
    pub(crate) fingerprint: RequestFingerprint,
    /// When the callers are told that the outcome is unknown.
    pub(crate) deadline: Instant,
    pub(crate) callers: Vec<CallId>,
}

/// A call whose callers were told that its outcome is unknown, while the outcome can still arrive.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TimedOutCall {
    pub(crate) fingerprint: RequestFingerprint,
    pub(crate) timed_out_at: Instant,
}

/// The waiting callers, by what they wait for, and the effects that the shard has yet to return.
#[derive(Debug, Default)]
pub(crate) struct WaitingCallers {
    /// Calls whose intents are not written yet.
    pub(crate) queue: Vec<WaitingCall>,
    /// Calls of this instance that have no result yet.
    pub(crate) running: BTreeMap<CallKey, RunningCall>,
    /// Calls whose callers were told that the outcome is unknown, by the number of the intent.
    pub(crate) timed_out: BTreeMap<u64, TimedOutCall>,
    /// Calls that another instance runs and whose result is not in the log yet.
    pub(crate) awaiting_remote: Vec<WaitingCall>,
    pub(crate) effects: Vec<Effect>,
}

impl WaitingCallers {
    pub(crate) fn answer(&mut self, callers: &[CallId], answer: &Answer) {
        self.effects.extend(callers.iter().map(|id| Effect::Answer {
            id: *id,
            answer: answer.clone(),
        }));
    }

    pub(crate) fn answer_outcome(&mut self, callers: &[CallId], outcome: Outcome<ServiceResponse>) {
        self.answer(callers, &Answer::Outcome(outcome));
    }

    /// Answers callers whose call was not sent and never will be.
    pub(crate) fn answer_not_run(
        &mut self,
        callers: &[CallId],
        reason: NotRunReason,
        retry_after: Duration,
    ) {
        let outcome = Outcome::NotRun {
            reason,
            retry_after,
        };
        self.answer_outcome(callers, outcome);
    }

    /// Adds the callers of `new_call` to a call in `calls` that has the same key, if there is one.
    pub(crate) fn join_waiting(
        &mut self,
        calls: &mut [WaitingCall],
        new_call: &WaitingCall,
    ) -> bool {
        // A call without callers was abandoned and will be recorded as released.
        let mut active = calls.iter_mut().filter(|call| !call.callers.is_empty());
        let Some(same) = active.find(|call| call.key == new_call.key) else {
            return false;
        };
        if same.fingerprint == new_call.fingerprint {
            same.callers.extend(&new_call.callers);
        } else {
            self.answer(&new_call.callers, &Answer::KeyReused);
        }
        true
    }

    /// Adds the callers of `new_call` to a running call of this instance that has the same key, if
    /// there is one.
    pub(crate) fn join_running(&mut self, new_call: &WaitingCall) -> bool {
        let Some(running) = self.running.get_mut(&new_call.key) else {
            return false;
        };
        if running.fingerprint == new_call.fingerprint {
            running.callers.extend(&new_call.callers);
        } else {
            self.answer(&new_call.callers, &Answer::KeyReused);
        }
        true
    }

    /// Refuses the calls in the queue whose time to be sent has passed.
    pub(crate) fn expire_queue(
        &mut self,
        reason: NotRunReason,
        retry_after: Duration,
        now: Instant,
    ) {
        let expired = self.queue.extract_if(.., |call| call.send_by <= now);
        for call in expired.collect::<Vec<_>>() {
            self.answer_not_run(&call.callers, reason, retry_after);
        }
    }

    /// Stops waiting for the results of those calls of other instances that `is_over` selects, and
    /// tells their callers that the outcome is unknown.
    pub(crate) fn give_up_remote(&mut self, is_over: impl FnMut(&mut WaitingCall) -> bool) {
        let over: Vec<_> = self.awaiting_remote.extract_if(.., is_over).collect();
        for call in over {
            self.answer_outcome(&call.callers, Outcome::Unknown);
        }
    }

    /// Returns the earliest time at which a caller must be answered.
    pub(crate) fn next_deadline(&self) -> Option<Instant> {
        let waiting = self.queue.iter().chain(&self.awaiting_remote);
        let running = self.running.values().map(|running| running.deadline);
        waiting.map(|call| call.send_by).chain(running).min()
    }
}

impl From<Call> for WaitingCall {
    fn from(call: Call) -> Self {
        Self {
            key: call.key,
            fingerprint: call.fingerprint,
            send_by: call.send_by,
            service_timeout: call.service_timeout,
            callers: vec![call.id],
        }
    }
}
