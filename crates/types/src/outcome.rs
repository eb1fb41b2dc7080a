//! Outcomes of calls.

use std::time::Duration;

use thiserror::Error;

/// The outcome of a call that is not idempotent.
///
/// [`NotRun`](Self::NotRun) guarantees that the call had no effect. [`Unknown`](Self::Unknown)
/// guarantees nothing.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome<T> {
    /// The call ran and returned this result.
    Ran(T),
    /// The call did not run. The caller may retry it after `retry_after`.
    NotRun {
        /// The reason why it did not run.
        reason: NotRunReason,
        /// The delay after which a retry is likely to be admitted.
        retry_after: Duration,
    },
    /// The call may have run.
    Unknown,
}

/// The reason why a call did not run.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq, Hash)]
pub enum NotRunReason {
    /// The account is over its limit.
    #[error("the account is over its limit")]
    AccountLimit,
    /// The expected wait is longer than the deadline.
    #[error("the expected wait is longer than the deadline")]
    Overload,
    /// No target that can serve the call is live.
    #[error("no target is available")]
    NoTarget,
    /// The store, in which the call must be recorded, is unavailable.
    #[error("the store is not available")]
    StoreDown,
    /// No target accepted a connection.
    #[error("no connection could be made")]
    NotConnected,
    /// The target responded with a status code that, according to the bundle, it returns only for
    /// calls that it did not run.
    #[error("the target refused the call")]
    Refused,
    /// The retry budget is exhausted.
    #[error("the retry budget is used up")]
    RetryBudget,
    /// This instance is stopping.
    #[error("the instance is stopping")]
    Stopping,
}
