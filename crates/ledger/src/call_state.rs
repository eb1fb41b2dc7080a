//! A call that may not be repeated, from permission to outcome.

use std::time::Duration;

use celerypond_types::{NotRunReason, Outcome};
use tokio::time::Instant;

use crate::{failure::is_inconclusive, CallKey, NotRunCodes, ServiceResponse};

/// A call of which no byte can have reached a service.
///
/// It can't be cloned, and only [`UnsentCall::mark_sent`] makes a [`SentCall`], so a call is sent at most once.
/// Only an unsent call can end as not run, as the state that lost that right has no such function:
///
/// ```
/// use std::time::Duration;
///
/// use celerypond_ledger::UnsentCall;
/// use celerypond_types::{NotRunReason, Outcome};
/// use tokio::time::Instant;
///
/// let by = Instant::now() + Duration::from_secs(1);
/// let finished = UnsentCall::unkeyed(by).not_run(NotRunReason::NotConnected, Duration::ZERO);
/// assert!(matches!(finished.outcome(), Outcome::NotRun { .. }));
/// ```
///
/// ```compile_fail,E0599
/// use std::time::Duration;
///
/// use celerypond_ledger::UnsentCall;
/// use celerypond_types::NotRunReason;
/// use tokio::time::Instant;
///
/// let now = Instant::now();
/// let sent = UnsentCall::unkeyed(now + Duration::from_secs(1)).mark_sent(now).unwrap();
/// sent.not_run(NotRunReason::NotConnected, Duration::ZERO);
/// ```
///
/// Nor can it be sent twice:
///
/// ```compile_fail,E0382
/// use std::time::Duration;
///
/// use celerypond_ledger::UnsentCall;
/// use tokio::time::Instant;
///
/// let now = Instant::now();
/// let unsent = UnsentCall::unkeyed(now + Duration::from_secs(1));
/// let first = unsent.mark_sent(now);
/// let second = unsent.mark_sent(now);
/// ```
#[derive(Debug)]
#[must_use = "the caller waits for the outcome"]
pub struct UnsentCall {
    intent: Option<Intent>,
    send_by: Instant,
}

/// A call of which bytes may have reached a service.
#[derive(Debug)]
#[must_use = "the caller waits for the outcome"]
pub struct SentCall {
    intent: Option<Intent>,
}

/// A call with its outcome.
#[derive(Clone, Debug, PartialEq, Eq)]
#[must_use = "the caller waits for the outcome"]
pub struct FinishedCall {
    intent: Option<Intent>,
    outcome: Outcome<ServiceResponse>,
}

/// An intent that this process has written, told from a later one of the same key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Intent {
    pub(crate) key: CallKey,
    pub(crate) number: u64,
}

impl UnsentCall {
    /// Makes a call without a key, which needs no record. It must be sent by `by`.
    pub const fn unkeyed(send_by: Instant) -> Self {
        Self {
            intent: None,
            send_by,
        }
    }

    pub(crate) const fn keyed(intent: Intent, send_by: Instant) -> Self {
        Self {
            intent: Some(intent),
            send_by,
        }
    }

    /// Returns the key, by which the outcome finds its shard.
    pub const fn key(&self) -> Option<CallKey> {
        match self.intent {
            Some(intent) => Some(intent.key),
            None => None,
        }
    }

    /// Makes the call one that may have been sent; to be called right before the first write.
    ///
    /// # Errors
    ///
    /// The call as not run, when the time by which it must be sent has passed. The process may have
    /// been paused since the intent was recorded. Others were told by then that the call is
    /// unknown and have moved on; sent now, it would take effect long after its caller gave up.
    pub fn mark_sent(self, now: Instant) -> Result<SentCall, FinishedCall> {
        if now > self.send_by {
            return Err(self.not_run(NotRunReason::Overload, Duration::ZERO));
        }
        Ok(SentCall {
            intent: self.intent,
        })
    }

    /// Ends the call as not run.
    pub fn not_run(self, reason: NotRunReason, retry_after: Duration) -> FinishedCall {
        let outcome = Outcome::NotRun {
            reason,
            retry_after,
        };
        FinishedCall {
            intent: self.intent,
            outcome,
        }
    }
}

impl SentCall {
    /// Ends the call with the answer of its service.
    ///
    /// An answer that the service's `proof` names is a call that did not run. Any other answer that
    /// the service failed, or wants the call later, says nothing about what ran before it.
    pub fn answered(
        self,
        reply: ServiceResponse,
        retry_after: Duration,
        not_run_codes: &NotRunCodes,
    ) -> FinishedCall {
        let outcome = if not_run_codes.contains(reply.status) {
            Outcome::NotRun {
                reason: NotRunReason::Refused,
                retry_after,
            }
        } else if is_inconclusive(reply.status) {
            Outcome::Unknown
        } else {
            Outcome::Ran(reply)
        };
        FinishedCall {
            intent: self.intent,
            outcome,
        }
    }

    /// Ends the call without an answer: a reset, a timeout, an answer that broke off.
    pub const fn unanswered(self) -> FinishedCall {
        FinishedCall {
            intent: self.intent,
            outcome: Outcome::Unknown,
        }
    }
}

impl FinishedCall {
    /// Returns the key, by which the outcome finds its shard.
    pub const fn key(&self) -> Option<CallKey> {
        match self.intent {
            Some(intent) => Some(intent.key),
            None => None,
        }
    }

    pub(crate) const fn intent(&self) -> Option<Intent> {
        self.intent
    }

    /// Returns the outcome.
    pub fn outcome(self) -> Outcome<ServiceResponse> {
        self.outcome
    }
}
