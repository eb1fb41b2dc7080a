//! Limits the requests that a brittle target has to reject.

use std::{collections::VecDeque, time::Duration};

use serde::{Deserialize, Serialize};
use tokio::time::Instant;

/// How long a target's statement counts that it is brittle. It is repeated with each response.
const STATEMENT_TTL: Duration = Duration::from_secs(15);
/// The time within which a target bears the stated rejections.
const WINDOW: Duration = Duration::from_secs(1);
/// The share of the stated rejections that all instances use. The rest is for requests that are
/// under way when one is rejected.
const REJECTION_SHARE: f64 = 0.5;
/// How long requests are held back after a rejection at least, in which some queued requests are
/// completed.
const MIN_HOLD: Duration = Duration::from_millis(30);
/// The time over which requests are sent again after that, for each instance. It is longer than a
/// notice takes, so that few requests are sent before all know of the next rejection.
const SPREAD_PER_INSTANCE: Duration = Duration::from_millis(5);
/// The maximum number of open requests at a brittle target, over all instances, as a multiple of its
/// slots. All of them may be rejected at once.
const OPEN_SHARE: f64 = 1.0;

/// A notice that a brittle target is full or accepts requests again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FullnessNotice {
    /// The hash of the target's name.
    pub target_hash: u64,
    /// Whether it has rejected a request for want of room.
    pub is_full: bool,
}

/// Limits the requests that a brittle target has to reject, over all instances.
///
/// A brittle target fails if it has to reject more than some requests within a second. After a
/// rejection all instances hold their requests back for a short, random time, or until the second is
/// over if they have used their share of the rejections. The first request that is accepted ends
/// this for all.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// use celerypond_relay::RejectionLimit;
/// use tokio::time::Instant;
///
/// let now = Instant::now();
/// let mut limit = RejectionLimit::default();
/// assert!(!limit.record_rejection(7, 0.5, now));
/// assert!(limit.allows(100, 4, 7, now));
/// limit.record_statement(7, now);
/// assert!(limit.record_rejection(7, 0.5, now));
/// assert!(!limit.allows(0, 4, 7, now));
/// assert!(limit.allows(0, 4, 7, now + Duration::from_secs(2)));
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RejectionLimit {
    /// The rejections within a second that the target bears, and when it last stated this.
    stated: Option<(u32, Instant)>,
    /// Rejections of all instances within the last second, oldest first.
    recent: VecDeque<Instant>,
    /// Since when and until when requests are held back.
    blocked: Option<(Instant, Instant)>,
}

impl RejectionLimit {
    /// Records that the target stated how many rejections within a second it bears.
    pub const fn record_statement(&mut self, rejections: u32, now: Instant) {
        self.stated = Some((rejections, now));
    }

    /// Returns whether the target is brittle.
    pub fn is_brittle(&self, now: Instant) -> bool {
        self.rejections(now).is_some()
    }

    /// Records that the target rejected a request of this or another instance; `jitter` is between 0
    /// and 1. Returns whether the target is brittle, so that other instances have to be notified.
    pub fn record_rejection(&mut self, instances: usize, jitter: f64, now: Instant) -> bool {
        let Some(rejections) = self.rejections(now) else {
            return false;
        };
        let is_over = |at: &Instant| now.saturating_duration_since(*at) >= WINDOW;
        while self.recent.front().is_some_and(is_over) {
            self.recent.pop_front();
        }
        self.recent.push_back(now);
        let max = ((f64::from(rejections) * REJECTION_SHARE) as usize).max(1);
        let earliest = match self.recent.len().checked_sub(max) {
            Some(excess) => self.recent[excess] + WINDOW,
            None => now + MIN_HOLD,
        };
        let spread = SPREAD_PER_INSTANCE.mul_f64(instances.max(1) as f64 * jitter);
        self.blocked = Some((now, earliest.max(now + MIN_HOLD) + spread));
        true
    }

    /// Records that the target accepted a request that was sent at a moment. Returns whether requests
    /// were held back until now. The responses to those that were accepted before the rejection say
    /// nothing.
    pub fn record_acceptance(&mut self, sent: Instant) -> bool {
        let is_later = self.blocked.is_some_and(|(since, _)| sent > since);
        is_later && self.blocked.take().is_some()
    }

    /// Returns whether a request may be sent to the target, at which this instance has a number of
    /// open requests.
    pub fn allows(&self, open: u32, slots: u32, instances: usize, now: Instant) -> bool {
        if !self.is_brittle(now) {
            return true;
        }
        let share = f64::from(slots) * OPEN_SHARE / instances.max(1) as f64;
        self.blocked_until(now).is_none() && f64::from(open) < share.max(1.0)
    }

    /// Returns until when requests are held back after rejections.
    pub fn blocked_until(&self, now: Instant) -> Option<Instant> {
        let (_, until) = self.blocked.filter(|(_, until)| *until > now)?;
        Some(until)
    }

    fn rejections(&self, now: Instant) -> Option<u32> {
        let is_fresh = |at: Instant| now.saturating_duration_since(at) < STATEMENT_TTL;
        let (rejections, _) = self.stated.filter(|(_, at)| is_fresh(*at))?;
        Some(rejections)
    }
}
