//! The settings of a shard.

use std::time::Duration;

/// The settings of a shard.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// How long a key is remembered. A key that is forgotten while its caller still retries lets
    /// the call run again, so this must be longer than any caller retries.
    pub retention: Duration,
    /// The least time between two writes, by which the write rate is kept.
    pub pace: Duration,
    /// How long a result may wait for an intent to ride with.
    pub linger: Duration,
    /// What is added to the time a call may take before others give it up.
    pub margin: Duration,
    /// The first wait after the store failed; it doubles up to `retry_most`.
    pub retry: Duration,
    /// The longest wait after the store failed.
    pub retry_most: Duration,
    /// The first wait before the log is read again for the result of another writer's call.
    pub poll: Duration,
    /// The longest such wait.
    pub poll_most: Duration,
    /// How many calls may wait for their intent.
    pub queue: usize,
    /// How many keys are remembered; more are refused. A key takes about 300 bytes and its result.
    pub keys: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            retention: Duration::from_secs(15 * 60),
            pace: Duration::from_millis(20),
            linger: Duration::from_millis(200),
            margin: Duration::from_secs(1),
            retry: Duration::from_millis(200),
            retry_most: Duration::from_secs(5),
            poll: Duration::from_millis(20),
            poll_most: Duration::from_millis(500),
            queue: 4096,
            keys: 25_000,
        }
    }
}
