//! Bounds of gossip.

use std::time::Duration;

/// Bounds of gossip; the defaults are sized for 900 instances.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// The time between two rounds.
    pub round: Duration,
    /// Peers contacted in each round, over the whole fleet.
    pub fan_out: usize,
    /// Peers contacted in each round within the group.
    pub group_fan: usize,
    /// Peers to which an urgent entry is pushed at once.
    pub urgent_fan: usize,
    /// Times that a new entry is pushed without being asked for.
    pub pushes: u8,
    /// The largest message, in bytes.
    pub message_bytes: usize,
    /// What may be sent in a second, in bytes. A peer receives as much on average as it sends.
    pub second_bytes: u64,
    /// Origins that one digest covers.
    pub window: usize,
    /// Rounds between two tries to reach a peer that is held to be dead.
    pub revive_rounds: u64,
    /// The time after which an unlisted, silent run is forgotten.
    pub forget: Duration,
    /// Addresses that are tried while no peer is known.
    pub seeds: Vec<smol_str::SmolStr>,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            round: Duration::from_secs(1),
            fan_out: 2,
            group_fan: 2,
            urgent_fan: 3,
            pushes: 3,
            message_bytes: 2_000,
            second_bytes: 5_000,
            window: 32,
            revive_rounds: 5,
            forget: Duration::from_secs(600),
            seeds: Vec::new(),
        }
    }
}
