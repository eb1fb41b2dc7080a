//! The wait for a first event.

use std::time::Duration;

use tokio::time::Instant;

/// The time between two looks at what an engine reads.
const LOOK: Duration = Duration::from_millis(300);

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
/// let begun = Instant::now();
/// let mut wait = FirstEventWait::new(begun);
/// let (short, long) = (Duration::from_secs(3), Duration::from_secs(5));
/// assert!(wait.update(long, begun).is_some());
/// assert!(wait.update(short, begun + Duration::from_secs(4)).is_some());
/// assert!(wait.update(short, begun + long).is_none());
/// ```
#[derive(Clone, Copy, Debug)]
pub struct FirstEventWait {
    begun: Instant,
    until: Instant,
}

impl FirstEventWait {
    /// Begins to wait.
    pub const fn new(begun: Instant) -> Self {
        Self {
            begun,
            until: begun,
        }
    }

    /// Takes in how long the engine may need for all that it reads now; returns when to look again, or
    /// nothing when it has had the time that it needed.
    pub fn update(&mut self, most: Duration, now: Instant) -> Option<Instant> {
        self.until = self.until.max(self.begun + most);
        (now < self.until).then(|| self.until.min(now + LOOK))
    }
}
