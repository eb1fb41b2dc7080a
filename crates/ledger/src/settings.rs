//! The settings of a shard.

use std::time::Duration;

/// The settings of a shard.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// How long a key is remembered. Must be longer than any caller retries: a retry after the key
    /// was forgotten runs the call again.
    pub retention: Duration,
    /// The minimum time between two writes, which limits the write rate.
    pub min_write_interval: Duration,
    /// How long a result may wait for an intent to be written in the same batch.
    pub linger: Duration,
    /// What is added to the time that a call may take before it is given up as unknown.
    pub timeout_margin: Duration,
    /// The first delay after a failure of the store; it doubles up to `max_store_retry_delay`.
    pub min_store_retry_delay: Duration,
    /// The maximum delay after a failure of the store.
    pub max_store_retry_delay: Duration,
    /// The first delay between reads of the log for the result of another writer's call; it doubles
    /// up to `max_poll_delay`.
    pub min_poll_delay: Duration,
    /// The maximum delay between such reads.
    pub max_poll_delay: Duration,
    /// How many calls may wait for their intents to be written; further calls are refused.
    pub max_queued_calls: usize,
    /// How many keys are remembered; calls with further keys are refused. A key takes about 300
    /// bytes of memory in addition to its result.
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
