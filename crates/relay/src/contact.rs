//! When there was contact with the store or other instances.

use std::time::Duration;

use tokio::time::Instant;

/// How long there may be no contact before what was missed has to be read first. Other instances are heard of every
/// half a second.
const GAP: Duration = Duration::from_secs(1);
/// How long it takes after a gap until peers have reported what was missed: a round of gossip and an interval
/// between two notices.
const CATCH_UP: Duration = Duration::from_millis(800);

/// When there was contact with the store or other instances, and since when without a gap.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// use celerypond_relay::Contact;
/// use tokio::time::Instant;
///
/// let start = Instant::now();
/// let mut contact = Contact::new(start);
/// let resumed = start + Duration::from_secs(4);
/// contact.record(resumed);
/// assert!(contact.is_catching_up(resumed));
/// assert!(!contact.is_catching_up(resumed + Duration::from_secs(1)));
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Contact {
    last: Instant,
    /// The first contact after the latest gap; nothing where there was none.
    resumed: Option<Instant>,
}

impl Contact {
    /// Returns the state of an instance that starts.
    pub const fn new(now: Instant) -> Self {
        Self {
            last: now,
            resumed: None,
        }
    }

    /// Records a contact.
    pub fn record(&mut self, at: Instant) {
        if at.saturating_duration_since(self.last) > GAP {
            self.resumed = Some(at);
        }
        self.last = self.last.max(at);
    }

    /// Returns whether there was contact within a time.
    pub fn is_within(&self, limit: Duration, now: Instant) -> bool {
        now.saturating_duration_since(self.last) <= limit
    }

    /// Returns whether contact was regained so recently that changes of the time without it may still be unread.
    pub fn is_catching_up(&self, now: Instant) -> bool {
        let resumed = self.resumed;
        resumed.is_some_and(|at| now.saturating_duration_since(at) < CATCH_UP)
    }
}
