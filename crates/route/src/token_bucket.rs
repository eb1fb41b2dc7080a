//! A lock-free token bucket.

use std::{
    sync::atomic::{AtomicU64, Ordering::Relaxed},
    time::Duration,
};

/// The size of a bucket, as the time in which it fills.
pub const BURST_MS: u64 = 1_000;

const NANOS_PER_MS: u64 = 1_000_000;

/// A token bucket that holds at most the tokens of [`BURST_MS`].
///
/// It stores only the theoretical arrival time (TAT) of the generic cell rate algorithm: the time
/// at which all tokens taken so far will have been refilled. It therefore needs neither a lock nor
/// a clock of its own, and a debt is just a later TAT.
///
/// # Examples
///
/// ```
/// use celerypond_route::TokenBucket;
///
/// let bucket = TokenBucket::new(0);
/// bucket.set_rate(10.0, 0);
/// assert!(bucket.try_take(10, 1_000).is_ok());
/// let wait = bucket.try_take(1, 1_000).unwrap_err();
/// assert_eq!(wait.as_millis(), 100);
/// ```
#[derive(Debug)]
pub struct TokenBucket {
    /// The theoretical arrival time, in nanoseconds.
    tat: AtomicU64,
    /// The time in which one token is refilled, in nanoseconds; 0 if none ever is.
    ns_per_token: AtomicU64,
}

impl TokenBucket {
    /// Creates an empty bucket with a rate of zero.
    pub const fn new(now_ms: u64) -> Self {
        Self {
            tat: AtomicU64::new(now_ms * NANOS_PER_MS),
            ns_per_token: AtomicU64::new(0),
        }
    }

    /// Sets the rate in tokens per second.
    ///
    /// The number of saved tokens never grows by a change of the rate. Since they are stored as
    /// time, they would otherwise be worth more tokens at a higher rate, which no other instance
    /// has given up.
    pub fn set_rate(&self, rate: f64, now_ms: u64) {
        let ns_per_token = if rate > 0.0 { 1e9 / rate } else { 0.0 } as u64;
        let previous = self.ns_per_token.swap(ns_per_token, Relaxed);
        let now = now_ms * NANOS_PER_MS;
        let rescale = |tat: u64| {
            let start = tat.max(now.saturating_sub(BURST_MS * NANOS_PER_MS));
            let saved = now.saturating_sub(start);
            let kept = if previous == 0 {
                0
            } else {
                scale(saved, ns_per_token, previous).min(saved)
            };
            // A debt keeps its number of tokens as well.
            let debt = start.saturating_sub(now);
            let owed = if previous == 0 {
                debt
            } else {
                scale(debt, ns_per_token, previous)
            };
            Some(now - kept + owed)
        };
        // The closure always returns a value.
        let _ = self.tat.fetch_update(Relaxed, Relaxed, rescale);
    }

    /// Takes `tokens`, or returns how long to wait until they can be taken.
    ///
    /// More tokens than the bucket holds can be taken when it is full; the excess becomes a debt.
    ///
    /// # Errors
    ///
    /// The time until the same call succeeds if no other call takes tokens.
    pub fn try_take(&self, tokens: u64, now_ms: u64) -> Result<(), Duration> {
        let ns_per_token = self.ns_per_token.load(Relaxed);
        if tokens == 0 {
            // A call that generates no tokens need not wait for the debt of those that do.
            return Ok(());
        }
        if ns_per_token == 0 {
            return Err(Duration::from_millis(BURST_MS));
        }
        let now = now_ms * NANOS_PER_MS;
        let burst = BURST_MS * NANOS_PER_MS;
        let cost = tokens.saturating_mul(ns_per_token);
        // A cost above the burst is accepted when the bucket is full.
        let start = now.saturating_sub(burst);
        let limit = start.saturating_add(burst.max(cost));
        let advance = |tat: u64| {
            let next = tat.max(start).saturating_add(cost);
            (next <= limit).then_some(next)
        };
        let tat = self.tat.fetch_update(Relaxed, Relaxed, advance);
        let excess = |tat: u64| tat.max(start).saturating_add(cost).saturating_sub(limit);
        tat.map(drop)
            .map_err(|tat| Duration::from_nanos(excess(tat)))
    }

    /// Corrects an estimate after `used` tokens were used instead of the `taken` ones.
    pub fn reconcile(&self, taken: u64, used: u64) {
        let ns_per_token = self.ns_per_token.load(Relaxed);
        let more = used.saturating_sub(taken).saturating_mul(ns_per_token);
        let less = taken.saturating_sub(used).saturating_mul(ns_per_token);
        let correct = |tat: u64| Some(tat.saturating_add(more).saturating_sub(less));
        let _ = self.tat.fetch_update(Relaxed, Relaxed, correct);
    }
}

/// Converts `time` for the change of the refill time of a token from `previous` to `ns_per_token`.
fn scale(time: u64, ns_per_token: u64, previous: u64) -> u64 {
    (u128::from(time) * u128::from(ns_per_token) / u128::from(previous)) as u64
}
