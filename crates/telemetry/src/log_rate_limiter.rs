//! A rate limiter for log lines.

use std::{
    sync::{Mutex, PoisonError},
    time::{Duration, Instant},
};

use log::Level;

/// The length of the time window in which lines are counted.
const WINDOW: Duration = Duration::from_secs(1);

/// Limits the number of log lines per second.
///
/// Without a limit, a burst of requests, or a failure that affects every request, produces more
/// lines than anybody can read, and writing them takes time away from requests. Errors and warnings
/// have a limit of their own, so that routine lines cannot displace them.
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
    max_lines: u32,
    start: Option<Instant>,
    count: u32,
    dropped: u64,
}

impl LogRateLimiter {
    /// Creates a limiter that allows `routine` lines per second at the levels up to info, and
    /// `failures` lines per second at the levels warn and error.
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
            .allow(now)
    }

    /// Returns the number of lines dropped since the last call.
    pub fn take_dropped(&self) -> u64 {
        let take = |window: &Mutex<Window>| {
            let mut window = window.lock().unwrap_or_else(PoisonError::into_inner);
            std::mem::take(&mut window.dropped)
        };
        take(&self.routine) + take(&self.failures)
    }
}

impl Window {
    const fn new(max_lines: u32) -> Self {
        Self {
            max_lines,
            start: None,
            count: 0,
            dropped: 0,
        }
    }

    fn allow(&mut self, now: Instant) -> bool {
        let has_ended = self.start.is_none_or(|start| now - start >= WINDOW);
        if has_ended {
            self.start = Some(now);
            self.count = 0;
        }
        self.count += 1;
        let is_allowed = self.count <= self.max_lines;
        self.dropped += u64::from(!is_allowed);
        is_allowed
    }
}
