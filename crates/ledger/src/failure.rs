//! What a failed exchange with a service proves.

use thiserror::Error;

use crate::NotRunCodes;

/// A failed exchange, by what was seen of it.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq, Hash)]
pub enum Failure {
    /// Nothing listens at the address.
    #[error("the connection was refused")]
    Refused,
    /// The connection was not made in time.
    #[error("the connection was not made in time")]
    NotConnected,
    /// The connection was closed or reset.
    #[error("the connection was closed")]
    Closed,
    /// The answer did not arrive in time.
    #[error("the answer did not arrive in time")]
    Timeout,
    /// The answer broke off.
    #[error("the answer broke off")]
    Truncated,
    /// The answer has a status of failure.
    #[error("the answer has the status {0}")]
    Status(u16),
}

/// What may be done after a failure.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RetryDecision {
    /// The call did not run: send it to another target, or later to the same one.
    RetryNotRun,
    /// The call may have run; as it is idempotent, repeat it after a wait.
    RetryIdempotent,
    /// The call may have run and must not be sent again.
    Unknown,
    /// The service's answer is final.
    Final,
}

impl Failure {
    /// Returns what may be done after this failure.
    ///
    /// The order of questions is that of the paper "Retry Classification When the Failure Arrives
    /// as a Timeout": failures that prove something first, then whether the call is idempotent.
    /// Two of its rules are not followed. It takes a reset while the request is sent as a sign
    /// that the request was not completed, and some 5xx answers as an invitation to repeat; in
    /// `tests/test_failure.rs` the same reset and the same 503 come from a service that ran the
    /// call, so without the bundle's word they prove nothing.
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

/// Returns whether an answer says that the service failed or wants the call later, neither of
/// which tells whether the call ran.
pub(crate) const fn is_inconclusive(status: u16) -> bool {
    matches!(status, 408 | 429 | 500..)
}
