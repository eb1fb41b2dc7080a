//! The settings of a shard.

use std::time::Duration;

/// The settings of a shard.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// How long a key is remembered. A key that is forgotten while its caller still retries lets
    /// the call run again, so this must be longer than any caller retries.
    pub retention: Duration,
    /// The least time between two writes, by which the write rate is kept.
    pub min_write_interval: Duration,
    /// How long a result may wait for an intent to ride with.
    pub linger: Duration,
    /// What is added to the time a call may take before others give it up.
    pub timeout_margin: Duration,
    /// The first wait after the store failed; it doubles up to `max_store_retry_delay`.
    pub min_store_retry_delay: Duration,
    /// The longest wait after the store failed.
    pub max_store_retry_delay: Duration,
    /// The first wait before the log is read again for the result of another writer's call.
    pub min_poll_delay: Duration,
    /// The longest such wait.
    pub max_poll_delay: Duration,
    /// How many calls may wait for their intent.
    pub max_queued_calls: usize,
    /// How many keys are remembered; more are refused. A key takes about 300 bytes and its result.
    pub max_keys: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            retention: Duration::from_secs(15 * 60),
            min_write_interval: Duration::from_millis(20),
            linger: Duration::from_millis(200),
            timeout_margin: Duration::from_secs(1),
            min_store_retry_delay: Duration::from_millis(200),
            max_store_retry_delay: Duration::from_secs(5),
            min_poll_delay: Duration::from_millis(20),
            max_poll_delay: Duration::from_millis(500),
            max_queued_calls: 4096,
            max_keys: 25_000,
        }
    }
}
