//! Limits on the idle time of connections to a service.

use std::{collections::HashMap, time::Duration};

use serde::{Deserialize, Serialize};
use tokio::time::Instant;

/// The limit as a share of the shortest idle time after which a connection was reset.
const LIMIT_SHARE: f64 = 0.5;
/// The minimum idle time that sets a limit. Connections that were reset after a shorter time were
/// probably lost with their target.
const MIN_IDLE_TIME: Duration = Duration::from_millis(20);
/// How long a limit is valid. Each time a limit is forgotten, a request is lost to learn it again;
/// a new connection takes one or two milliseconds.
const TTL: Duration = Duration::from_secs(60);

/// The limit on the idle time of connections to a service, as reported to other instances.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct IdleLimit {
    /// The hash of the service's name.
    pub service: u64,
    /// The limit, in milliseconds.
    pub most_ms: u32,
    /// The time since the limit was learned, in milliseconds.
    pub age_ms: u32,
}

/// Limits on the idle time of connections to each service, after which they are no longer used.
///
/// Targets, or network devices on the way to them, may silently drop idle connections earlier than
/// announced. The next request on such a connection is reset, and fails as one that may have run if
/// it must not be repeated. With many instances, each connection is idle for seconds between
/// requests, so that nearly all requests would be lost. A reset limits the idle time for all
/// targets of the service, and instances tell each other, so that few requests are lost.
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
    /// The limit of each service, and when it was learned.
    learned: HashMap<u64, (Duration, Instant)>,
}

impl IdleLimits {
    /// Records that a request was reset at once, on a connection that had been idle for some time;
    /// returns whether this changes the limit.
    pub fn record_reset(&mut self, service: u64, idle_time: Duration, now: Instant) -> bool {
        idle_time >= MIN_IDLE_TIME && self.learn(service, idle_time.mul_f64(LIMIT_SHARE), now)
    }

    /// Returns the limit for a service; `None` if no connection was lost while idle.
    pub fn limit(&self, service: u64, now: Instant) -> Option<Duration> {
        let (limit, at) = self.learned.get(&service)?;
        is_fresh(*at, now).then_some(*limit)
    }

    /// Returns the limits to report to other instances.
    pub fn report(&self, now: Instant) -> Vec<IdleLimit> {
        let fresh = self
            .learned
            .iter()
            .filter(|(_, (_, at))| is_fresh(*at, now));
        let reported = fresh.map(|(service, (limit, at))| IdleLimit {
            service: *service,
            most_ms: millis(*limit),
            age_ms: millis(now.saturating_duration_since(*at)),
        });
        reported.collect()
    }

    /// Merges the limits of another instance.
    pub fn merge(&mut self, reported: &[IdleLimit], now: Instant) {
        for limit in reported {
            let age = Duration::from_millis(u64::from(limit.age_ms));
            let Some(at) = now.checked_sub(age) else {
                continue;
            };
            if is_fresh(at, now) {
                self.learn(
                    limit.service,
                    Duration::from_millis(u64::from(limit.most_ms)),
                    at,
                );
            }
        }
    }

    /// Sets a limit, unless a shorter one is valid. A longer one does not extend a shorter one's
    /// validity, as connections that are idle for longer are no longer used.
    fn learn(&mut self, service: u64, limit: Duration, at: Instant) -> bool {
        let known = self.learned.get(&service);
        let known = known.filter(|(_, known)| is_fresh(*known, at));
        if known.is_some_and(|(known, _)| *known <= limit) {
            return false;
        }
        self.learned.insert(service, (limit, at));
        true
    }
}

fn is_fresh(learned: Instant, now: Instant) -> bool {
    now.saturating_duration_since(learned) < TTL
}

fn millis(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}
