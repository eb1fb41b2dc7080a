//! Rate limits for calls to the platform.

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

/// The sustained rates and the burst allowance of a [`CallBudget`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rates {
    /// Reads per second.
    pub reads: f64,
    /// Writes per second.
    pub writes: f64,
    /// For how much idle time unused calls accumulate, to be spent in a burst.
    pub burst: Duration,
}

impl Rates {
    /// Divides the rates evenly among `count` instances.
    pub fn share(self, count: usize) -> Self {
        let count = count.max(1) as f64;
        Self {
            reads: self.reads / count,
            writes: self.writes / count,
            burst: self.burst,
        }
    }
}

/// A rate limiter with one token bucket for reads and one for writes.
///
/// A call that exceeds the rate is rejected along with the time until the next one is allowed.
/// Calls are not queued, because the queue would grow without bound while the platform is slow.
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
    refilled_at: Instant,
}

impl CallBudget {
    /// Creates a budget with full buckets.
    pub fn new(rates: Rates, now: Instant) -> Self {
        let bucket = |rate| Bucket {
            tokens: capacity(rate, rates.burst),
            refilled_at: now,
        };
        Self {
            rates,
            reads: bucket(rates.reads),
            writes: bucket(rates.writes),
        }
    }

    /// Changes the rates, for example after the number of instances has changed.
    pub fn set_rates(&mut self, rates: Rates, now: Instant) {
        self.reads.refill(self.rates.reads, self.rates.burst, now);
        self.writes.refill(self.rates.writes, self.rates.burst, now);
        self.rates = rates;
    }

    /// Takes one call of this kind from the budget.
    ///
    /// # Errors
    ///
    /// Returns the time until a call of this kind is allowed.
    pub fn take(&mut self, kind: CallKind, now: Instant) -> Result<(), Duration> {
        let (bucket, rate) = match kind {
            CallKind::Read => (&mut self.reads, self.rates.reads),
            CallKind::Write => (&mut self.writes, self.rates.writes),
        };
        bucket.refill(rate, self.rates.burst, now);
        if bucket.tokens >= 1.0 {
            bucket.tokens -= 1.0;
            return Ok(());
        }
        Err(time_to_refill(1.0 - bucket.tokens, rate))
    }
}

impl Bucket {
    fn refill(&mut self, rate: f64, burst: Duration, now: Instant) {
        let elapsed = now.saturating_duration_since(self.refilled_at);
        let tokens = self.tokens + rate * elapsed.as_secs_f64();
        self.tokens = tokens.min(capacity(rate, burst));
        self.refilled_at = self.refilled_at.max(now);
    }
}

/// Returns the capacity of a bucket, which is at least one token because otherwise no call would
/// ever be allowed.
fn capacity(rate: f64, burst: Duration) -> f64 {
    (rate * burst.as_secs_f64()).max(1.0)
}

fn time_to_refill(tokens: f64, rate: f64) -> Duration {
    const MAX_WAIT: Duration = Duration::from_secs(60);
    Duration::try_from_secs_f64(tokens / rate).map_or(MAX_WAIT, |wait| wait.min(MAX_WAIT))
}
