//! How many loads go on at once.

use std::time::Duration;

use tokio::time::Instant;

/// The pause after a refusal that names none.
const PAUSE: Duration = Duration::from_secs(1);

/// How many loads go on at once, found out from what the weight store refuses.
///
/// Each load that completes widens the window a little, and each refusal halves it and waits as long
/// as the store says. Without it all engines of a group ask at once after a roll; most are refused,
/// and the store is busy with refusing.
///
/// # Examples
///
/// ```
/// use celerypond_orders::Pace;
/// use tokio::time::Instant;
///
/// let now = Instant::now();
/// let mut pace = Pace::new(2.0);
/// assert!(pace.begin(now) && pace.begin(now) && !pace.begin(now));
/// pace.done();
/// assert!(pace.begin(now));
/// ```
#[derive(Clone, Debug)]
pub struct Pace {
    window: f64,
    running: usize,
    paused: Option<Instant>,
    halved: Option<Instant>,
}

impl Pace {
    /// Makes a pace that begins with a window of `loads`.
    pub const fn new(loads: f64) -> Self {
        Self {
            window: loads,
            running: 0,
            paused: None,
            halved: None,
        }
    }

    /// Returns whether one more load may begin, and counts it if so.
    pub fn begin(&mut self, now: Instant) -> bool {
        let is_paused = self.paused.is_some_and(|until| now < until);
        if is_paused || self.running as f64 + 1.0 > self.window {
            return false;
        }
        self.running += 1;
        true
    }

    /// Takes in that a load completed.
    pub fn done(&mut self) {
        self.running = self.running.saturating_sub(1);
        self.window += 1.0 / self.window;
    }

    /// Takes in that a load came to nothing for another reason than a refusal.
    pub fn lost(&mut self) {
        self.running = self.running.saturating_sub(1);
    }

    /// Takes in that the weight store refused a load.
    ///
    /// Refusals that come in while the window is paused belong to the same overload and do not
    /// halve it again.
    pub fn refused(&mut self, retry_after: Option<Duration>, now: Instant) {
        self.running = self.running.saturating_sub(1);
        let until = now + retry_after.unwrap_or(PAUSE);
        if self.halved.is_none_or(|until| now >= until) {
            self.window = (self.window / 2.0).max(1.0);
            self.halved = Some(until);
        }
        self.paused = self.paused.max(Some(until));
    }
}
