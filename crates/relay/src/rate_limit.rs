//! Limits the requests to a target that states how many per second it accepts.

use std::{collections::HashMap, time::Duration};

use serde::{Deserialize, Serialize};
use tokio::time::Instant;

/// The share of the stated rate that all instances use. The rest is for requests that several of them
/// send before they know of each other's.
const RATE_SHARE: f64 = 0.9;
/// The rate, in requests per second, that is used at least. A target that accepts no requests would
/// otherwise never get one to whose response it can add that its limit has ended.
const MIN_RATE: f64 = 0.25;
/// The time in which other instances may not know yet of a request that was sent.
const NOTICE_DELAY: Duration = Duration::from_millis(20);
/// The maximum time over which instances send one after the other, at the stated rate.
const MAX_SPREAD: Duration = Duration::from_secs(1);
/// The share of the requests of a second that an instance sends before it notifies others, if that
/// is more than one.
const NOTICE_SHARE: f64 = 0.01;

/// A notice about a target that limits its rate of requests.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct RateNotice {
    /// The id of the sending instance's process.
    pub origin: u64,
    /// The hash of the target's name.
    pub target_hash: u64,
    /// What happened.
    pub event: RateEvent,
}

/// An event that other instances are notified of.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub enum RateEvent {
    /// The target stated another limit in requests per second, or none.
    Stated(Option<f64>),
    /// The sender has sent this number of requests since it knows that the target has limits.
    Sent(u32),
}

/// Limits the requests to a target that states how many per second it accepts from all instances.
///
/// All instances keep the same token bucket, from which each takes the requests that it sends and
/// those that others report. There are no shares, so that an instance with most of the callers can
/// use the whole rate. Requests that are sent at the same moment overdraw the bucket, and later ones
/// wait longer for that. To make this rare, each instance draws at random how full the bucket has to
/// be for its next request, within a range that fills in the time that their notices take.
///
/// A limit holds until a response to a later request does not state it.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// use celerypond_relay::{RateEvent, RateLimit};
/// use tokio::time::Instant;
///
/// let start = Instant::now();
/// let mut limit = RateLimit::default();
/// assert!(limit.allows(7, start));
/// assert!(limit.record_statement(Some(10.0), start, start));
/// assert!(!limit.allows(7, start));
/// let now = start + Duration::from_millis(300);
/// assert!(limit.allows(7, now));
/// assert_eq!(limit.spend(7, 0.5, now), Some(RateEvent::Sent(1)));
/// limit.merge(1, RateEvent::Sent(1), 7, now);
/// assert!(!limit.allows(7, now));
/// ```
#[derive(Clone, Debug, Default)]
pub struct RateLimit {
    statement: Option<Statement>,
    /// The number of requests that may be sent now; negative after several were sent at once.
    tokens: f64,
    /// When that was.
    updated: Option<Instant>,
    /// The part of the spread by which the bucket has to be fuller for the next request, from 0 to 1.
    jitter: f64,
    /// The number of requests that this instance has sent since it knows that there are limits.
    sent: u32,
    /// The number of these that other instances were notified of.
    reported: u32,
    /// The number that each other instance has reported, by origin.
    peers: HashMap<u64, u32>,
}

/// A limit that the target stated.
#[derive(Clone, Copy, Debug)]
struct Statement {
    /// Requests per second.
    rate: f64,
    /// When it was first stated.
    since: Instant,
    /// When it was last stated.
    at: Instant,
}

impl RateLimit {
    /// Records the limit in a response to a request that was sent at a moment; `None` if the response
    /// states no limit. Returns whether it changed, so that other instances have to be notified.
    pub fn record_statement(&mut self, rate: Option<f64>, sent: Instant, now: Instant) -> bool {
        let rate = finite(rate);
        let previous = self.statement;
        // Responses to earlier requests may arrive after the one that stated the limit.
        if rate.is_none() && previous.is_some_and(|statement| sent <= statement.at) {
            return false;
        }
        self.set(rate, now);
        previous.map(|statement| statement.rate) != rate
    }

