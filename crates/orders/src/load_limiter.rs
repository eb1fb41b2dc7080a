//! Limit on concurrent loads.

use std::time::Duration;

use tokio::time::Instant;

/// The pause after a refusal without a `retry_after`.
const DEFAULT_PAUSE: Duration = Duration::from_secs(1);

/// A limit on concurrent loads that adapts to the refusals of the weight store.
///
/// The window follows additive increase and multiplicative decrease: each completed load widens it
/// by one divided by its size; a refusal halves it and pauses new loads for as long as the store
/// asks. Without a limit, all engines of a group load at once after a rollout: most loads are
/// refused, and the store spends its time on refusals.
///
/// # Examples
///
/// ```
/// use celerypond_orders::LoadLimiter;
/// use tokio::time::Instant;
///
/// let now = Instant::now();
/// let mut limiter = LoadLimiter::new(2.0);
/// assert!(limiter.try_start(now) && limiter.try_start(now) && !limiter.try_start(now));
/// limiter.on_completed();
/// assert!(limiter.try_start(now));
/// ```
#[derive(Clone, Debug)]
pub struct LoadLimiter {
    window: f64,
    running: usize,
    /// When loads may start again after a refusal.
    paused_until: Option<Instant>,
    /// When a refusal may halve the window again.
    next_halving: Option<Instant>,
}

impl LoadLimiter {
    /// Creates a limiter that allows `initial_window` concurrent loads at first.
    pub const fn new(initial_window: f64) -> Self {
        Self {
            window: initial_window,
            running: 0,
            paused_until: None,
            next_halving: None,
        }
    }

    /// Returns whether another load may start, and counts it as running if so.
    pub fn try_start(&mut self, now: Instant) -> bool {
        let is_paused = self.paused_until.is_some_and(|until| now < until);
        if is_paused || self.running as f64 + 1.0 > self.window {
            return false;
        }
        self.running += 1;
        true
    }

    /// Records that a load completed.
    pub fn on_completed(&mut self) {
        self.running = self.running.saturating_sub(1);
        self.window += 1.0 / self.window;
    }

    /// Records that a load ended without completing, for another reason than a refusal.
    pub fn on_failed(&mut self) {
        self.running = self.running.saturating_sub(1);
    }

    /// Records that the weight store refused a load.
    ///
    /// Further refusals during the pause that follows a halving are due to the same overload and do
    /// not halve the window again.
    pub fn on_refused(&mut self, retry_after: Option<Duration>, now: Instant) {
        self.running = self.running.saturating_sub(1);
        let until = now + retry_after.unwrap_or(DEFAULT_PAUSE);
        if self.next_halving.is_none_or(|until| now >= until) {
            self.window = (self.window / 2.0).max(1.0);
            self.next_halving = Some(until);
        }
        self.paused_until = self.paused_until.max(Some(until));
    }
}
