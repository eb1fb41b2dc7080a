//! Digests, from which a peer determines the changes that the sender lacks.

use serde::{Deserialize, Serialize};

use crate::Origin;

/// The changes of one origin that the sender of a digest has.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DigestLine {
    /// The origin.
    pub origin: Origin,
    /// The sequence numbers reached, by class, in the order of
    /// [`EntryClass::FLEET_WIDE`](crate::EntryClass::FLEET_WIDE) or
    /// [`EntryClass::GROUP_LOCAL`](crate::EntryClass::GROUP_LOCAL).
    pub reached: [u64; 3],
    /// Whether the sender already knows of a claim that the origin does not respond.
    pub claimed: bool,
}

/// The changes that the sender has, by origin.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Digest {
    /// All origins from `first` to `last`. An origin without a line is unknown to the sender, so the
    /// receiver sends all that it has of it.
    Fleet {
        /// The first origin.
        first: Origin,
        /// The last origin.
        last: Origin,
        /// One line for each origin that the sender knows, in order of origin.
        lines: Vec<DigestLine>,
    },
    /// The origins of a group. The receiver answers only for those listed.
    Group {
        /// One line for each origin of the group that the sender knows.
        lines: Vec<DigestLine>,
    },
}
