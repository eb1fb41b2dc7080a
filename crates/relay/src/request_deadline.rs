//! The time that a request has left.

use std::time::Duration;

use tokio::time::Instant;

/// How long before a caller gives up it is answered at the latest. The way there takes about a
/// millisecond; the rest is for an instance that is held up for a moment.
const RESPONSE_MARGIN: Duration = Duration::from_millis(40);
/// The part of a caller's time that the margin takes at most.
const MAX_MARGIN_DIVISOR: u32 = 20;

/// When a request came and by when it must be answered.
#[derive(Clone, Copy, Debug)]
pub struct RequestDeadline {
    /// When the request was read.
    pub start: Instant,
    /// When the caller or the route gives it up, whichever is first.
    pub end: Instant,
}

impl RequestDeadline {
    /// Makes the clock of a request that was read at `start`.
    pub fn new(start: Instant, deadline: Option<Duration>, timeout: Duration) -> Self {
        // A caller that hears nothing before its own time is over cannot tell a failure from a lost
        // response, so it hears of the failure just before.
        let heard =
            |deadline: Duration| deadline - RESPONSE_MARGIN.min(deadline / MAX_MARGIN_DIVISOR);
        let limit = deadline.map_or(timeout, |deadline| heard(deadline).min(timeout));
        Self {
            start,
            end: start + limit,
        }
    }

    /// Returns the time left.
    pub fn remaining(&self, now: Instant) -> Duration {
        self.end.saturating_duration_since(now)
    }
}
