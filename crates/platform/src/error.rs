//! The ways in which a call of the platform fails.

use std::time::Duration;

use thiserror::Error;

/// A failed call of the platform.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum PlatformError {
    /// The condition of a write did not hold; the write took no effect.
    #[error("the condition of the write does not hold")]
    Conflict,
    /// There is no such object.
    #[error("there is no such object")]
    Missing,
    /// The history from which a watch was to go on is no longer kept.
    #[error("the history of the watch is gone")]
    Compacted,
    /// The platform does not answer; a write took no effect.
    #[error("the platform is down")]
    Down,
    /// No answer to a write arrived, so it may have taken effect, also later.
    #[error("the write may have taken effect")]
    Ambiguous,
    /// The value, or an answer, is larger than allowed.
    #[error("the value is larger than allowed")]
    TooLarge,
    /// The platform limits the rate of this call.
    #[error("the platform limits the rate, retry in {retry_after:?}")]
    RateLimited {
        /// When to come back.
        retry_after: Duration,
    },
    /// The share of calls of this instance is used up; nothing was sent.
    #[error("the call budget is used up, retry in {retry_after:?}")]
    BudgetExhausted {
        /// When the budget allows the next call.
        retry_after: Duration,
    },
    /// The platform answered with a status that the contract does not name.
    #[error("unexpected status {0}")]
    Status(u16),
    /// The answer does not have the form of the contract.
    #[error("the answer does not have the agreed form")]
    Malformed,
}

impl PlatformError {
    /// Returns whether the call proves that it had no effect.
    pub const fn no_effect(&self) -> bool {
        !matches!(
            self,
            Self::Ambiguous | Self::Malformed | Self::Status(500..)
        )
    }
}
