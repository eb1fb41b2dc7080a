//! The states of a non-idempotent call: unsent, sent and finished.

use std::time::Duration;

use celerypond_types::{NotRunReason, Outcome};
use tokio::time::Instant;

use crate::{failure::is_inconclusive, CallKey, NotRunCodes, ServiceResponse};

/// A call of which no byte can have reached a service.
///
/// It can't be cloned, and only [`UnsentCall::mark_sent`] turns it into a [`SentCall`], so a call is
/// sent at most once. Only an unsent call can be finished as not run without a response of the
/// service:
///
/// ```
/// use std::time::Duration;
///
/// use celerypond_ledger::UnsentCall;
/// use celerypond_types::{NotRunReason, Outcome};
/// use tokio::time::Instant;
///
/// let send_by = Instant::now() + Duration::from_secs(1);
/// let finished = UnsentCall::unkeyed(send_by).not_run(NotRunReason::NotConnected, Duration::ZERO);
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
/// It can't be sent twice:
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

/// A finished call with its outcome.
#[derive(Clone, Debug, PartialEq, Eq)]
#[must_use = "the caller waits for the outcome"]
pub struct FinishedCall {
    intent: Option<Intent>,
    outcome: Outcome<ServiceResponse>,
}

/// Identifies an intent that this process has written. The number distinguishes it from later ones
/// of the same key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Intent {
    pub(crate) key: CallKey,
    pub(crate) number: u64,
}

impl UnsentCall {
    /// Creates a call without a key, which needs no record. It must be sent by `send_by`.
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

    /// Returns the key of the call, which determines the shard that takes its outcome.
    pub const fn key(&self) -> Option<CallKey> {
        match self.intent {
            Some(intent) => Some(intent.key),
            None => None,
        }
    }

    /// Marks the call as one that may have been sent. Must be called right before the first write to
    /// the connection.
    ///
    /// # Errors
    ///
    /// Returns the call as not run if it should have been sent by now, as happens if the process was
    /// paused after the intent was recorded. Callers at other instances have been told by then that
    /// the outcome is unknown; a call sent now would take effect long after they gave up.
    pub fn mark_sent(self, now: Instant) -> Result<SentCall, FinishedCall> {
        if now > self.send_by {
            return Err(self.not_run(NotRunReason::Overload, Duration::ZERO));
        }
        Ok(SentCall {
            intent: self.intent,
        })
    }

    /// Finishes the call as not run.
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
    /// Finishes the call with the response of its service.
    ///
    /// A status in `not_run_codes` means that the call did not run. Any other status by which the
    /// service failed or asks for a retry later leaves open whether the call ran.
    pub fn answered(
        self,
        response: ServiceResponse,
        retry_after: Duration,
        not_run_codes: &NotRunCodes,
    ) -> FinishedCall {
        let outcome = if not_run_codes.contains(response.status) {
            Outcome::NotRun {
                reason: NotRunReason::Refused,
                retry_after,
            }
        } else if is_inconclusive(response.status) {
            Outcome::Unknown
        } else {
            Outcome::Ran(response)
        };
        FinishedCall {
            intent: self.intent,
            outcome,
        }
    }

    /// Finishes the call without a complete response, after a reset, a timeout or a truncated
    /// response.
    pub const fn unanswered(self) -> FinishedCall {
        FinishedCall {
            intent: self.intent,
            outcome: Outcome::Unknown,
        }
    }
}

impl FinishedCall {
    /// Returns the key of the call, which determines the shard that takes its outcome.
    pub const fn key(&self) -> Option<CallKey> {
        match self.intent {
            Some(intent) => Some(intent.key),
            None => None,
        }
    }

    pub(crate) const fn intent(&self) -> Option<Intent> {
        self.intent
    }

    /// Returns the outcome of the call.
    pub fn outcome(self) -> Outcome<ServiceResponse> {
        self.outcome
    }
}
