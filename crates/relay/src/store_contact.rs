//! Outages of the store, as they show in the times at which it answered any instance.

use std::time::Duration;

use tokio::time::Instant;

/// Tracks when the store last answered this or another instance.
///
/// An instance that loses its own watch does not know whether the store is down or only unreachable
/// for itself. In an outage nobody gets an answer. Entries of targets that have expired in an
/// outage come back after it, whereas an entry that is removed while the store serves is gone.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// use celerypond_relay::StoreContact;
/// use tokio::time::Instant;
///
/// let (start, min_outage) = (Instant::now(), Duration::from_millis(2_400));
/// let mut contact = StoreContact::default();
/// assert_eq!(contact.record(start, min_outage), None);
/// let soon = start + Duration::from_secs(1);
/// assert_eq!(contact.record(soon, min_outage), None);
/// let gap = Duration::from_secs(5);
/// assert_eq!(contact.record(soon + gap, min_outage), Some(gap));
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StoreContact {
    last: Option<Instant>,
}

impl StoreContact {
    /// Records that the store answered some instance at a moment. Returns the time without an
    /// answer before, if it was an outage that lasted for `min_outage` or longer.
    pub fn record(&mut self, at: Instant, min_outage: Duration) -> Option<Duration> {
        let last = self.last.max(Some(at));
        let previous = std::mem::replace(&mut self.last, last)?;
        let gap = at.saturating_duration_since(previous);
        (gap >= min_outage).then_some(gap)
    }
}