    /// Merges what another instance reports.
    pub fn merge(&mut self, origin: u64, event: RateEvent, instances: usize, now: Instant) {
        let sent = match event {
            RateEvent::Stated(rate) => return self.set(finite(rate), now),
            RateEvent::Sent(sent) => sent,
        };
        let Some(statement) = self.statement else {
            return;
        };
        let known = self.peers.insert(origin, sent);
        let known = known.unwrap_or_else(|| sent.saturating_sub(1));
        // A number that is lower than before counts from another start.
        let new = sent.checked_sub(known).unwrap_or(sent);
        self.take(f64::from(new), statement.rate, instances, now);
    }

    /// Returns whether a request may be sent now by one of this number of instances.
    pub fn allows(&self, instances: usize, now: Instant) -> bool {
        let statement = self.statement;
        statement.is_none_or(|statement| self.lacking(statement.rate, instances, now) <= 0.0)
    }

    /// Returns the time until a request may be sent; `None` if the rate is not limited.
    pub fn wait(&self, instances: usize, now: Instant) -> Option<Duration> {
        let rate = self.statement?.rate;
        let lacking = self.lacking(rate, instances, now);
        Some(Duration::from_secs_f64(lacking.max(0.0) / used_rate(rate)))
    }

    /// Counts a request that is sent; `jitter` is between 0 and 1. Returns the event that other
    /// instances have to be notified of.
    pub fn spend(&mut self, instances: usize, jitter: f64, now: Instant) -> Option<RateEvent> {
        let rate = self.statement?.rate;
        self.take(1.0, rate, instances, now);
        self.jitter = jitter;
        self.sent = self.sent.wrapping_add(1);
        let unreported = f64::from(self.sent.wrapping_sub(self.reported));
        if unreported < rate * NOTICE_SHARE {
            return None;
        }
        self.reported = self.sent;
        Some(RateEvent::Sent(self.sent))
    }

    /// Returns the limit in requests per second that the target states, and since when.
    pub fn stated(&self) -> Option<(f64, Instant)> {
        let statement = self.statement?;
        Some((statement.rate, statement.since))
    }

    fn set(&mut self, rate: Option<f64>, now: Instant) {
        let previous = self.statement;
        self.statement = rate.map(|rate| Statement {
            rate,
            since: previous.map_or(now, |statement| statement.since),
            at: now,
        });
        match (previous, rate) {
            (None, Some(_)) => {
                self.tokens = 0.0;
                self.updated = Some(now);
            }
            (_, None) => self.peers.clear(),
            // What has accrued at the previous rate is kept.
            (Some(previous), Some(rate)) if previous.rate != rate => {
                self.tokens = self.tokens_at(previous.rate, 1, now);
                self.updated = Some(now);
            }
            _ => {}
        }
    }

    /// Returns the number of requests by which the bucket has to be fuller for the next one.
    fn lacking(&self, rate: f64, instances: usize, now: Instant) -> f64 {
        let needed = 1.0 + self.jitter * spread(rate, instances);
        needed - self.tokens_at(rate, instances, now)
    }

    fn take(&mut self, requests: f64, rate: f64, instances: usize, now: Instant) {
        self.tokens = self.tokens_at(rate, instances, now) - requests;
        self.updated = Some(now);
    }

    fn tokens_at(&self, rate: f64, instances: usize, now: Instant) -> f64 {
        let elapsed = self.updated.map_or(Duration::ZERO, |updated| {
            now.saturating_duration_since(updated)
        });
        let tokens = self.tokens + elapsed.as_secs_f64() * used_rate(rate);
        tokens.min(1.0 + spread(rate, instances))
    }
}

/// Returns a stated rate unless it is not a number or infinite, which is no limit.
fn finite(rate: Option<f64>) -> Option<f64> {
    rate.filter(|rate| rate.is_finite())
}

/// Returns the rate that all instances use together, in requests per second.
fn used_rate(stated: f64) -> f64 {
    (stated * RATE_SHARE).max(MIN_RATE)
}

/// Returns the number of requests within which instances draw how full the bucket has to be.
fn spread(stated: f64, instances: usize) -> f64 {
    let others = instances.saturating_sub(1) as f64;
    let time = NOTICE_DELAY.mul_f64(others).min(MAX_SPREAD);
    used_rate(stated) * time.as_secs_f64()
}
