//! The deadline of a request.

use std::time::Duration;

use tokio::time::Instant;

/// How long before a caller gives up it gets a response at the latest. The way to the caller takes
/// about a millisecond; the rest allows for short stalls of the instance.
const RESPONSE_MARGIN: Duration = Duration::from_millis(40);
/// The margin is at most the caller's time divided by this.
const MAX_MARGIN_DIVISOR: u32 = 20;

/// The times at which a request arrived and must be answered.
#[derive(Clone, Copy, Debug)]
pub struct RequestDeadline {
    /// When the request was received.
    pub start: Instant,
    /// When the caller gives up or the timeout of the route expires, whichever is first.
    pub end: Instant,
}

impl RequestDeadline {
    /// Returns the deadline of a request that was received at `start`.
    pub fn new(start: Instant, deadline: Option<Duration>, timeout: Duration) -> Self {
        // A caller that gets no response before its own deadline cannot tell a failure from a lost
        // response, so it is told of the failure just before.
        let respond_by =
            |deadline: Duration| deadline - RESPONSE_MARGIN.min(deadline / MAX_MARGIN_DIVISOR);
        let limit = deadline.map_or(timeout, |deadline| respond_by(deadline).min(timeout));
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
