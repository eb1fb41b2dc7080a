//! Admission of streams by urgency.

use std::time::Duration;

use crate::{StreamRoom, Urgency};

/// The share of the time left until the latency target that a stream may be expected to wait. What
/// others place at the same moment is not known yet, and a first event just after the target is
/// worth as little to its caller as one much later.
const WAIT_SHARE: f64 = 0.8;
/// The share of the latency target that a stream waits at most if its first event will be late.
/// Callers that can be in time may wait for twice as long, so that it takes no room from them.
const LATE_WAIT_SHARE: f64 = WAIT_SHARE / 2.0;

/// The maximum wait for callers that were put off, in seconds; longer than any deadline.
const MAX_PENDING_S: f64 = 1e6;

/// How much later than it was told a caller is back. Its answer and its request cross the network,
/// and `Retry-After` has slack.
const RETURN_MARGIN: Duration = Duration::from_millis(250);

/// Returns the longest wait with which a caller with this time left until its latency target can be
/// in time if it is put off. On its return its prompt is read, and it is queued for a share of the
/// time left only.
pub(crate) fn latest_turn(aim_left: Duration, read: Duration) -> Duration {
    let aim_left = aim_left.saturating_sub(RETURN_MARGIN);
    aim_left.saturating_sub(read.mul_f64(1.0 / WAIT_SHARE - 1.0))
}

/// Returns the times between which a caller is to return that is put off with a wait of at most
/// [`latest_turn`]. Earlier it would not be queued, and later it could not be in time.
pub(crate) fn return_bounds(turn: Duration, aim_left: Duration, read: Duration) -> [Duration; 2] {
    let aim_left = aim_left.saturating_sub(RETURN_MARGIN);
    let excess = turn.saturating_sub(aim_left.mul_f64(WAIT_SHARE));
    let latest = aim_left.saturating_sub(read.div_f64(WAIT_SHARE));
    [excess.div_f64(1.0 - WAIT_SHARE).min(latest), latest]
}

/// What a stream that has not begun needs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StreamClaim {
    /// Its urgency.
    pub urgency: Urgency,
    /// The latency target of its first event, from its caller's first attempt on.
    pub aim: Duration,
    /// The time since its caller's first attempt.
    pub waited: Duration,
    /// The time until its caller's deadline.
    pub time_left: Duration,
    /// The minimum time from its first event to its end.
    pub min_run: Duration,
    /// Whether its caller was put off before.
    pub is_returned: bool,
}

/// What happens to a stream that has not begun.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StreamVerdict {
    /// It is queued at an engine.
    Queue,
    /// Its caller may retry later.
    PutOff,
    /// It cannot be served before its caller's deadline, or only in place of others that can be in
    /// time.
    Refuse,
}

impl StreamClaim {
    /// Decides whether a stream is queued at an engine.
    ///
    /// A burst of less urgent streams beyond what engines can serve, with a part of them lost, would
    /// fill queues with streams that are late, and so would be those that arrive after the cause has
    /// ended. A stream is queued only if its first event is expected in time. Callers retry once, so
    /// one that returned is not put off again.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use celerypond_relay::{StreamClaim, StreamRoom, StreamVerdict, Urgency};
    ///
    /// let secs = Duration::from_secs;
    /// let claim = StreamClaim {
    ///     urgency: Urgency::new(1),
    ///     aim: secs(10),
    ///     waited: secs(0),
    ///     time_left: secs(25),
    ///     min_run: secs(3),
    ///     is_returned: false,
    /// };
    /// let idle = StreamRoom { begins_in: secs(1), read: secs(1), pending: 0,
    ///     rate: 40.0 };
    /// assert_eq!(claim.decide(&idle), StreamVerdict::Queue);
    /// let full = StreamRoom { begins_in: secs(9), ..idle };
    /// assert_eq!(claim.decide(&full), StreamVerdict::PutOff);
    /// let returned = StreamClaim { is_returned: true, waited: secs(5), ..claim };
    /// assert_eq!(returned.decide(&full), StreamVerdict::Refuse);
    /// ```
    pub fn decide(&self, room: &StreamRoom) -> StreamVerdict {
        let is_queued = if self.can_be_on_time(room) {
            self.is_returned || self.wait(room) <= self.max_wait()
        } else {
            self.is_returned && room.begins_in <= self.aim.mul_f64(LATE_WAIT_SHARE)
        };
        let ends_in_time = room.begins_in + self.min_run <= self.time_left;
        if is_queued && ends_in_time {
            return StreamVerdict::Queue;
        }
        if self.is_returned {
            return StreamVerdict::Refuse;
        }
        StreamVerdict::PutOff
    }

    /// Returns whether the first event can be in time, without callers that were put off.
    pub fn can_be_on_time(&self, room: &StreamRoom) -> bool {
        room.begins_in <= self.max_wait()
    }

    /// Returns whether its caller can still be in time if it is put off and keeps its place.
    pub fn can_return_on_time(&self, room: &StreamRoom) -> bool {
        self.wait(room) <= latest_turn(self.aim_left(), room.read)
    }

    /// Returns the longest expected time until the first event with which the stream is queued.
    fn max_wait(&self) -> Duration {
        self.aim_left().mul_f64(WAIT_SHARE)
    }

    /// Returns the time until the latency target.
    pub fn aim_left(&self) -> Duration {
        self.aim.saturating_sub(self.waited)
    }

    /// Returns the time until the first event if callers that were put off before come first.
    fn wait(&self, room: &StreamRoom) -> Duration {
        // While no engine has room for them, they wait for an unknown time.
        let pending_s = match room.pending {
            0 => 0.0,
            pending => f64::from(pending) / room.rate.max(f64::EPSILON),
        };
        let pending = Duration::from_secs_f64(pending_s.min(MAX_PENDING_S));
        room.begins_in + pending
    }
}
