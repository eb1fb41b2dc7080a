//! How long connections to a service may rest before a request goes out on them.

use std::{collections::HashMap, time::Duration};

use serde::{Deserialize, Serialize};
use tokio::time::Instant;

/// The part of the shortest rest after which a connection was lost that others may still rest.
const LIMIT_SHARE: f64 = 0.5;
/// The shortest rest by which anything is learned. A connection that rested less was most likely lost
/// with its target.
const MIN_IDLE_TIME: Duration = Duration::from_millis(20);
/// How long what was learned holds. Each time it is forgotten a request is lost to learn it again, and
/// a new connection takes a millisecond or two.
const TTL: Duration = Duration::from_secs(60);

/// How long connections to a service may rest, as one instance tells the others.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct IdleLimit {
    /// The hash of the service's name.
    pub service: u64,
    /// The longest rest, in milliseconds.
    pub most_ms: u32,
    /// The time since this was learned, in milliseconds.
    pub age_ms: u32,
}

/// How long connections to a service may rest before a request goes out on them.
///
/// The load it answers: targets, or something on the way to them, forget connections that rest, sooner
/// than they say and without a sign. What is sent next on such a connection is reset; a request that may
/// not be repeated then ends as one that may have run. With many instances each connection rests for
/// seconds, so nearly every one is lost. A loss shortens the rest for all targets of the service, and
/// instances tell each other, so few requests pay for it.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// use celerypond_relay::IdleLimits;
/// use tokio::time::Instant;
///
/// let now = Instant::now();
/// let mut limits = IdleLimits::default();
/// assert_eq!(limits.limit(1, now), None);
/// limits.record_reset(1, Duration::from_millis(400), now);
/// assert_eq!(limits.limit(1, now), Some(Duration::from_millis(200)));
/// assert_eq!(limits.limit(1, now + Duration::from_secs(60)), None);
/// ```
#[derive(Clone, Debug, Default)]
pub struct IdleLimits {
    /// For each service the longest rest, and when it was learned.
    learned: HashMap<u64, (Duration, Instant)>,
}

impl IdleLimits {
    /// Takes in that what was sent on a connection was reset at once, after the connection had rested for
    /// so long; returns whether that is news.
    pub fn record_reset(&mut self, service: u64, rested: Duration, now: Instant) -> bool {
        rested >= MIN_IDLE_TIME && self.learn(service, rested.mul_f64(LIMIT_SHARE), now)
    }

    /// Returns the longest rest of connections to a service; nothing where none was lost by resting.
    pub fn limit(&self, service: u64, now: Instant) -> Option<Duration> {
        let (most, at) = self.learned.get(&service)?;
        is_fresh(*at, now).then_some(*most)
    }

    /// Returns what others are to know.
    pub fn report(&self, now: Instant) -> Vec<IdleLimit> {
        let fresh = self
            .learned
            .iter()
            .filter(|(_, (_, at))| is_fresh(*at, now));
        let told = fresh.map(|(service, (most, at))| IdleLimit {
            service: *service,
            most_ms: millis(*most),
            age_ms: millis(now.saturating_duration_since(*at)),
        });
        told.collect()
    }

    /// Takes in what another instance learned.
    pub fn merge(&mut self, told: &[IdleLimit], now: Instant) {
        for rest in told {
            let age = Duration::from_millis(u64::from(rest.age_ms));
            let Some(at) = now.checked_sub(age) else {
                continue;
            };
            if is_fresh(at, now) {
                self.learn(
                    rest.service,
                    Duration::from_millis(u64::from(rest.most_ms)),
                    at,
                );
            }
        }
    }

    /// Keeps the shortest rest that still holds. A longer one that is learned again leaves it as it is:
    /// connections that rest for longer were lost before.
    fn learn(&mut self, service: u64, most: Duration, at: Instant) -> bool {
        let known = self.learned.get(&service);
        let known = known.filter(|(_, known)| is_fresh(*known, at));
        if known.is_some_and(|(known, _)| *known <= most) {
            return false;
        }
        self.learned.insert(service, (most, at));
        true
    }
}

fn is_fresh(learned: Instant, now: Instant) -> bool {
    now.saturating_duration_since(learned) < TTL
}

fn millis(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}
