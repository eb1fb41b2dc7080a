//! When an instance tells those of other groups where it sent prompts.

use tokio::time::Instant;

use crate::placement_schedule::{scale_by_peers, FULL_LIST_INTERVAL, INTERVAL_PER_PEER};

/// When an instance tells those of other groups which prompts it sent where.
///
/// The load it answers: instances of a large fleet die, and their callers come to others, mostly of other groups.
/// Those do not hear where streams run; they are told of each prompt once, when its stream has begun, so that
/// it is not read again elsewhere.
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
    /// Has told nothing.
    pub fn new(now: Instant) -> Self {
        Self { last_sent: now }
    }

    /// Returns whether what was gathered is told now to so many others, and takes that in.
    pub fn take_due(&mut self, others: usize, now: Instant) -> bool {
        let gap = scale_by_peers(INTERVAL_PER_PEER, others).min(FULL_LIST_INTERVAL);
        let is_due = others > 0 && now.saturating_duration_since(self.last_sent) >= gap;
        if is_due {
            self.last_sent = now;
        }
        is_due
    }
}
