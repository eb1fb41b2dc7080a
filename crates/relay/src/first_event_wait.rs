//! The wait for the first event of a stream.

use std::time::Duration;

use tokio::time::Instant;

/// The interval between two checks of what the engine reads.
const RECHECK_INTERVAL: Duration = Duration::from_millis(300);

/// The wait for the first event of a stream at an engine that may read other prompts first.
///
/// Two instances may place prompts at the same engine before they hear of each other, so that the
/// second prompt is read after the first. The tokens that the engine has to read are only known
/// until the first prompt was read. If the wait were derived from the current figure alone, the
/// second stream would be given up after three seconds, just before its first event, and its prompt
/// would be read for nothing. The wait therefore never shrinks.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// use celerypond_relay::FirstEventWait;
/// use tokio::time::Instant;
///
/// let started_at = Instant::now();
/// let mut wait = FirstEventWait::new(started_at);
/// let (short, long) = (Duration::from_secs(3), Duration::from_secs(5));
/// assert!(wait.update(long, started_at).is_some());
/// assert!(wait.update(short, started_at + Duration::from_secs(4)).is_some());
/// assert!(wait.update(short, started_at + long).is_none());
/// ```
#[derive(Clone, Copy, Debug)]
pub struct FirstEventWait {
    started_at: Instant,
    until: Instant,
}

impl FirstEventWait {
    /// Starts to wait.
    pub const fn new(started_at: Instant) -> Self {
        Self {
            started_at,
            until: started_at,
        }
    }

    /// Updates the wait with the time that the engine may need for all that it reads now. Returns
    /// when to check again; `None` if the engine has had the time that it needed.
    pub fn update(&mut self, time_needed: Duration, now: Instant) -> Option<Instant> {
        self.until = self.until.max(self.started_at + time_needed);
        (now < self.until).then(|| self.until.min(now + RECHECK_INTERVAL))
    }
}
