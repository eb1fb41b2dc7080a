//! A caller that has returned after it was put off.

use tokio::time::Instant;

/// A caller that has returned after it was put off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Returned {
    /// When its first attempt was received. It keeps its place before callers that came later.
    pub since: Instant,
    /// When it returned, compared with its `Retry-After`.
    pub timing: ReturnTiming,
    /// The number of callers, at least as urgent, that are to return before it; 0 unless it is
    /// early. It must not be served before these.
    pub due_before: u32,
}

/// When a caller returned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReturnTiming {
    /// Before its `Retry-After`. It still counts as put off.
    Early,
    /// At its `Retry-After`.
    OnTime,
    /// After its entry expired or was dropped.
    Expired,
    /// After it had returned before, and was not served.
    Again,
}

impl Returned {
    /// Returns whether the caller returned before its `Retry-After`.
    ///
    /// # Examples
    ///
    /// ```
    /// use celerypond_relay::{Returned, ReturnTiming};
    /// use tokio::time::Instant;
    ///
    /// let timing = ReturnTiming::Early;
    /// assert!(Returned { since: Instant::now(), timing, due_before: 2 }.is_early());
    /// ```
    pub fn is_early(&self) -> bool {
        self.timing == ReturnTiming::Early
    }
}
