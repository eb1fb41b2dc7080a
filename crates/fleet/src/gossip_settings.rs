//! Settings of the gossip protocol.

use std::time::Duration;

/// Intervals and limits of the gossip protocol. The defaults are sized for 900 instances.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GossipSettings {
    /// The time between two rounds after startup.
    pub round_interval: Duration,
    /// How long the startup phase lasts, in which rounds are shorter and more bytes may be sent. It
    /// begins when the instance starts, and again when it learns of the first other instance.
    pub startup_duration: Duration,
    /// The time between two rounds during startup.
    pub startup_round_interval: Duration,
    /// Maximum number of bytes sent per second during startup.
    pub startup_bytes_per_second: u64,
    /// Number of live peers of the whole fleet contacted in each round.
    pub fan_out: usize,
    /// Number of peers of the group contacted in each round.
    pub group_fan_out: usize,
    /// Number of peers to which an urgent update is pushed immediately.
    pub urgent_fan_out: usize,
    /// Number of times that an update is pushed.
    pub push_count: u8,
    /// Maximum size of a message, in bytes.
    pub max_message_bytes: usize,
    /// Maximum number of bytes sent per second after startup. On average, an instance receives as
    /// much as it sends.
    pub bytes_per_second: u64,
    /// Maximum number of origins with a line in one fleet digest.
    pub digest_origins: usize,
    /// Number of rounds between two attempts to reach an unresponsive peer or an unknown seed.
    pub unresponsive_retry_rounds: u64,
    /// The time after which an unlisted, unresponsive instance is removed.
    pub forget_after: Duration,
    /// Addresses through which this instance finds the fleet. Those that are not the address of a
    /// known member are tried from time to time.
    pub seeds: Vec<smol_str::SmolStr>,
}

impl Default for GossipSettings {
    fn default() -> Self {
        Self {
            round_interval: Duration::from_secs(1),
            // With the startup phase, 900 instances that start at once know 90 % of the others after
            // 2.1 s of virtual time; without it, after 34.6 s.
            startup_duration: Duration::from_secs(4),
            startup_round_interval: Duration::from_millis(100),
            // About 1/30 of a 10 Mbit/s link.
            startup_bytes_per_second: 40_000,
            fan_out: 2,
            group_fan_out: 2,
            urgent_fan_out: 3,
            push_count: 3,
            max_message_bytes: 2_000,
            bytes_per_second: 5_000,
            digest_origins: 32,
            unresponsive_retry_rounds: 5,
            forget_after: Duration::from_secs(600),
            seeds: Vec::new(),
        }
    }
}
