//! An account's use of one instance: what is asked for, and what may be admitted.

use std::{
    sync::atomic::{AtomicU64, Ordering::Relaxed},
    time::Duration,
};

use celerypond_bundle::Account;

use crate::{LimitShare, TokenBucket};

/// An account's use of one instance. Share it between tasks; all of it is atomic.
///
/// # Examples
///
/// ```
/// use celerypond_route::{AccountLimiter, LimitShare};
///
/// let limiter = AccountLimiter::new(0);
/// limiter.set_limit(10, 1_000, LimitShare { requests: 0.5, tokens: 0.5 }, 0);
/// // Five requests a second, of which a second's worth was saved.
/// assert_eq!((0..9).filter(|_| limiter.admit(10, 1_000).is_ok()).count(), 5);
/// // Demand counts what was refused as well.
/// assert_eq!(limiter.take_demand(), (9, 90));
/// // A call to a plain service generates nothing, and is not held up by a debt of tokens.
/// assert!(limiter.admit(5_000, 2_000).is_ok());
/// assert!(limiter.admit(10, 2_000).is_err());
/// assert!(limiter.admit(0, 2_000).is_ok());
/// ```
#[derive(Debug)]
pub struct AccountLimiter {
    requests: TokenBucket,
    tokens: TokenBucket,
    asked: AtomicU64,
    asked_tokens: AtomicU64,
}

impl AccountLimiter {
    /// Makes the meter of an account that may use nothing yet.
    pub const fn new(now_ms: u64) -> Self {
        Self {
            requests: TokenBucket::new(now_ms),
            tokens: TokenBucket::new(now_ms),
            asked: AtomicU64::new(0),
            asked_tokens: AtomicU64::new(0),
        }
    }

    /// Sets what this instance may admit: a part of the account's limits over the fleet.
    pub fn set_limit(&self, requests_per_s: u32, tokens_per_s: u32, part: LimitShare, now_ms: u64) {
        let requests = f64::from(requests_per_s) * part.requests;
        let tokens = f64::from(tokens_per_s) * part.tokens;
        self.requests.set_rate(requests, now_ms);
        self.tokens.set_rate(tokens, now_ms);
    }

    /// Sets the limit to a part of what the bundle declares.
    pub fn set_account_limit(&self, account: &Account, part: LimitShare, now_ms: u64) {
        self.set_limit(account.requests_per_s, account.tokens_per_s, part, now_ms);
    }

    /// Admits a request that will generate about `tokens`.
    ///
    /// # Errors
    ///
    /// When the account is over its limit: the time after which it is likely not to be.
    pub fn admit(&self, tokens: u64, now_ms: u64) -> Result<(), Duration> {
        self.asked.fetch_add(1, Relaxed);
        self.asked_tokens.fetch_add(tokens, Relaxed);
        self.requests.try_take(1, now_ms)?;
        // A debt of tokens must not refuse a call that generates none.
        if tokens == 0 {
            return Ok(());
        }
        let refused = self.tokens.try_take(tokens, now_ms);
        if refused.is_err() {
            self.requests.reconcile(1, 0);
        }
        refused
    }

    /// Corrects the tokens of a request once it has ended.
    pub fn reconcile(&self, estimate: u64, generated: u64) {
        self.tokens.reconcile(estimate, generated);
    }

    /// Returns the requests and tokens that were asked for since the last call.
    pub fn take_demand(&self) -> (u64, u64) {
        let requests = self.asked.swap(0, Relaxed);
        let tokens = self.asked_tokens.swap(0, Relaxed);
        (requests, tokens)
    }
}
