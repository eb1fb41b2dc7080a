//! When a stream that is sent to an engine now would have its first event.

use std::time::Duration;

use celerypond_types::TargetKey;
use tokio::time::Instant;

use crate::{TargetQuery, Targets};

/// The shortest time after which a caller that was turned away may come back.
const MIN_BACKOFF: Duration = Duration::from_millis(500);

/// The time until the first event of a stream, by the prompts that are known to be read before its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueueEstimate {
    /// The time that the prompts before it take.
    pub wait: Duration,
    /// The time that its own prompt takes.
    pub read: Duration,
}

impl QueueEstimate {
    /// Returns after which time its caller may come back if the first event would come later than `aim`; nothing where
    /// the stream is to be queued.
    ///
    /// The load it answers: for some seconds more prompts arrive than engines can read. If all are queued, each is late,
    /// and so are those that come after the load has ended, until the queue is read. By the time that is returned here what
    /// is queued now has been read.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use celerypond_relay::QueueEstimate;
    ///
    /// let secs = Duration::from_secs;
    /// let queueing = QueueEstimate { wait: secs(4), read: secs(1) };
    /// assert_eq!(queueing.backoff(secs(5)), None);
    /// assert_eq!(queueing.backoff(secs(4)), Some(secs(4)));
    /// // Nothing is read before it, so that waiting would not help.
    /// assert_eq!(QueueEstimate { wait: secs(0), read: secs(8) }.backoff(secs(4)), None);
    /// ```
    pub fn backoff(&self, aim: Duration) -> Option<Duration> {
        let is_late = self.wait + self.read > aim && self.read <= aim;
        is_late.then(|| self.wait.max(MIN_BACKOFF))
    }
}

impl Targets {
    /// Returns when a stream with so many prompt tokens would have its first event if it were sent to an engine now; nothing
    /// where it is not known how fast engines read.
    ///
    /// Each prompt before it counts whole until it was read.
    pub fn estimate_queue(
        &self,
        key: TargetKey,
        want: &TargetQuery<'_>,
        prompt: u64,
        now: Instant,
    ) -> Option<QueueEstimate> {
        let rate = self.history.queue_rate(want.service)?;
        let time = |tokens: f64| Duration::from_secs_f64(tokens / rate / 1_000.0);
        let target = self.get(key).map(|target| target.name_hash);
        let holder = want.affinity.and_then(|part| self.holder(part, now));
        let is_read = holder.is_some() && holder == target;
        // What is read counts with its answer at full length.
        let prompt_share = prompt as f64 / want.tokens.max(1) as f64;
        let before = self.reading(key, now) as f64 * prompt_share;
        Some(QueueEstimate {
            wait: time(before),
            read: time(if is_read { 0.0 } else { prompt as f64 }),
        })
    }
}
