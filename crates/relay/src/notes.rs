//! When an instance tells those of other groups where it sent prompts.

use tokio::time::Instant;

use crate::lists::{times, GAP, REPEAT};

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
/// let mut notes = PromptLocationSchedule::new(now);
/// let later = now + Duration::from_millis(225);
/// assert!(!notes.take(0, later));
/// assert!(notes.take(225, later));
/// assert!(!notes.take(225, later + Duration::from_millis(100)));
/// ```
#[derive(Clone, Copy, Debug)]
pub struct PromptLocationSchedule {
    last: Instant,
}

impl PromptLocationSchedule {
    /// Has told nothing.
    pub fn new(now: Instant) -> Self {
        Self { last: now }
    }

    /// Returns whether what was gathered is told now to so many others, and takes that in.
    pub fn take(&mut self, others: usize, now: Instant) -> bool {
        let gap = times(GAP, others).min(REPEAT);
        let is_due = others > 0 && now.saturating_duration_since(self.last) >= gap;
        if is_due {
            self.last = now;
        }
        is_due
    }
}
