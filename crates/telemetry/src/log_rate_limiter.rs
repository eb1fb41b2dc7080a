//! The bound on the volume of log lines.

use std::{
    sync::{Mutex, PoisonError},
    time::{Duration, Instant},
};

use log::Level;

/// The time over which lines are counted.
const WINDOW: Duration = Duration::from_secs(1);

/// The most lines a second, by how much they matter.
///
/// The load it answers: a burst of requests, or a failure that each request meets, writes lines
/// faster than anybody reads them, and the time for them is taken from requests. Failures have a
/// bound of their own, so that the lines of what went well never push them out.
///
/// # Examples
///
/// ```
/// use std::time::Instant;
///
/// use celerypond_telemetry::LogRateLimiter;
/// use log::Level;
///
/// let limiter = LogRateLimiter::new(1, 1);
/// let now = Instant::now();
/// assert!(limiter.allow(Level::Info, now));
/// assert!(!limiter.allow(Level::Info, now));
/// assert!(limiter.allow(Level::Warn, now));
/// ```
#[derive(Debug)]
pub struct LogRateLimiter {
    routine: Mutex<Window>,
    failures: Mutex<Window>,
}

#[derive(Debug)]
struct Window {
    most: u32,
    begun: Option<Instant>,
    count: u32,
    dropped: u64,
}

impl LogRateLimiter {
    /// Makes a bound of so many routine lines and so many lines of failures a second.
    pub const fn new(routine: u32, failures: u32) -> Self {
        Self {
            routine: Mutex::new(Window::new(routine)),
            failures: Mutex::new(Window::new(failures)),
        }
    }

    /// Returns whether a line of this level may be written now.
    pub fn allow(&self, level: Level, now: Instant) -> bool {
        let window = match level {
            Level::Error | Level::Warn => &self.failures,
            Level::Info | Level::Debug | Level::Trace => &self.routine,
        };
        window
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .take(now)
    }

    /// Returns how many lines were left out since the last call.
    pub fn take_dropped(&self) -> u64 {
        let take = |window: &Mutex<Window>| {
            let mut window = window.lock().unwrap_or_else(PoisonError::into_inner);
            std::mem::take(&mut window.dropped)
        };
        take(&self.routine) + take(&self.failures)
    }
}

impl Window {
    const fn new(most: u32) -> Self {
        Self {
            most,
            begun: None,
            count: 0,
            dropped: 0,
        }
    }

    fn take(&mut self, now: Instant) -> bool {
        let is_over = self.begun.is_none_or(|begun| now - begun >= WINDOW);
        if is_over {
            self.begun = Some(now);
            self.count = 0;
        }
        self.count += 1;
        let may_write = self.count <= self.most;
        self.dropped += u64::from(!may_write);
        may_write
    }
}
