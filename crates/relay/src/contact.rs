//! Tracking of contact with the store and other instances.

use std::time::Duration;

use tokio::time::Instant;

/// How long it takes after a gap until peers have reported the changes that were missed: a round of
/// gossip and the interval between two notices. Shorter gaps are common.
const CATCH_UP_TIME: Duration = Duration::from_millis(800);

/// A period without contact.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Gap {
    length: Duration,
    /// The first contact after it.
    end: Instant,
}

/// Tracks contact with the store and other instances, and gaps in it.
///
/// Changes during a gap are known once peers have reported them. A gap is significant if such a
/// change may be older than the limit by then. It does not matter whether the process was
/// disconnected or got no CPU time.
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
/// let (limit, resumed) = (Duration::from_secs(2), start + Duration::from_secs(4));
/// contact.record(resumed);
/// let current = contact.current_at(limit, resumed).expect("the gap is longer than the limit");
/// assert!(current < resumed + Duration::from_secs(1));
/// assert_eq!(contact.current_at(limit, current), None);
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Contact {
    last: Instant,
    /// The longest of the gaps that ended within [`CATCH_UP_TIME`] of each other; `None` if there
    /// was none.
    gap: Option<Gap>,
}

impl Contact {
    /// Returns the state of an instance that has just started.
    pub const fn new(now: Instant) -> Self {
        Self {
            last: now,
            gap: None,
        }
    }

    /// Records a contact at a moment.
    pub fn record(&mut self, at: Instant) {
        let length = at.saturating_duration_since(self.last);
        let is_longest = |known: Gap| length >= known.length || known.end + CATCH_UP_TIME <= at;
        if length > CATCH_UP_TIME && self.gap.is_none_or(is_longest) {
            self.gap = Some(Gap { length, end: at });
        }
        self.last = self.last.max(at);
    }

    /// Returns whether there was contact within a time.
    pub fn is_within(&self, limit: Duration, now: Instant) -> bool {
        now.saturating_duration_since(self.last) <= limit
    }

    /// Returns when all changes that were missed in a gap, and that may be older than the limit,
    /// will have been reported; `None` if they have been.
    pub fn current_at(&self, limit: Duration, now: Instant) -> Option<Instant> {
        let gap = self.gap.filter(|gap| gap.length + CATCH_UP_TIME > limit)?;
        let at = gap.end + CATCH_UP_TIME;
        (now < at).then_some(at)
    }
}
