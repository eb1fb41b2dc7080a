//! What an instance has, so that a peer can send the rest.

use serde::{Deserialize, Serialize};

use crate::Origin;

/// What an instance has of one origin.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DigestLine {
    /// The origin.
    pub origin: Origin,
    /// The sequence numbers reached, by class of the scope.
    pub reached: [u64; 3],
    /// Whether the origin is already held to be dead.
    pub claimed: bool,
}

/// What an instance has of some origins.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Digest {
    /// All origins from `first` to `last`; the peer adds those that the lines leave out.
    Fleet {
        /// The first origin.
        first: Origin,
        /// The last origin.
        last: Origin,
        /// What the sender has of them, in order of origin.
        lines: Vec<DigestLine>,
    },
    /// The origins of a group and no others.
    Group {
        /// What the sender has of them.
        lines: Vec<DigestLine>,
    },
}
