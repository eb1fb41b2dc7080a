//! The time that a request has left.

use std::time::Duration;

use tokio::time::Instant;

/// When a request came and by when it must be answered.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    /// When the request was read.
    pub start: Instant,
    /// When the caller or the route gives it up, whichever is first.
    pub end: Instant,
}

impl Clock {
    /// Makes the clock of a request that was read at `start`.
    pub fn new(start: Instant, deadline: Option<Duration>, timeout: Duration) -> Self {
        let limit = deadline.map_or(timeout, |deadline| deadline.min(timeout));
        Self {
            start,
            end: start + limit,
        }
    }

    /// Returns the time left.
    pub fn left(&self, now: Instant) -> Duration {
        self.end.saturating_duration_since(now)
    }
}
