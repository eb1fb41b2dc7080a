//! What became of a call.

use std::time::Duration;

use thiserror::Error;

/// What became of a call that may not be repeated.
///
/// `NotRun` promises that the call had no effect. `Unknown` makes no promise.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome<T> {
    /// The call ran and gave this result.
    Ran(T),
    /// The call did not run; the caller may send it again after `retry_after`.
    NotRun {
        /// Why it did not run.
        reason: NotRunReason,
        /// When a new try is likely to be admitted.
        retry_after: Duration,
    },
    /// The call may have run.
    Unknown,
}

/// Why a call did not run.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq, Hash)]
pub enum NotRunReason {
    /// The account used up its share.
    #[error("the account is over its limit")]
    AccountLimit,
    /// The expected wait is longer than the deadline.
    #[error("the expected wait is longer than the deadline")]
    Overload,
    /// No target that may serve the call is live.
    #[error("no target is available")]
    NoTarget,
    /// The store that must record the call does not answer.
    #[error("the store is not available")]
    StoreDown,
    /// No target accepted a connection.
    #[error("no connection could be made")]
    NotConnected,
    /// The target said so, and the bundle says that its word proves it.
    #[error("the target refused the call")]
    Refused,
    /// The retry budget is used up.
    #[error("the retry budget is used up")]
    RetryBudget,
    /// This instance is stopping.
    #[error("the instance is stopping")]
    Stopping,
}
