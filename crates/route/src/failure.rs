//! Classes of failures, for calls that may be repeated.

use std::time::Duration;

/// How a try at a target failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// The host refused the connection: no process listens.
    Refused,
    /// The connection could not be made in time.
    Unreachable,
    /// The connection was reset or closed before the response was whole.
    Reset,
    /// No progress was made in time.
    Timeout,
    /// The response broke the protocol or answered another request.
    Protocol,
    /// The target answered with a status that is not a success.
    Status {
        /// The HTTP status code.
        code: u16,
        /// The target's `Retry-After`.
        retry_after: Option<Duration>,
    },
}

/// What to do after a failure of a call that may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryDecision {
    /// Try another target at once: this try did no work, so it costs nothing but a connection.
    OtherTarget,
    /// Try again after a backoff, within the retry budget, not before the given time has passed.
    AfterBackoff(Duration),
    /// Give the failure to the caller: it would come again.
    Never,
}

/// Whom a failure speaks against.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Attribution {
    /// The target: it counts towards ejection.
    Target,
    /// Only the connection: close it and do not pool it.
    Connection,
    /// The request, or nobody.
    Neither,
}

impl Failure {
    /// Classifies the failure of a call that may be repeated.
    ///
    /// The classes are those of "Retry Classification When the Failure Arrives as a Timeout", but
    /// for three. A refused connection goes to another target at once, where the paper waits for
    /// the same peer. A 500 is tried once more, which the paper never does. A reset is tried once
    /// more, which the paper does until a cap. `docs/design/routing.md` has the measurements.
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

    /// Returns how many tries a call may have that ended in this failure, the first one included.
    ///
    /// A 500 or a reset is of the target or of the call, and one more try tells. More would carry a
    /// call that ends targets from one to the next.
    pub const fn max_attempts(self) -> u32 {
        match self {
            Self::Reset | Self::Status { code: 500, .. } => 2,
            Self::Refused | Self::Unreachable => 4,
            Self::Timeout | Self::Protocol | Self::Status { .. } => 3,
        }
    }

    /// Returns whom the failure speaks against.
    ///
    /// `probe` is the outcome of a probe on a new connection, where one was made: when something
    /// between the ends loses track of a connection, it stays silent while the target is well.
    /// Counted against the target, such losses would eject targets that work.
    pub fn attribution(self, probe: Option<bool>) -> Attribution {
        match (self, probe) {
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
