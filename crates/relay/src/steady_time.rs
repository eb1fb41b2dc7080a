//! A time that follows lasting changes only.

use std::time::Duration;

use tokio::time::Instant;

/// How long all measurements must be slower before they count. Machines that are shared change
/// their pace for less than a second, and work that moves for that would move back.
const MIN_SLOW_DURATION: Duration = Duration::from_secs(2);
/// The minimum number of slower measurements in succession.
const MIN_SLOWER: u32 = 4;
/// The maximum time between two slower measurements that count as successive.
const MAX_GAP: Duration = Duration::from_secs(2);
/// The share by which measurements vary without a cause.
const TOLERANCE: f64 = 0.15;
/// The weight of a new measurement that is not slower.
const WEIGHT: f64 = 0.5;

/// A time that is measured on a shared machine: it becomes longer only once all measurements of
/// some seconds were longer.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// use celerypond_relay::SteadyTime;
/// use tokio::time::Instant;
///
/// let begin = Instant::now();
/// let mut time = SteadyTime::new(30.0, begin);
/// let slow = |n: u64| (75.0, begin + Duration::from_millis(n * 300));
/// (1..4).for_each(|n| time.record(slow(n).0, slow(n).1));
/// assert_eq!(time.value(), 30.0);
/// (4..9).for_each(|n| time.record(slow(n).0, slow(n).1));
/// assert_eq!(time.value(), 75.0);
/// ```
#[derive(Clone, Copy, Debug)]
pub struct SteadyTime {
    value: f64,
    at: Instant,
    slower: Option<Slower>,
}

/// Successive measurements that are slower than the value.
#[derive(Clone, Copy, Debug)]
struct Slower {
    since: Instant,
    count: u32,
    fastest: f64,
}

impl SteadyTime {
    /// Begins with a value.
    pub const fn new(value: f64, now: Instant) -> Self {
        Self {
            value,
            at: now,
            slower: None,
        }
    }

    /// Returns the value.
    pub const fn value(&self) -> f64 {
        self.value
    }

    /// Returns the time since the last measurement.
    pub fn age(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.at)
    }

    /// Records a measurement.
    pub fn record(&mut self, measured: f64, now: Instant) {
        let gap = self.age(now);
        self.at = now;
        if measured <= self.value * (1.0 + TOLERANCE) {
            self.value += (measured - self.value) * WEIGHT;
            self.slower = None;
            return;
        }
        let known = self.slower.filter(|_| gap <= MAX_GAP);
        let slower = match known {
            Some(known) => Slower {
                count: known.count + 1,
                fastest: known.fastest.min(measured),
                ..known
            },
            None => Slower {
                since: now,
                count: 1,
                fastest: measured,
            },
        };
        let lasted = now.saturating_duration_since(slower.since);
        self.slower = Some(slower);
        if lasted >= MIN_SLOW_DURATION && slower.count >= MIN_SLOWER {
            self.value = slower.fastest;
            self.slower = None;
        }
    }
}
