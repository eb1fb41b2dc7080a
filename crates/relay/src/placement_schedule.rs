//! The schedule by which an instance sends its placements to others.

use std::time::Duration;

use tokio::time::Instant;

/// The maximum interval between two full lists; a full list makes up for lost ones.
pub(crate) const FULL_LIST_INTERVAL: Duration = Duration::from_secs(1);
/// The minimum interval between two lists, per recipient. A list takes about 200 bytes, so that
/// lists take up at most a sixth of a link of 10 Mbit/s in each direction.
pub(crate) const INTERVAL_PER_PEER: Duration = Duration::from_millis(1);
/// The maximum of the interval that results from this. Streams that are placed by an outdated list
/// may be sent to the same engine.
const MAX_INTERVAL: Duration = Duration::from_millis(250);
/// The time over which streams are placed again, in intervals between lists.
const SPREAD_INTERVALS: f64 = 3.0;
/// The minimum of that time. A list takes about 1.5 ms to reach other instances.
const MIN_SPREAD: Duration = Duration::from_millis(20);
/// The minimum interval between two full lists, per recipient. A full list takes up to a kilobyte
/// while engines die.
const FULL_INTERVAL_PER_PEER: Duration = Duration::from_millis(15);

/// The schedule by which an instance sends its placements to others.
///
/// When the engines of a data centre die, all instances have streams that begin, fail and are
/// placed again many times a second. If each change were sent to all peers immediately, 71
/// instances would send each other 2,000 lists a second and more. Their links and CPUs would be
/// saturated, connections to live engines would time out, and these would be reported as dead as
/// well. Therefore a change after a quiet period is sent immediately, and those that follow are
/// batched.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// use celerypond_relay::PlacementSchedule;
/// use tokio::time::Instant;
///
/// let now = Instant::now();
/// let mut schedule = PlacementSchedule::new(now);
/// schedule.record_sent(70, now);
/// schedule.has_changes = true;
/// assert_eq!(schedule.due(70), now + Duration::from_millis(70));
/// ```
#[derive(Clone, Copy, Debug)]
pub struct PlacementSchedule {
    /// Whether something has changed since the last list.
    pub has_changes: bool,
    last_sent: Instant,
    last_full: Instant,
}

impl PlacementSchedule {
    /// Creates a schedule whose first list is due at once.
    pub fn new(now: Instant) -> Self {
        Self {
            has_changes: true,
            last_sent: now,
            last_full: now,
        }
    }

    /// Returns the time over which to place streams again that lost their engines at the same
    /// moment. It is about three times as long as it takes until other instances receive a
    /// placement.
    pub fn retry_spread(instances: usize) -> Duration {
        scale_by_peers(INTERVAL_PER_PEER, instances)
            .mul_f64(SPREAD_INTERVALS)
            .clamp(MIN_SPREAD, MAX_INTERVAL)
    }

    /// Returns when the next list to this number of instances is due.
    pub fn due(&self, instances: usize) -> Instant {
        let repeat = self.last_full + FULL_LIST_INTERVAL;
        match self.has_changes {
            true => repeat.min(
                self.last_sent + scale_by_peers(INTERVAL_PER_PEER, instances).min(MAX_INTERVAL),
            ),
            false => repeat,
        }
    }

    /// Records that a list is sent now. Returns the time since which changes are to be included;
    /// `None` if the list is to be a full one.
    pub fn record_sent(&mut self, instances: usize, now: Instant) -> Option<Instant> {
        let since = self.last_sent;
        let interval = scale_by_peers(FULL_INTERVAL_PER_PEER, instances).min(FULL_LIST_INTERVAL);
        let is_full = now.saturating_duration_since(self.last_full) >= interval;
        self.has_changes = false;
        self.last_sent = now;
        if is_full {
            self.last_full = now;
        }
        (!is_full).then_some(since)
    }
}

pub(crate) fn scale_by_peers(time: Duration, instances: usize) -> Duration {
    time.saturating_mul(u32::try_from(instances).unwrap_or(u32::MAX))
}
