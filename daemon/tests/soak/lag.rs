//! How late tasks of the test run, and how long instances wait for a processor.

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use tokio::time::sleep;

use crate::fleet::Process;

/// Interval between two measurements in a task.
const TIMER_INTERVAL: Duration = Duration::from_millis(10);
/// Interval between two measurements of all instances.
pub(crate) const SAMPLE_INTERVAL: Duration = Duration::from_millis(250);

/// The minimum lag that is recorded with its time.
const LONG_LAG: Duration = Duration::from_millis(250);

/// How late timers of a runtime fired.
#[derive(Clone, Default)]
pub(crate) struct TimerLag(Arc<Mutex<Lags>>);

#[derive(Default)]
struct Lags {
    max: Duration,
    /// When timers fired very late, and how late, both in milliseconds; the time is as in the lines of instances.
    long: Vec<(u128, u128)>,
}

impl TimerLag {
    /// Measures until the runtime ends.
    pub(crate) async fn measure(self) {
        loop {
            let before = Instant::now();
            sleep(TIMER_INTERVAL).await;
            let late = before.elapsed().saturating_sub(TIMER_INTERVAL);
            let mut lags = self.lock();
            lags.max = lags.max.max(late);
            if late >= LONG_LAG {
                let now = SystemTime::now().duration_since(UNIX_EPOCH);
                let unix_ms = now.unwrap_or_default().as_millis();
                lags.long.push((unix_ms, late.as_millis()));
            }
        }
    }

    /// Returns the longest time by which a timer fired late.
    pub(crate) fn max(&self) -> Duration {
        self.lock().max
    }

    /// Returns when timers fired very late, in Unix time, and how late, both in milliseconds.
    pub(crate) fn long(&self) -> Vec<(u128, u128)> {
        self.lock().long.clone()
    }

    fn lock(&self) -> MutexGuard<'_, Lags> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The processor time of instances, and how long they waited for it.
#[derive(Default)]
pub(crate) struct ProcessorTimes {
    previous: Vec<(u32, ProcessorTime)>,
    /// The most that any instance waited for a processor within [`SAMPLE_INTERVAL`].
    pub(crate) max_wait: Duration,
    /// The most that any instance ran within [`SAMPLE_INTERVAL`].
    pub(crate) max_run: Duration,
    /// How long all instances together ran and waited.
    pub(crate) total: ProcessorTime,
}

/// The processor time of a process's main thread, on which an instance with one core does its work.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ProcessorTime {
    run: Duration,
    wait: Duration,
}

impl ProcessorTimes {
    /// Takes a sample of all instances.
    pub(crate) fn sample(&mut self, processes: &[Process]) {
        let previous = std::mem::take(&mut self.previous);
        for process in processes {
            let pid = process.pid();
            let Some(time) = ProcessorTime::read(pid) else {
                continue;
            };
            self.previous.push((pid, time));
            let found = previous.iter().find(|(earlier, _)| *earlier == pid);
            let Some((_, before)) = found else {
                continue;
            };
            let run = time.run.saturating_sub(before.run);
            let wait = time.wait.saturating_sub(before.wait);
            self.max_run = self.max_run.max(run);
            self.max_wait = self.max_wait.max(wait);
            self.total.run += run;
            self.total.wait += wait;
        }
    }
}

impl ProcessorTime {
    fn read(pid: u32) -> Option<Self> {
        let text = std::fs::read_to_string(format!("/proc/{pid}/schedstat")).ok()?;
        let mut fields = text.split_whitespace().map(str::parse);
        let mut next = || fields.next()?.ok().map(Duration::from_nanos);
        Some(Self {
            run: next()?,
            wait: next()?,
        })
    }
}
