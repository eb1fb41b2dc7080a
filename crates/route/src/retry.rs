//! Limits on retries, and the time between them.

use std::{
    sync::atomic::{AtomicU32, Ordering::Relaxed},
    time::Duration,
};

use rand::Rng;

/// The unit of a budget: one retry.
const RETRY: u32 = 1_000;

/// A store of retries that successes fill.
///
/// The failure: targets slow down, calls time out, each is tried again, and the load of the tries
/// keeps the targets slow. With a budget the tries can add no more than a share of the successes.
///
/// # Examples
///
/// ```
/// use celerypond_route::RetryBudget;
///
/// let budget = RetryBudget::new(100, 1, 10); // 10% of successes, 1 at first, at most 10.
/// assert!(budget.try_take());
/// assert!(!budget.try_take());
/// (0..10).for_each(|_| budget.record_success());
/// assert!(budget.try_take());
/// ```
#[derive(Debug)]
pub struct RetryBudget {
    level: AtomicU32,
    /// What a success adds, in thousandths of a retry.
    gain: u32,
    cap: u32,
}

impl RetryBudget {
    /// Makes a budget to which a success adds `per_mille` thousandths of a retry, which has
    /// `first` retries now and `most` at most.
    pub const fn new(per_mille: u32, first: u32, most: u32) -> Self {
        Self {
            level: AtomicU32::new(first * RETRY),
            gain: per_mille,
            cap: most * RETRY,
        }
    }

    /// Makes the budget of all calls of an instance: 10% of successes.
    pub const fn per_instance() -> Self {
        Self::new(100, 10, 100)
    }

    /// Makes the budget of calls that failed at one target: 10% of its successes, and enough for
    /// what was open at it when it died.
    pub const fn per_target() -> Self {
        Self::new(100, 16, 32)
    }

    /// Counts a success.
    pub fn record_success(&self) {
        let add = |level: u32| Some(level.saturating_add(self.gain).min(self.cap));
        // The closure always returns a value.
        let _ = self.level.fetch_update(Relaxed, Relaxed, add);
    }

    /// Takes a retry, or returns `false` when the budget is used up.
    pub fn try_take(&self) -> bool {
        let take = |level: u32| level.checked_sub(RETRY);
        self.level.fetch_update(Relaxed, Relaxed, take).is_ok()
    }

    /// Gives back a retry that was taken and not used.
    fn give_back(&self) {
        let add = |level: u32| Some(level.saturating_add(RETRY).min(self.cap));
        let _ = self.level.fetch_update(Relaxed, Relaxed, add);
    }

    /// Takes a retry from both budgets or from none.
    pub fn try_take_both(&self, other: &Self) -> bool {
        if !self.try_take() {
            return false;
        }
        if other.try_take() {
            return true;
        }
        self.give_back();
        false
    }
}

/// The time between tries, with decorrelated jitter.
#[derive(Clone, Copy, Debug)]
pub struct Backoff {
    /// The shortest wait.
    pub base: Duration,
    /// The longest wait.
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
    /// Returns the wait after one of `last`, or after the first failure when `last` is zero.
    ///
    /// Each wait is drawn between the base and three times the last, so calls that failed together
    /// do not come back together. A `floor`, from the target's `Retry-After`, is added to and never
    /// cut short.
    pub fn next_delay(&self, last: Duration, floor: Duration, rng: &mut impl Rng) -> Duration {
        let high = (last.max(self.base) * 3).min(self.cap).max(self.base);
        let drawn = rng.random_range(self.base.as_micros()..=high.as_micros());
        floor + Duration::from_micros(drawn as u64)
    }
}
