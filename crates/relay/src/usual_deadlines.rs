//! The deadlines of callers' first attempts.

use std::{collections::HashMap, time::Duration};

use smol_str::SmolStr;
use tokio::time::Instant;

/// How long a deadline counts after it was last seen.
const TTL: Duration = Duration::from_secs(20);

/// The share of a route's longest deadline that a first attempt has at least. A refused caller
/// retries with two thirds of its time left.
const FIRST_ATTEMPT_SHARE: f64 = 0.7;

/// The longest recent deadline of each route.
///
/// A caller that was refused sends its next attempt as a new request, with the time that it has
/// left. That it has waited already follows from the deadlines of others.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// use celerypond_relay::UsualDeadlines;
/// use tokio::time::Instant;
///
/// let now = Instant::now();
/// let mut deadlines = UsualDeadlines::default();
/// let millis = Duration::from_millis;
/// assert!(!deadlines.record("reads", millis(1_000), now));
/// assert!(!deadlines.record("reads", millis(850), now));
/// assert!(deadlines.record("reads", millis(667), now));
/// ```
#[derive(Clone, Debug, Default)]
pub struct UsualDeadlines {
    longest: HashMap<SmolStr, (Duration, Instant)>,
}

impl UsualDeadlines {
    /// Records the deadline of a request, and returns whether its caller was probably refused
    /// before.
    pub fn record(&mut self, route: &str, deadline: Duration, now: Instant) -> bool {
        let is_fresh = |at: Instant| now.saturating_duration_since(at) < TTL;
        let longest = self.longest.get_mut(route);
        match longest.filter(|(_, at)| is_fresh(*at)) {
            Some((longest, _)) if *longest > deadline => {
                deadline < longest.mul_f64(FIRST_ATTEMPT_SHARE)
            }
            Some(entry) => {
                *entry = (deadline, now);
                false
            }
            None => {
                // Routes may be removed.
                self.longest.retain(|_, (_, at)| is_fresh(*at));
                self.longest.insert(route.into(), (deadline, now));
                false
            }
        }
    }
}
