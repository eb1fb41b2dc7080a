//! A caller that was put off, here and in messages.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use crate::Urgency;

/// The maximum time until a caller is to return. Callers wait for a part of their
/// deadline at most.
pub(crate) const MAX_DUE: Duration = Duration::from_secs(30);
/// The maximum time since a caller's first attempt.
const MAX_WAITED: Duration = Duration::from_secs(300);

/// A caller that was put off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PendingReturn {
    /// The hash of the service's name.
    pub service: u64,
    /// Its urgency.
    pub urgency: Urgency,
    /// When its first attempt was received.
    pub since: Instant,
    /// When it is to return.
    pub due: Instant,
}

/// A caller that an instance has put off, as reported to other instances.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReturnNotice {
    /// The hash of the service's name.
    pub service: u64,
    /// The id of the prompt part that belongs to its request alone.
    pub part: u64,
    /// Its urgency.
    pub urgency: Urgency,
    /// The number of times that it was put off, in the view of the sender.
    pub attempts: u8,
    /// The time since its first attempt, in milliseconds.
    pub waited_ms: u32,
    /// The time until it is to return, in milliseconds.
    pub due_ms: u32,
}

impl ReturnNotice {
    /// Returns the caller; `None` if the times in the notice are impossible.
    ///
    /// # Examples
    ///
    /// ```
    /// use celerypond_relay::{ReturnNotice, Urgency};
    /// use tokio::time::Instant;
    ///
    /// let now = Instant::now();
    /// let notice = ReturnNotice { service: 1, part: 7, urgency: Urgency::new(1), attempts: 1,
    ///     waited_ms: 0, due_ms: 4_000 };
    /// assert_eq!(notice.pending(now).map(|pending| pending.since), Some(now));
    /// assert_eq!(ReturnNotice { due_ms: u32::MAX, ..notice }.pending(now), None);
    /// ```
    pub fn pending(&self, now: Instant) -> Option<PendingReturn> {
        let waited = Duration::from_millis(self.waited_ms.into());
        let due = Duration::from_millis(self.due_ms.into());
        (waited <= MAX_WAITED && due <= MAX_DUE).then(|| PendingReturn {
            service: self.service,
            urgency: self.urgency,
            // Early after the start of a machine its clock has no earlier moment.
            since: now.checked_sub(waited).unwrap_or(now),
            due: now + due,
        })
    }
}
