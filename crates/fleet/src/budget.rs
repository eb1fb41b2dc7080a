//! Rate limit on the bytes that an instance sends.

use std::time::Duration;

use tokio::time::Instant;

/// Capacity of the bucket, in seconds of sending at the full rate.
const MAX_BURST_SECONDS: u64 = 2;

/// A token bucket that counts bytes.
///
/// [`ByteBudget::spend`] may take more than is available. Nothing is available then until the
/// deficit has been refilled.
#[derive(Clone, Debug)]
pub struct ByteBudget {
    rate: u64,
    tokens: i64,
    last_refill: Instant,
}

impl ByteBudget {
    /// Creates a full bucket that refills at `rate` bytes per second.
    pub fn new(rate: u64, now: Instant) -> Self {
        Self {
            rate,
            tokens: (rate * MAX_BURST_SECONDS) as i64,
            last_refill: now,
        }
    }

    /// Changes the rate to `rate` bytes per second from `now` on.
    pub fn set_rate(&mut self, rate: u64, now: Instant) {
        if rate == self.rate {
            return;
        }
        self.refill(now);
        self.rate = rate;
        self.tokens = self.tokens.min((rate * MAX_BURST_SECONDS) as i64);
    }

    /// Returns the number of bytes that may be sent now.
    pub fn available(&mut self, now: Instant) -> usize {
        self.refill(now);
        self.tokens.max(0) as usize
    }

    /// Deducts the bytes of a sent message.
    pub fn spend(&mut self, bytes: usize) {
        self.tokens -= bytes as i64;
    }

    fn refill(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.last_refill);
        let gained = (elapsed.as_micros() as u64).saturating_mul(self.rate) / 1_000_000;
        if gained == 0 {
            return;
        }
        let limit = (self.rate * MAX_BURST_SECONDS) as i64;
        self.tokens = (self.tokens + gained as i64).min(limit);
        // The time that did not yield a whole byte counts towards the next refill.
        self.last_refill += Duration::from_micros(gained * 1_000_000 / self.rate);
    }
}
