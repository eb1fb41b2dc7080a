//! The share of the platform's call rate that one instance may use.

use std::time::Duration;

use tokio::time::Instant;

/// Whether a call counts as a read or as a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallKind {
    /// A get, a list, a watch (one call however long it waits), the instance list.
    Read,
    /// A create, an update, a delete.
    Write,
}

/// The rates of a budget.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rates {
    /// Reads a second.
    pub reads: f64,
    /// Writes a second.
    pub writes: f64,
    /// How long an idle time is saved up for a burst.
    pub burst: Duration,
}

impl Rates {
    /// Returns the share of one instance out of `count` that share these rates.
    pub fn share(self, count: usize) -> Self {
        let count = count.max(1) as f64;
        Self {
            reads: self.reads / count,
            writes: self.writes / count,
            burst: self.burst,
        }
    }
}

/// A token bucket for reads and one for writes.
///
/// A call beyond the rate is refused with the time until the next one is allowed. Waiting in line
/// instead would let the line grow without bound when the platform is slow.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// use celerypond_platform::{CallBudget, CallKind, Rates};
/// use tokio::time::Instant;
///
/// let now = Instant::now();
/// let rates = Rates { reads: 10.0, writes: 2.0, burst: Duration::from_secs(1) };
/// let mut budget = CallBudget::new(rates, now);
/// assert!(budget.take(CallKind::Write, now).is_ok());
/// assert!(budget.take(CallKind::Write, now).is_ok());
/// assert_eq!(budget.take(CallKind::Write, now), Err(Duration::from_millis(500)));
/// ```
#[derive(Clone, Debug)]
pub struct CallBudget {
    rates: Rates,
    reads: Bucket,
    writes: Bucket,
}

#[derive(Clone, Copy, Debug)]
struct Bucket {
    tokens: f64,
    filled: Instant,
}

impl CallBudget {
    /// Makes a full budget.
    pub fn new(rates: Rates, now: Instant) -> Self {
        let bucket = |rate| Bucket {
            tokens: depth(rate, rates.burst),
            filled: now,
        };
        Self {
            rates,
            reads: bucket(rates.reads),
            writes: bucket(rates.writes),
        }
    }

    /// Changes the rates, for example when the number of instances changes.
    pub fn set_rates(&mut self, rates: Rates, now: Instant) {
        self.reads.fill(self.rates.reads, self.rates.burst, now);
        self.writes.fill(self.rates.writes, self.rates.burst, now);
        self.rates = rates;
    }

    /// Takes one call out of the budget.
    ///
    /// # Errors
    ///
    /// The time until a call of this kind is allowed.
    pub fn take(&mut self, kind: CallKind, now: Instant) -> Result<(), Duration> {
        let (bucket, rate) = match kind {
            CallKind::Read => (&mut self.reads, self.rates.reads),
            CallKind::Write => (&mut self.writes, self.rates.writes),
        };
        bucket.fill(rate, self.rates.burst, now);
        if bucket.tokens >= 1.0 {
            bucket.tokens -= 1.0;
            return Ok(());
        }
        Err(wait(1.0 - bucket.tokens, rate))
    }
}

impl Bucket {
    fn fill(&mut self, rate: f64, burst: Duration, now: Instant) {
        let passed = now.saturating_duration_since(self.filled);
        let tokens = self.tokens + rate * passed.as_secs_f64();
        self.tokens = tokens.min(depth(rate, burst));
        self.filled = self.filled.max(now);
    }
}

/// Returns the tokens of a full bucket; one at least, or no call would ever be allowed.
fn depth(rate: f64, burst: Duration) -> f64 {
    (rate * burst.as_secs_f64()).max(1.0)
}

fn wait(tokens: f64, rate: f64) -> Duration {
    const LONGEST: Duration = Duration::from_secs(60);
    Duration::try_from_secs_f64(tokens / rate).map_or(LONGEST, |wait| wait.min(LONGEST))
}
