//! What the store was seen to hold at some moment.

use tokio::time::Instant;

/// The newest version of the configuration that the store had at some moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Observation {
    /// The version.
    pub version: u64,
    /// A revision of the store at which it was the newest version.
    pub revision: u64,
    /// A moment no later than that revision.
    pub at: Instant,
}
