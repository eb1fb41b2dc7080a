//! A token bucket in atomics.

use std::{
    sync::atomic::{AtomicU64, Ordering::Relaxed},
    time::Duration,
};

/// How much of a rate may be saved up.
pub const BURST_MS: u64 = 1_000;

const NANOS_PER_MS: u64 = 1_000_000;

/// A token bucket that fills at a rate and holds what the rate gives in [`BURST_MS`].
///
/// It keeps one number, the time at which all that was taken will be paid for. So it needs no lock
/// and no clock of its own, and a debt is a time that lies further ahead.
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
    /// When all that was taken is paid for, in nanoseconds.
    paid: AtomicU64,
    /// The nanoseconds that one token takes; 0 gives none.
    cost: AtomicU64,
}

impl TokenBucket {
    /// Makes an empty bucket that does not fill yet.
    pub const fn new(now_ms: u64) -> Self {
        Self {
            paid: AtomicU64::new(now_ms * NANOS_PER_MS),
            cost: AtomicU64::new(0),
        }
    }

    /// Sets the rate in tokens a second.
    ///
    /// Saved tokens are kept but never multiplied: they are time in this bucket, and the same time
    /// would be worth more tokens at a higher rate, which nobody has given up elsewhere.
    pub fn set_rate(&self, rate: f64, now_ms: u64) {
        let cost = if rate > 0.0 { 1e9 / rate } else { 0.0 } as u64;
        let last = self.cost.swap(cost, Relaxed);
        let now = now_ms * NANOS_PER_MS;
        let rescale = |paid: u64| {
            let start = paid.max(now.saturating_sub(BURST_MS * NANOS_PER_MS));
            let saved = now.saturating_sub(start);
            let kept = if last == 0 {
                0
            } else {
                scaled(saved, cost, last).min(saved)
            };
            // A debt stays the same number of tokens too.
            let debt = start.saturating_sub(now);
            let owed = if last == 0 {
                debt
            } else {
                scaled(debt, cost, last)
            };
            Some(now - kept + owed)
        };
        // The closure always returns a value.
        let _ = self.paid.fetch_update(Relaxed, Relaxed, rescale);
    }

    /// Takes `tokens`, or returns how long to wait until they can be taken.
    ///
    /// More tokens than the bucket holds can be taken once it is full; the rest is a debt.
    ///
    /// # Errors
    ///
    /// The time until the same call succeeds if nobody else takes any.
    pub fn try_take(&self, tokens: u64, now_ms: u64) -> Result<(), Duration> {
        let cost = self.cost.load(Relaxed);
        if tokens == 0 {
            // A call that generates nothing need not wait for a debt of those that do.
            return Ok(());
        }
        if cost == 0 {
            return Err(Duration::from_millis(BURST_MS));
        }
        let now = now_ms * NANOS_PER_MS;
        let burst = BURST_MS * NANOS_PER_MS;
        let price = tokens.saturating_mul(cost);
        // A price above the whole burst is allowed when the bucket is full.
        let start = now.saturating_sub(burst);
        let limit = start.saturating_add(burst.max(price));
        let pay = |paid: u64| {
            let next = paid.max(start).saturating_add(price);
            (next <= limit).then_some(next)
        };
        let paid = self.paid.fetch_update(Relaxed, Relaxed, pay);
        let late = |paid: u64| paid.max(start).saturating_add(price).saturating_sub(limit);
        paid.map(drop)
            .map_err(|paid| Duration::from_nanos(late(paid)))
    }

    /// Corrects an estimate: `used` tokens were used where `taken` were taken.
    pub fn reconcile(&self, taken: u64, used: u64) {
        let cost = self.cost.load(Relaxed);
        let more = used.saturating_sub(taken).saturating_mul(cost);
        let less = taken.saturating_sub(used).saturating_mul(cost);
        let correct = |paid: u64| Some(paid.saturating_add(more).saturating_sub(less));
        let _ = self.paid.fetch_update(Relaxed, Relaxed, correct);
    }
}

/// Returns `time` when the price of a token changes from `last` to `cost`.
fn scaled(time: u64, cost: u64, last: u64) -> u64 {
    (u128::from(time) * u128::from(cost) / u128::from(last)) as u64
}
