//! The wait for a first event.

use std::time::Duration;

use tokio::time::Instant;

/// The time between two looks at what an engine reads.
const RECHECK_INTERVAL: Duration = Duration::from_millis(300);

/// The wait for a first event at an engine that may read other prompts before this one.
///
/// The load it answers: two instances place a prompt at one engine before they hear of each other. The
/// second prompt is read after the first. What the engine reads is known for a while, and no longer when
/// the first prompt is read; by that alone the second stream would be given up just before its first
/// event, after three seconds, and its prompt read in vain.
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
    /// Begins to wait.
    pub const fn new(started_at: Instant) -> Self {
        Self {
            started_at,
            until: started_at,
        }
    }

    /// Takes in how long the engine may need for all that it reads now; returns when to look again, or
    /// nothing when it has had the time that it needed.
    pub fn update(&mut self, most: Duration, now: Instant) -> Option<Instant> {
        self.until = self.until.max(self.started_at + most);
        (now < self.until).then(|| self.until.min(now + RECHECK_INTERVAL))
    }
}
