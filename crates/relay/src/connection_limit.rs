//! The limit on an instance's connections to one target.

use std::time::Duration;

use tokio::time::Instant;

/// How long after a reset the limit grows by one connection.
const GROWTH_INTERVAL: Duration = Duration::from_secs(1);

/// The limit on an instance's connections to one target.
///
/// A target resets connections beyond the number that it accepts from all instances together, and
/// it accepts fewer while its queue is long. A request that was sent on such a connection may have
/// run, so one that must not be repeated is lost. Each instance therefore stays within its share,
/// and within fewer connections for a while after one of its new connections was reset.
///
/// # Examples
///
/// ```
/// use celerypond_relay::ConnectionLimit;
/// use tokio::time::Instant;
///
/// let now = Instant::now();
/// let mut limit = ConnectionLimit::default();
/// assert_eq!(limit.max_open(410, 59, now), 6);
/// limit.record_reset(4, now);
/// assert_eq!(limit.max_open(410, 59, now), 3);
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct ConnectionLimit {
    /// The number of connections below that at the last reset, and when that was.
    learned: Option<(u32, Instant)>,
}

impl ConnectionLimit {
    /// Returns the maximum number of open connections, of the `accepted` ones that the target
    /// accepts from all `instances` together.
    pub fn max_open(&self, accepted: u32, instances: usize, now: Instant) -> u32 {
        let instances = u32::try_from(instances.max(1)).unwrap_or(u32::MAX);
        let share = (accepted / instances).max(1);
        let Some((below, at)) = self.learned else {
            return share;
        };
        let intervals = now.saturating_duration_since(at).as_millis() / GROWTH_INTERVAL.as_millis();
        let growth = u32::try_from(intervals).unwrap_or(u32::MAX);
        share.min(below.saturating_add(growth))
    }

    /// Returns the same for a request that leaves `kept` of them to more urgent requests. One
    /// connection may always be open.
    ///
    /// # Examples
    ///
    /// ```
    /// use celerypond_relay::ConnectionLimit;
    /// use tokio::time::Instant;
    ///
    /// let (limit, now) = (ConnectionLimit::default(), Instant::now());
    /// assert_eq!(limit.max_open_beside(0, 600, 78, now), 7);
    /// assert_eq!(limit.max_open_beside(1, 600, 78, now), 6);
    /// assert_eq!(limit.max_open_beside(1, 600, 600, now), 1);
    /// ```
    pub fn max_open_beside(&self, kept: u32, accepted: u32, instances: usize, now: Instant) -> u32 {
        let max_open = self.max_open(accepted, instances, now);
        max_open.saturating_sub(kept).max(1)
    }

    /// Records that a new connection was reset while `open` were open, including that one.
    pub fn record_reset(&mut self, open: u32, now: Instant) {
        self.learned = Some((open.saturating_sub(1).max(1), now));
    }

    /// Returns whether a new connection was reset within this time.
    pub fn was_reset_within(&self, time: Duration, now: Instant) -> bool {
        let reset_at = self.learned.map(|(_, at)| at);
        reset_at.is_some_and(|at| now.saturating_duration_since(at) < time)
    }

    /// Returns whether a new connection was reset so recently that the next one may be as well.
    pub fn is_reduced(&self, accepted: u32, instances: usize, now: Instant) -> bool {
        let unreduced = Self::default().max_open(accepted, instances, now);
        self.max_open(accepted, instances, now) < unreduced
    }
}
