//! The schedule by which an instance reports locations of prompts to other groups.

use tokio::time::Instant;

use crate::placement_schedule::{scale_by_peers, FULL_LIST_INTERVAL, INTERVAL_PER_PEER};

/// The schedule by which an instance reports to other groups which prompts it sent to which
/// engines.
///
/// When instances of a large fleet die, their callers retry at others, which mostly belong to other
/// groups. These do not receive the lists of streams. So that prompts are not read again elsewhere,
/// they are told the location of each prompt once, when its stream has begun.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// use celerypond_relay::PromptLocationSchedule;
/// use tokio::time::Instant;
///
/// let now = Instant::now();
/// let mut schedule = PromptLocationSchedule::new(now);
/// let later = now + Duration::from_millis(225);
/// assert!(!schedule.take_due(0, later));
/// assert!(schedule.take_due(225, later));
/// assert!(!schedule.take_due(225, later + Duration::from_millis(100)));
/// ```
#[derive(Clone, Copy, Debug)]
pub struct PromptLocationSchedule {
    last_sent: Instant,
}

impl PromptLocationSchedule {
    /// Creates the schedule of an instance that has reported nothing.
    pub fn new(now: Instant) -> Self {
        Self { last_sent: now }
    }

    /// Returns whether the collected locations are to be sent to this number of peers now, and if
    /// so records that they were.
    pub fn take_due(&mut self, peers: usize, now: Instant) -> bool {
        let interval = scale_by_peers(INTERVAL_PER_PEER, peers).min(FULL_LIST_INTERVAL);
        let is_due = peers > 0 && now.saturating_duration_since(self.last_sent) >= interval;
        if is_due {
            self.last_sent = now;
        }
        is_due
    }
}
