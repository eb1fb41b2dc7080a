//! Limits on the number of retries and the delays between them.

use std::{
    sync::atomic::{AtomicU32, Ordering::Relaxed},
    time::Duration,
};

use rand::Rng;

/// The balance of a budget that one retry costs.
const UNITS_PER_RETRY: u32 = 1_000;

/// A budget for retries that successes replenish.
///
/// Without it, slow targets would make calls time out, and the load of their retries would keep the
/// targets slow. With it, retries can add no more than a fixed share of the successes.
///
/// # Examples
///
/// ```
/// use celerypond_route::RetryBudget;
///
/// let budget = RetryBudget::new(100, 1, 10); // 10% of successes, initially 1 retry, at most 10.
/// assert!(budget.try_take());
/// assert!(!budget.try_take());
/// (0..10).for_each(|_| budget.record_success());
/// assert!(budget.try_take());
/// ```
#[derive(Debug)]
pub struct RetryBudget {
    balance: AtomicU32,
    /// What a success adds, in thousandths of a retry.
    per_success: u32,
    cap: u32,
}

impl RetryBudget {
    /// Creates a budget of `initial` retries that gains `per_mille` thousandths of a retry with
    /// each success, up to `max` retries.
    pub const fn new(per_mille: u32, initial: u32, max: u32) -> Self {
        Self {
            balance: AtomicU32::new(initial * UNITS_PER_RETRY),
            per_success: per_mille,
            cap: max * UNITS_PER_RETRY,
        }
    }

    /// Creates the budget for all calls of an instance: 10% of successes.
    pub const fn per_instance() -> Self {
        Self::new(100, 10, 100)
    }

    /// Creates the budget for calls that failed at one target: 10% of its successes, and initially
    /// enough for the calls in flight when a target crashes.
    pub const fn per_target() -> Self {
        Self::new(100, 16, 32)
    }

    /// Adds the share of a retry that a success earns.
    pub fn record_success(&self) {
        let add = |balance: u32| Some(balance.saturating_add(self.per_success).min(self.cap));
        // The closure always returns a value.
        let _ = self.balance.fetch_update(Relaxed, Relaxed, add);
    }

    /// Takes a retry, or returns `false` if the budget is exhausted.
    pub fn try_take(&self) -> bool {
        let take = |balance: u32| balance.checked_sub(UNITS_PER_RETRY);
        self.balance.fetch_update(Relaxed, Relaxed, take).is_ok()
    }

    /// Returns a retry that was taken but not used.
    fn refund(&self) {
        let add = |balance: u32| Some(balance.saturating_add(UNITS_PER_RETRY).min(self.cap));
        let _ = self.balance.fetch_update(Relaxed, Relaxed, add);
    }

    /// Takes a retry from both budgets, or from neither.
    pub fn try_take_both(&self, other: &Self) -> bool {
        if !self.try_take() {
            return false;
        }
        if other.try_take() {
            return true;
        }
        self.refund();
        false
    }
}

/// Exponential backoff with decorrelated jitter.
#[derive(Clone, Copy, Debug)]
pub struct Backoff {
    /// The minimum delay.
    pub base: Duration,
    /// The maximum delay.
    pub cap: Duration,
}

impl Default for Backoff {
    fn default() -> Self {
        Self {
            base: Duration::from_millis(20),
            cap: Duration::from_secs(2),
        }
    }
}

impl Backoff {
    /// Returns the delay that follows a delay of `last`, or the first delay if `last` is zero.
    ///
    /// Each delay is drawn between the minimum and three times the last, so that calls that failed
    /// at the same time are not retried at the same time. `floor`, from the target's `Retry-After`,
    /// is added in full and not subject to the maximum.
    pub fn next_delay(&self, last: Duration, floor: Duration, rng: &mut impl Rng) -> Duration {
        let high = (last.max(self.base) * 3).min(self.cap).max(self.base);
        let drawn = rng.random_range(self.base.as_micros()..=high.as_micros());
        floor + Duration::from_micros(drawn as u64)
    }
}
