//! How many loads go on at once.

use std::time::Duration;

use tokio::time::Instant;

/// The pause after a refusal that names none.
const DEFAULT_PAUSE: Duration = Duration::from_secs(1);

/// How many loads go on at once, found out from what the weight store refuses.
///
/// Each load that completes widens the window a little, and each refusal halves it and waits as long
/// as the store says. Without it all engines of a group ask at once after a roll; most are refused,
/// and the store is busy with refusing.
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
    paused_until: Option<Instant>,
    next_halving: Option<Instant>,
}

impl LoadLimiter {
    /// Makes a pace that begins with a window of `initial_window`.
    pub const fn new(initial_window: f64) -> Self {
        Self {
            window: initial_window,
            running: 0,
            paused_until: None,
            next_halving: None,
        }
    }

    /// Returns whether one more load may begin, and counts it if so.
    pub fn try_start(&mut self, now: Instant) -> bool {
        let is_paused = self.paused_until.is_some_and(|until| now < until);
        if is_paused || self.running as f64 + 1.0 > self.window {
            return false;
        }
        self.running += 1;
        true
    }

    /// Takes in that a load completed.
    pub fn on_completed(&mut self) {
        self.running = self.running.saturating_sub(1);
        self.window += 1.0 / self.window;
    }

    /// Takes in that a load came to nothing for another reason than a refusal.
    pub fn on_failed(&mut self) {
        self.running = self.running.saturating_sub(1);
    }

    /// Takes in that the weight store refused a load.
    ///
    /// Refusals that come in while the window is paused_until belong to the same overload and do not
    /// halve it again.
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
