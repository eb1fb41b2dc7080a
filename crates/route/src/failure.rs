//! Classification of failed attempts of idempotent calls.

use std::time::Duration;

/// How an attempt at a target failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// The connection was refused: no process is listening.
    Refused,
    /// The connection could not be established in time.
    Unreachable,
    /// The connection was reset or closed before the response was complete.
    Reset,
    /// No progress was made in time.
    Timeout,
    /// The response violated the protocol or belonged to another request.
    Protocol,
    /// The target responded with an error status.
    Status {
        /// The HTTP status code.
        code: u16,
        /// The value of the `Retry-After` header.
        retry_after: Option<Duration>,
    },
}

/// Whether and when to retry a failed idempotent call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryDecision {
    /// Retry at another target immediately: no work was done, so the attempt cost only a
    /// connection.
    OtherTarget,
    /// Retry after a backoff of at least this duration, if the retry budget allows it.
    AfterBackoff(Duration),
    /// Return the failure to the client, since a retry would fail in the same way.
    Never,
}

/// What a failure is attributed to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Attribution {
    /// The target; the failure counts towards its ejection.
    Target,
    /// Only the connection, which must be closed and not reused.
    Connection,
    /// Neither: the request itself, or nothing in particular.
    Neither,
}

impl Failure {
    /// Decides whether to retry an idempotent call that failed this way.
    ///
    /// The decisions follow "Retry Classification When the Failure Arrives as a Timeout" with three
    /// exceptions. A refused connection is retried at another target immediately, where the paper
    /// waits for the same peer. A 500 is retried once; the paper never retries it. A reset is
    /// retried once; the paper retries it up to a cap.
    ///
    /// # Examples
    ///
    /// ```
    /// use celerypond_route::{Failure, RetryDecision};
    ///
    /// assert_eq!(Failure::Refused.retry_decision(), RetryDecision::OtherTarget);
    /// let missing = Failure::Status { code: 404, retry_after: None };
    /// assert_eq!(missing.retry_decision(), RetryDecision::Never);
    /// ```
    pub fn retry_decision(self) -> RetryDecision {
        match self {
            Self::Refused | Self::Unreachable => RetryDecision::OtherTarget,
            Self::Reset | Self::Timeout => RetryDecision::AfterBackoff(Duration::ZERO),
            Self::Protocol => RetryDecision::Never,
            Self::Status { code, retry_after } => match code {
                408 | 429 | 502 | 503 | 504 => {
                    RetryDecision::AfterBackoff(retry_after.unwrap_or_default())
                }
                500 => RetryDecision::AfterBackoff(Duration::ZERO),
                _ => RetryDecision::Never,
            },
        }
    }

    /// Returns the maximum number of attempts, including the first, for a call that failed this
    /// way.
    ///
    /// A 500 or a reset may be caused by the target or by the call itself, and one more attempt
    /// tells which. Further attempts would carry a call that crashes targets from one target to the
    /// next.
    pub const fn max_attempts(self) -> u32 {
        match self {
            Self::Reset | Self::Status { code: 500, .. } => 2,
            Self::Refused | Self::Unreachable => 4,
            Self::Timeout | Self::Protocol | Self::Status { .. } => 3,
        }
    }

    /// Returns what the failure is attributed to.
    ///
    /// `probe_succeeded` is the result of a health probe on a new connection, if one was made. When
    /// a middlebox loses a connection, the connection goes silent although the target is healthy;
    /// attributing this to the target would eject healthy targets.
    pub fn attribution(self, probe_succeeded: Option<bool>) -> Attribution {
        match (self, probe_succeeded) {
            (Self::Timeout | Self::Reset, Some(true)) => Attribution::Connection,
            (Self::Refused | Self::Unreachable | Self::Reset | Self::Timeout, _) => {
                Attribution::Target
            }
            (Self::Protocol, _) => Attribution::Target,
            (Self::Status { code, .. }, _) if code >= 500 && code != 503 => Attribution::Target,
            (Self::Status { .. }, _) => Attribution::Neither,
        }
    }
}
