//! The time that engines take for each event of a stream.

use std::{collections::HashMap, time::Duration};

use tokio::time::Instant;

/// The number of events in one measurement. They span a quarter of a second, which evens out the
/// irregular gaps between single events, which arrive in groups.
pub(crate) const EVENTS_PER_MEASUREMENT: u32 = 8;
/// How long a measurement takes precedence over slower ones. If an engine becomes slow, this is
/// noticed after that time.
const FASTEST_TTL: Duration = Duration::from_secs(2);
/// How long a measurement is kept without a newer one. Engines keep their hardware when they
/// restart.
const RETENTION: Duration = Duration::from_secs(120);

/// The time that each engine takes for an event while it reads no prompt.
///
/// A third of the engines may be a third slower than others, and reading a prompt slows down any
/// engine for a second. The fastest recent measurement is used, which excludes the effect of
/// prompts, so that the difference between engines remains.
///
/// # Examples
///
/// ```
/// use celerypond_relay::EventTimes;
/// use tokio::time::Instant;
///
/// let now = Instant::now();
/// let mut times = EventTimes::default();
/// times.record(1, 120.0, now);
/// times.record(1, 28.0, now);
/// times.record(1, 90.0, now);
/// assert_eq!(times.get(1), Some(28.0));
/// ```
#[derive(Clone, Debug, Default)]
pub struct EventTimes {
    /// By the hash of the engine's address.
    measurements: HashMap<u64, Measurement>,
}

#[derive(Clone, Copy, Debug)]
struct Measurement {
    event_ms: f32,
    at: Instant,
    /// When this instance itself made the measurement.
    observed_here_at: Option<Instant>,
}

impl EventTimes {
    /// Records the milliseconds per event of a stream.
    pub fn record(&mut self, address_hash: u64, event_ms: f32, now: Instant) {
        self.insert(address_hash, event_ms, Some(now), now);
    }

    /// Returns the milliseconds per event of an engine; `None` if unknown.
    pub fn get(&self, address_hash: u64) -> Option<f32> {
        self.measurements
            .get(&address_hash)
            .map(|measurement| measurement.event_ms)
    }

    /// Returns this instance's recent measurements, for other instances.
    pub fn own_times(&self, now: Instant) -> Vec<(u64, f32)> {
        let is_own = |measurement: &Measurement| {
            let observed_at = measurement.observed_here_at;
            observed_at.is_some_and(|at| now.saturating_duration_since(at) < FASTEST_TTL)
        };
        let own = self
            .measurements
            .iter()
            .filter(|(_, measurement)| is_own(measurement));
        own.map(|(address_hash, measurement)| (*address_hash, measurement.event_ms))
            .collect()
    }

    /// Merges the measurements of another instance.
    pub fn merge(&mut self, times: &[(u64, f32)], now: Instant) {
        for (address_hash, event_ms) in times {
            self.insert(*address_hash, *event_ms, None, now);
        }
    }

    /// Removes measurements that are too old.
    pub fn sweep(&mut self, now: Instant) {
        self.measurements
            .retain(|_, measurement| now.saturating_duration_since(measurement.at) < RETENTION);
    }

    fn insert(
        &mut self,
        address_hash: u64,
        event_ms: f32,
        observed_here_at: Option<Instant>,
        now: Instant,
    ) {
        if !event_ms.is_finite() || event_ms <= 0.0 {
            return;
        }
        let measurement = Measurement {
            event_ms,
            at: now,
            observed_here_at,
        };
        let known = self.measurements.entry(address_hash).or_insert(measurement);
        let is_old = now.saturating_duration_since(known.at) >= FASTEST_TTL;
        if event_ms <= known.event_ms || is_old {
            *known = measurement;
        }
    }
}

/// Measures the time per event of one stream.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// use celerypond_relay::EventTimer;
/// use tokio::time::Instant;
///
/// let begin = Instant::now();
/// let mut timer = EventTimer::new(begin);
/// assert_eq!(timer.record(4, begin + Duration::from_millis(100)), None);
/// assert_eq!(timer.record(4, begin + Duration::from_millis(240)), Some(30.0));
/// ```
#[derive(Clone, Copy, Debug)]
pub struct EventTimer {
    since: Instant,
    events: u32,
}

impl EventTimer {
    /// Starts a measurement after an event.
    pub const fn new(now: Instant) -> Self {
        Self {
            since: now,
            events: 0,
        }
    }

    /// Adds events; returns the milliseconds per event if the measurement is complete.
    pub fn record(&mut self, events: u32, now: Instant) -> Option<f32> {
        self.events += events;
        if self.events < EVENTS_PER_MEASUREMENT {
            return None;
        }
        let took = now.saturating_duration_since(self.since);
        let event_ms = took.as_secs_f32() * 1_000.0 / self.events as f32;
        *self = Self::new(now);
        Some(event_ms)
    }
}
