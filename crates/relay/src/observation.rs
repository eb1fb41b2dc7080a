//! Observations of the store's content.

use tokio::time::Instant;

/// The newest version that the store was observed to hold at some moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Observation {
    /// The version.
    pub version: u64,
    /// A revision of the store at which it was the newest version.
    pub revision: u64,
    /// A lower bound of the time at which the store had that revision.
    pub at: Instant,
}
