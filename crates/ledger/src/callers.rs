//! Callers who wait.

use std::{collections::BTreeMap, time::Duration};

use celerypond_types::{NotRunReason, Outcome};
use tokio::time::Instant;

use crate::{Answer, Call, CallId, CallKey, Effect, RequestFingerprint, ServiceResponse};

/// A call that is not sent yet, with all who wait for it.
#[derive(Clone, Debug)]
pub(crate) struct Pending {
    pub(crate) key: CallKey,
    pub(crate) fingerprint: RequestFingerprint,
    pub(crate) send_by: Instant,
    pub(crate) service_timeout: Duration,
    pub(crate) callers: Vec<CallId>,
}

/// A call that this instance has sent, or is about to.
#[derive(Clone, Debug)]
pub(crate) struct Running {
    /// The number of its intent.
    pub(crate) number: u64,
    pub(crate) fingerprint: RequestFingerprint,
    pub(crate) until: Instant,
    pub(crate) callers: Vec<CallId>,
}

/// A call whose callers were told unknown while its outcome may still come.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Late {
    pub(crate) fingerprint: RequestFingerprint,
    /// When they were told.
    pub(crate) since: Instant,
}

/// Callers who wait, by what they wait for.
#[derive(Debug, Default)]
pub(crate) struct Callers {
    /// For an intent to be written.
    pub(crate) queue: Vec<Pending>,
    /// For the result of a call of this instance.
    pub(crate) running: BTreeMap<CallKey, Running>,
    /// Calls whose callers were told unknown, by the number of the intent.
    pub(crate) late: BTreeMap<u64, Late>,
    /// For the result of a call of another instance.
    pub(crate) followers: Vec<Pending>,
    pub(crate) effects: Vec<Effect>,
}

impl Callers {
    pub(crate) fn answer(&mut self, callers: &[CallId], answer: &Answer) {
        self.effects.extend(callers.iter().map(|id| Effect::Answer {
            id: *id,
            answer: answer.clone(),
        }));
    }

    pub(crate) fn outcome(&mut self, callers: &[CallId], outcome: Outcome<ServiceResponse>) {
        self.answer(callers, &Answer::Outcome(outcome));
    }

    /// Tells callers whose call was not sent, and now never will be.
    pub(crate) fn refuse(
        &mut self,
        callers: &[CallId],
        reason: NotRunReason,
        retry_after: Duration,
    ) {
        let outcome = Outcome::NotRun {
            reason,
            retry_after,
        };
        self.outcome(callers, outcome);
    }

    /// Lets `pending` wait with a call of the same key that is in `calls`.
    pub(crate) fn join(&mut self, calls: &mut [Pending], pending: &Pending) -> bool {
        // A call without callers was given up and ends as released.
        let mut open = calls.iter_mut().filter(|call| !call.callers.is_empty());
        let Some(same) = open.find(|call| call.key == pending.key) else {
            return false;
        };
        if same.fingerprint == pending.fingerprint {
            same.callers.extend(&pending.callers);
        } else {
            self.answer(&pending.callers, &Answer::KeyReused);
        }
        true
    }

    /// Lets `pending` wait for a call of this instance.
    pub(crate) fn join_running(&mut self, pending: &Pending) -> bool {
        let Some(running) = self.running.get_mut(&pending.key) else {
            return false;
        };
        if running.fingerprint == pending.fingerprint {
            running.callers.extend(&pending.callers);
        } else {
            self.answer(&pending.callers, &Answer::KeyReused);
        }
        true
    }

    /// Refuses the calls in the queue that are too late to be sent.
    pub(crate) fn expire_queue(
        &mut self,
        reason: NotRunReason,
        retry_after: Duration,
        now: Instant,
    ) {
        let late = self.queue.extract_if(.., |call| call.send_by <= now);
        for call in late.collect::<Vec<_>>() {
            self.refuse(&call.callers, reason, retry_after);
        }
    }

    /// Tells callers that their call is unknown.
    pub(crate) fn give_up(&mut self, over: impl FnMut(&mut Pending) -> bool) {
        let over: Vec<_> = self.followers.extract_if(.., over).collect();
        for call in over {
            self.outcome(&call.callers, Outcome::Unknown);
        }
    }

    /// Returns when the first of those who wait must be told something.
    pub(crate) fn first_end(&self) -> Option<Instant> {
        let waiting = self.queue.iter().chain(&self.followers);
        let running = self.running.values().map(|running| running.until);
        waiting.map(|call| call.send_by).chain(running).min()
    }
}

impl From<Call> for Pending {
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
