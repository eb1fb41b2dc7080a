//! The time for which a target wants no requests from this instance.

use std::time::Duration;

use tokio::time::Instant;

/// The maximum time that is plausible. A target that wants no requests for longer leaves.
const MAX_TIME: Duration = Duration::from_secs(24 * 60 * 60);
/// The time from a statement until a single request finds out whether the target accepts requests
/// again, for the first one and the second one. A wrong figure on all targets would otherwise take a
/// service away.
const PROBE_TIMES: [Duration; 2] = [Duration::from_secs(60), Duration::from_secs(600)];
/// The interval between requests after the stated time until a target has accepted one.
const TRIAL_INTERVAL: Duration = Duration::from_millis(50);
/// The time over which instances send their first requests after the stated time, for each of them,
/// and its maximum. A target that was just full would be full again if all did at once.
const SPREAD_PER_INSTANCE: Duration = Duration::from_millis(5);
const MAX_SPREAD: Duration = Duration::from_secs(1);

/// The time for which a target wants no requests from this instance, and the return of requests
/// after it.
///
/// Each instance keeps to what was stated to itself: a target may have room for one while it has
/// none for another. Neither a shorter statement nor a request that is accepted meanwhile ends the
/// time earlier. After it, single requests are sent until one is accepted.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// use celerypond_relay::Cooldown;
/// use tokio::time::Instant;
///
/// let start = Instant::now();
/// let mut cooldown = Cooldown::default();
/// assert!(cooldown.record_statement(Duration::from_secs(3), 7, 0.0, start));
/// assert_eq!(cooldown.held_until(start), Some(start + Duration::from_secs(3)));
/// let later = start + Duration::from_secs(3);
/// assert_eq!(cooldown.held_until(later), None);
/// cooldown.spend(later);
/// assert!(cooldown.held_until(later).is_some());
/// cooldown.record_acceptance(later, later);
/// assert_eq!(cooldown.held_until(later), None);
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Cooldown {
    current: Option<Period>,
}

/// A period that has not ended with a request that was accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Period {
    /// When it was first stated.
    since: Instant,
    /// When it was last stated.
    stated: Instant,
    until: Instant,
    /// When a request was last sent in it or after it.
    tried: Option<Instant>,
    /// The number of requests that were sent in it.
    probes: usize,
}

impl Period {
    /// Returns when the next request may be sent.
    fn next_at(&self, now: Instant) -> Instant {
        if now >= self.until {
            let tried = self.tried.filter(|tried| *tried >= self.until);
            return tried.map_or(self.until, |tried| tried + TRIAL_INTERVAL);
        }
        let probe = PROBE_TIMES.get(self.probes).map(|time| self.stated + *time);
        probe.map_or(self.until, |probe| probe.min(self.until))
    }
}

impl Cooldown {
    /// Records that the target stated a time; `jitter` is between 0 and 1. Returns whether a period
    /// begins with it. An implausible time has no effect.
    pub fn record_statement(
        &mut self,
        time: Duration,
        instances: usize,
        jitter: f64,
        now: Instant,
    ) -> bool {
        if time.is_zero() || time > MAX_TIME {
            return false;
        }
        let spread = SPREAD_PER_INSTANCE.mul_f64(instances.saturating_sub(1) as f64);
        let until = now + time + spread.min(MAX_SPREAD).mul_f64(jitter);
        let Some(period) = &mut self.current else {
            self.current = Some(Period {
                since: now,
                stated: now,
                until,
                tried: None,
                probes: 0,
            });
            return true;
        };
        if now >= period.until {
            period.probes = 0;
        }
        period.stated = now;
        period.until = period.until.max(until);
        false
    }

    /// Records that the target accepted a request that was sent at a moment. Returns how long requests
    /// were held back if that ends with it.
    pub fn record_acceptance(&mut self, sent: Instant, now: Instant) -> Option<Duration> {
        let period = self.current?;
        let is_probe = period.probes > 0 && period.tried.is_some_and(|tried| sent >= tried);
        if sent < period.until && !is_probe {
            return None;
        }
        self.current = None;
        Some(now.saturating_duration_since(period.since))
    }

    /// Returns until when no request may be sent; `None` if one may be sent now.
    pub fn held_until(&self, now: Instant) -> Option<Instant> {
        let next = self.current?.next_at(now);
        (next > now).then_some(next)
    }

    /// Returns whether the stated time is not over.
    pub fn is_active(&self, now: Instant) -> bool {
        self.current.is_some_and(|period| period.until > now)
    }

    /// Returns whether the target stated the time after a request for it was selected.
    pub fn began_after(&self, selected: Instant, now: Instant) -> bool {
        let is_later = |period: Period| period.stated > selected;
        self.is_active(now) && self.current.is_some_and(is_later)
    }

    /// Counts a request that is sent.
    pub fn spend(&mut self, now: Instant) {
        if let Some(period) = &mut self.current {
            period.probes += usize::from(now < period.until);
            period.tried = Some(now);
        }
    }
}
