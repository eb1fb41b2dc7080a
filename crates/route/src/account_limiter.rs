//! Rate limiting of an account at one instance, and measurement of its demand.

use std::{
    sync::atomic::{AtomicU64, Ordering::Relaxed},
    time::Duration,
};

use celerypond_bundle::Account;

use crate::{LimitShare, TokenBucket};

/// Limits an account's requests at one instance and measures its demand. All methods take `&self`
/// and use atomics, so tasks can share it.
///
/// # Examples
///
/// ```
/// use celerypond_route::{AccountLimiter, LimitShare};
///
/// let limiter = AccountLimiter::new(0);
/// limiter.set_limit(10, 1_000, LimitShare { requests: 0.5, tokens: 0.5 }, 0);
/// // The share allows five requests per second, and the bucket has filled for one second.
/// assert_eq!((0..9).filter(|_| limiter.admit(10, 1_000).is_ok()).count(), 5);
/// // Demand includes refused requests.
/// assert_eq!(limiter.take_demand(), (9, 90));
/// // A call that generates no tokens is not blocked by a token debt.
/// assert!(limiter.admit(5_000, 2_000).is_ok());
/// assert!(limiter.admit(10, 2_000).is_err());
/// assert!(limiter.admit(0, 2_000).is_ok());
/// ```
#[derive(Debug)]
pub struct AccountLimiter {
    requests: TokenBucket,
    tokens: TokenBucket,
    offered_requests: AtomicU64,
    offered_tokens: AtomicU64,
}

impl AccountLimiter {
    /// Creates a limiter that admits nothing yet.
    pub const fn new(now_ms: u64) -> Self {
        Self {
            requests: TokenBucket::new(now_ms),
            tokens: TokenBucket::new(now_ms),
            offered_requests: AtomicU64::new(0),
            offered_tokens: AtomicU64::new(0),
        }
    }

    /// Sets the limits of this instance to a share of the account's limits.
    pub fn set_limit(
        &self,
        requests_per_s: u32,
        tokens_per_s: u32,
        share: LimitShare,
        now_ms: u64,
    ) {
        let requests = f64::from(requests_per_s) * share.requests;
        let tokens = f64::from(tokens_per_s) * share.tokens;
        self.requests.set_rate(requests, now_ms);
        self.tokens.set_rate(tokens, now_ms);
    }

    /// Sets the limits of this instance to a share of what the bundle declares.
    pub fn set_account_limit(&self, account: &Account, share: LimitShare, now_ms: u64) {
        self.set_limit(account.requests_per_s, account.tokens_per_s, share, now_ms);
    }

    /// Admits a request that is estimated to generate `tokens` tokens.
    ///
    /// # Errors
    ///
    /// If the account is over its limit: the time after which a retry is likely to be admitted.
    pub fn admit(&self, tokens: u64, now_ms: u64) -> Result<(), Duration> {
        self.offered_requests.fetch_add(1, Relaxed);
        self.offered_tokens.fetch_add(tokens, Relaxed);
        self.requests.try_take(1, now_ms)?;
        // A token debt must not block a call that generates no tokens.
        if tokens == 0 {
            return Ok(());
        }
        let refused = self.tokens.try_take(tokens, now_ms);
        if refused.is_err() {
            self.requests.reconcile(1, 0);
        }
        refused
    }

    /// Corrects the token estimate of a request that has ended.
    pub fn reconcile(&self, estimated: u64, generated: u64) {
        self.tokens.reconcile(estimated, generated);
    }

    /// Returns the requests and tokens offered since the last call, including those refused.
    pub fn take_demand(&self) -> (u64, u64) {
        let requests = self.offered_requests.swap(0, Relaxed);
        let tokens = self.offered_tokens.swap(0, Relaxed);
        (requests, tokens)
    }
}
