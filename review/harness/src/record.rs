//! The record of what was sent, answered and run.

use std::{
    fs,
    path::Path,
    sync::{Mutex, PoisonError},
    thread,
    time::{Duration, Instant},
};

/// Lines with the time since the start of the case.
pub struct Record {
    start: Instant,
    lines: Mutex<Vec<(Duration, String)>>,
}

impl Record {
    pub fn new() -> Self {
        Self {
            start: Instant::now(),
            lines: Mutex::default(),
        }
    }

    /// The time since the start of the case.
    pub fn now(&self) -> Duration {
        self.start.elapsed()
    }

    /// Sleeps until this time after the start of the case.
    pub fn sleep_until(&self, at: Duration) {
        thread::sleep(at.saturating_sub(self.now()));
    }

    pub fn add(&self, line: impl Into<String>) {
        let at = self.now();
        self.lines
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .push((at, line.into()));
    }

    /// Adds a line that is also printed.
    pub fn say(&self, line: impl Into<String>) {
        let line = line.into();
        println!("{:8.3} s  {line}", self.now().as_secs_f64());
        self.add(line);
    }

    pub fn write(&self, path: &Path) {
        let mut lines = self
            .lines
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone();
        lines.sort_by_key(|line| line.0);
        let text: String = lines
            .iter()
            .map(|(at, line)| format!("{:8.3} s  {line}\n", at.as_secs_f64()))
            .collect();
        if let Err(error) = fs::write(path, text) {
            eprintln!("cannot write the record: {error}");
        }
    }
}
