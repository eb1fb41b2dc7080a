//! An estimate of the time until the first event of a stream.

use std::time::Duration;

use celerypond_types::TargetKey;
use tokio::time::Instant;

use crate::{TargetQuery, Targets};

/// The minimum time after which a rejected caller may retry.
const MIN_BACKOFF: Duration = Duration::from_millis(500);

/// The maximum multiple of the usual time for which a caller is put off. If an engine was taken for
/// slower than it is, a prompt would be rejected that is read in time.
const MAX_SLOWDOWN: f64 = 2.0;

/// An estimate of the time until the first event of a stream, from the prompts that are known to be
/// queued before its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueueEstimate {
    /// The time for reading the prompts before it.
    pub wait: Duration,
    /// The time for reading its own prompt.
    pub read: Duration,
}

impl QueueEstimate {
    /// Returns the time after which the caller may retry if the first event would come later than
    /// `aim`; `None` if the stream is to be queued.
    ///
    /// For some seconds more prompts may arrive than engines can read. If all were queued, each
    /// would be late, and so would those that arrive after the overload until the queue is empty.
    /// The prompts that are queued now will have been read after the returned time.
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
    /// Estimates the time until the first event of a stream with this number of prompt tokens, if
    /// it were sent to an engine now; `None` if it is not known how fast engines read.
    ///
    /// Each prompt before it counts in full until it was read.
    pub fn estimate_queue(
        &self,
        key: TargetKey,
        query: &TargetQuery<'_>,
        prompt: u64,
        now: Instant,
    ) -> Option<QueueEstimate> {
        let usual_rate = self.history.queue_rate(query.service)?;
        let times = self.engine_times(query, now).zip(self.get(key));
        let rate = times.map_or(usual_rate, |(times, engine)| {
            usual_rate / times.reading_factor(engine).min(MAX_SLOWDOWN)
        });
        let time = |tokens: f64| Duration::from_secs_f64(tokens / rate / 1_000.0);
        let target = self.get(key).map(|target| target.name_hash);
        let holder = query.affinity.and_then(|part| self.holder(part, now));
        let is_read = holder.is_some() && holder == target;
        // The tokens that are being read include those of the maximum response.
        let prompt_share = prompt as f64 / query.tokens.max(1) as f64;
        let before = self.reading(key, now) as f64 * prompt_share;
        Some(QueueEstimate {
            wait: time(before),
            read: time(if is_read { 0.0 } else { prompt as f64 }),
        })
    }
}
