//! Streams that arrive, new or after they were put off.

use std::time::Duration;

use tokio::time::Instant;

use crate::{
    limit_return, PendingReturn, ReturnClaim, ReturnQueue, Returned, StreamClaim, StreamRoom,
    StreamVerdict, Urgency,
};

/// The minimum time after which a caller that was put off may retry.
const MIN_BACKOFF: Duration = Duration::from_millis(500);

/// A stream that has arrived and has not begun.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StreamArrival {
    /// The hash of the service's name.
    pub service: u64,
    /// The id of the prompt part that belongs to its request alone, if any.
    pub part: Option<u64>,
    /// Its urgency.
    pub urgency: Urgency,
    /// The latency target of its first event, from its caller's first attempt on.
    pub aim: Duration,
    /// The time until its caller's deadline.
    pub time_left: Duration,
    /// The minimum time from its first event to its end. The run time of streams of the service is
    /// not that, as its routes differ, and streams that are refused would never correct it.
    pub min_run: Duration,
}

/// What was decided about a stream that has arrived.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StreamDecision {
    /// What happens to it.
    pub verdict: StreamVerdict,
    /// The time after which its caller is to return; zero unless it is put off.
    pub backoff: Duration,
    /// What it needs.
    pub claim: StreamClaim,
    /// The room that there was, with the callers that are served before it.
    pub room: StreamRoom,
}

impl ReturnQueue {
    /// Decides about a stream that has arrived, and records it if it is put off.
    ///
    /// In a burst of streams that come in the order of their attempts, those that were put off keep
    /// their place before newer ones. A caller that returns early has not used its retry, and waits
    /// for those that are due before it. One that cannot be in time takes only room that nobody else
    /// waits for, so it counts as the least urgent.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use celerypond_relay::{ReturnQueue, StreamArrival, StreamRoom, StreamVerdict, Urgency};
    /// use tokio::time::Instant;
    ///
    /// let (now, secs) = (Instant::now(), Duration::from_secs);
    /// let mut queue = ReturnQueue::default();
    /// let arrival = StreamArrival { service: 1, part: Some(7), urgency: Urgency::new(1),
    ///     aim: secs(10), time_left: secs(25), min_run: secs(3) };
    /// let full = StreamRoom { begins_in: secs(9), read: secs(1), pending: 0,
    ///     rate: 40.0 };
    /// let decision = queue.admit(&arrival, None, &full, now);
    /// assert_eq!(decision.verdict, StreamVerdict::PutOff);
    /// assert_eq!(queue.len(), 1);
    /// ```
    pub fn admit(
        &mut self,
        arrival: &StreamArrival,
        returned: Option<&Returned>,
        room: &StreamRoom,
        now: Instant,
    ) -> StreamDecision {
        let is_early = returned.is_some_and(Returned::is_early);
        if let Some(part) = arrival.part.filter(|_| is_early) {
            // It does not wait for itself, and keeps its first attempt if it is put off again.
            self.take(part);
        }
        let since = returned.map_or(now, |returned| returned.since);
        let claim = StreamClaim {
            urgency: arrival.urgency,
            aim: arrival.aim,
            waited: now.saturating_duration_since(since),
            time_left: arrival.time_left,
            min_run: arrival.min_run,
            is_returned: returned.is_some() && !is_early,
        };
        // Callers that can be in time come before one that cannot.
        let place = match claim.can_be_on_time(room) {
            true => since,
            false => now,
        };
        let before = self.count_before(arrival.service, arrival.urgency, place);
        let due_before = returned.map_or(0, |returned| returned.due_before);
        let room = StreamRoom {
            pending: before.max(due_before),
            ..*room
        };
        let mut decision = StreamDecision {
            verdict: claim.decide(&room),
            backoff: Duration::ZERO,
            claim,
            room,
        };
        if decision.verdict != StreamVerdict::PutOff {
            return decision;
        }
        let part = arrival.part.unwrap_or_default();
        let return_claim = ReturnClaim {
            service: arrival.service,
            part,
            urgency: arrival.urgency,
            since,
            wait: room.begins_in,
            read: room.read,
            aim_left: claim.aim_left(),
            rate: Some(room.rate),
        };
        let backoff = self.return_time(&return_claim, now).max(MIN_BACKOFF);
        let backoff = limit_return(backoff, arrival.time_left, part);
        if backoff + arrival.min_run > arrival.time_left {
            decision.verdict = StreamVerdict::Refuse;
            return decision;
        }
        decision.backoff = backoff;
        if arrival.part.is_some() {
            let urgency = match claim.can_return_on_time(&room) {
                true => arrival.urgency,
                false => Urgency::LAST,
            };
            let pending = PendingReturn {
                service: arrival.service,
                urgency,
                since,
                due: now + decision.backoff,
            };
            self.put_off(part, pending);
        }
        decision
    }
}
