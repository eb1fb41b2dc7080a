//! What a failed exchange with a service shows about the call.

use thiserror::Error;

use crate::NotRunCodes;

/// A failed exchange with a service, as seen by the client.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq, Hash)]
pub enum Failure {
    /// The connection was refused: nothing listens at the address.
    #[error("the connection was refused")]
    Refused,
    /// The connection was not established in time.
    #[error("timed out while connecting")]
    NotConnected,
    /// The connection was closed or reset.
    #[error("the connection was closed")]
    Closed,
    /// The response did not arrive in time.
    #[error("timed out while waiting for the response")]
    Timeout,
    /// The connection ended in the middle of the response.
    #[error("the response is truncated")]
    Truncated,
    /// The response has an error status.
    #[error("the response has status {0}")]
    Status(u16),
}

/// Whether and how a call may be retried after a failure.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RetryDecision {
    /// The call did not run; it may be sent to another target, or to the same one later.
    RetryNotRun,
    /// The call may have run; as it is idempotent, it may be repeated after a delay.
    RetryIdempotent,
    /// The call may have run and must not be sent again.
    Unknown,
    /// The response of the service is final.
    Final,
}

impl Failure {
    /// Returns whether and how the call may be retried.
    ///
    /// The checks follow the order of the paper "Retry Classification When the Failure Arrives as a
    /// Timeout": first whether the failure proves that the call did not run, then whether the call
    /// is idempotent. Two of its rules are not applied: it takes a reset while the request is sent
    /// as a sign that the request was not completed, and some 5xx responses as a request to retry.
    /// In `tests/test_failure.rs` the same reset and the same 503 come from a service that ran the
    /// call, so without a declaration in the bundle they prove nothing.
    ///
    /// # Examples
    ///
    /// ```
    /// use celerypond_ledger::{RetryDecision, Failure, NotRunCodes};
    ///
    /// let not_run_codes = NotRunCodes::new(&[429]);
    /// assert_eq!(Failure::Refused.retry_decision(false, &not_run_codes), RetryDecision::RetryNotRun);
    /// assert_eq!(Failure::Timeout.retry_decision(false, &not_run_codes), RetryDecision::Unknown);
    /// assert_eq!(Failure::Status(503).retry_decision(false, &not_run_codes), RetryDecision::Unknown);
    /// assert_eq!(Failure::Status(429).retry_decision(false, &not_run_codes), RetryDecision::RetryNotRun);
    /// ```
    pub fn retry_decision(self, idempotent: bool, not_run_codes: &NotRunCodes) -> RetryDecision {
        match self {
            Self::Refused | Self::NotConnected => RetryDecision::RetryNotRun,
            Self::Status(status) if not_run_codes.contains(status) => RetryDecision::RetryNotRun,
            Self::Status(status) if !is_inconclusive(status) => RetryDecision::Final,
            _ if idempotent => RetryDecision::RetryIdempotent,
            Self::Closed | Self::Timeout | Self::Truncated | Self::Status(_) => {
                RetryDecision::Unknown
            }
        }
    }
}

/// Returns whether a response with this status leaves open whether the call ran: the service failed
/// or asks for a retry later, and may have done so after it ran the call.
pub(crate) const fn is_inconclusive(status: u16) -> bool {
    matches!(status, 408 | 429 | 500..)
}
