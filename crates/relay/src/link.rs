//! This instance's link to a target.

use std::time::Duration;

use tokio::time::Instant;

/// How long a failed connection counts. A target that is not tried again may be reachable by then.
const FAILURE_TTL: Duration = Duration::from_secs(5);

/// The outcome of this instance's latest connections to a target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Link {
    /// When the first connection failed since the last one that was made.
    failing_since: Option<Instant>,
    /// When a connection last failed.
    failed_at: Option<Instant>,
    /// When a connection was last made.
    connected_at: Option<Instant>,
}

impl Link {
    /// Records whether a connection was made.
    pub(crate) fn record(&mut self, is_connected: bool, now: Instant) {
        if is_connected {
            self.failing_since = None;
            self.connected_at = Some(now);
        } else {
            self.failing_since.get_or_insert(now);
            self.failed_at = Some(now);
        }
    }

    /// Returns since when connections fail, unless the last failure is too old to count.
    pub(crate) fn failing_since(&self, now: Instant) -> Option<Instant> {
        let is_recent = |at: Instant| now.saturating_duration_since(at) < FAILURE_TTL;
        self.failing_since
            .filter(|_| self.failed_at.is_some_and(is_recent))
    }

    /// Returns whether a connection was made after a moment.
    pub(crate) fn connected_since(&self, moment: Instant) -> bool {
        self.failing_since.is_none() && self.connected_at.is_some_and(|at| at >= moment)
    }
}
