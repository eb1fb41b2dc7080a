//! When an instance tells the others where its streams run.

use std::time::Duration;

use tokio::time::Instant;

/// The longest time between two whole lists; a lost one is made good by then.
pub(crate) const FULL_LIST_INTERVAL: Duration = Duration::from_secs(1);
/// The least time between two lists for each instance that gets them. A list takes some 200 bytes, so
/// that lists take at most a sixth of a link of 10 Mbit/s each way.
pub(crate) const INTERVAL_PER_PEER: Duration = Duration::from_millis(1);
/// The longest of these gaps. What is placed by an older list may meet another prompt.
const MAX_INTERVAL: Duration = Duration::from_millis(250);
/// The time over which streams are placed again, in gaps between lists.
const SPREAD_INTERVALS: f64 = 3.0;
/// The shortest such time. A list takes about a millisecond and a half to the other instances.
const MIN_SPREAD: Duration = Duration::from_millis(20);
/// The least time between two whole lists for each instance that gets them; a whole one takes up to a
/// kilobyte while engines die.
const FULL_INTERVAL_PER_PEER: Duration = Duration::from_millis(15);

/// When an instance tells the others where its streams run.
///
/// The load it answers: the engines of a data centre die, and every instance has streams that begin,
/// fail and are placed anew many times a second. If each change is told to all at once, 71 instances
/// send each other 2,000 lists a second and more; their links and processors are full, connections to
/// sound engines time out, and these are told to be dead as well. The first change after a while is
/// told at once, those that follow are gathered.
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
    /// Whether something changed since the last list.
    pub has_changes: bool,
    last_sent: Instant,
    last_whole: Instant,
}

impl PlacementSchedule {
    /// Has told nothing; the first list is due at once.
    pub fn new(now: Instant) -> Self {
        Self {
            has_changes: true,
            last_sent: now,
            last_whole: now,
        }
    }

    /// Returns the time over which streams are placed again that lost their engines at the same moment:
    /// about three times as long as lists take to tell of each.
    pub fn retry_spread(instances: usize) -> Duration {
        scale_by_peers(INTERVAL_PER_PEER, instances)
            .mul_f64(SPREAD_INTERVALS)
            .clamp(MIN_SPREAD, MAX_INTERVAL)
    }

    /// Returns when the next list is due, where so many instances live.
    pub fn due(&self, instances: usize) -> Instant {
        let repeat = self.last_whole + FULL_LIST_INTERVAL;
        match self.has_changes {
            true => repeat.min(
                self.last_sent + scale_by_peers(INTERVAL_PER_PEER, instances).min(MAX_INTERVAL),
            ),
            false => repeat,
        }
    }

    /// Takes in that a list is sent now; returns since when changes are to be told, or nothing when all
    /// is to be told.
    pub fn record_sent(&mut self, instances: usize, now: Instant) -> Option<Instant> {
        let since = self.last_sent;
        let gap = scale_by_peers(FULL_INTERVAL_PER_PEER, instances).min(FULL_LIST_INTERVAL);
        let is_whole = now.saturating_duration_since(self.last_whole) >= gap;
        self.has_changes = false;
        self.last_sent = now;
        if is_whole {
            self.last_whole = now;
        }
        (!is_whole).then_some(since)
    }
}

pub(crate) fn scale_by_peers(time: Duration, instances: usize) -> Duration {
    time.saturating_mul(u32::try_from(instances).unwrap_or(u32::MAX))
}
