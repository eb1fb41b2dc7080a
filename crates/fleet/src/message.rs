//! What instances send each other.

use bincode::Options as _;
use celerypond_types::Revision;
use serde::{Deserialize, Serialize};

use crate::{Delta, Digest, Facts, Origin};

/// What a message costs on the wire besides its own bytes: frame, call header and TCP/IP headers of
/// the segment and of its acknowledgement.
const OVERHEAD_BYTES: usize = 140;

/// The word of an instance that another one does not answer.
///
/// It holds until the accused changes an entry of its own: the next sequence number of its control
/// entries contradicts every claim made before.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// The accused.
    pub origin: Origin,
    /// The last control sequence number known of it.
    pub reached: u64,
}

/// One message, either way.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// The sender.
    pub from: Origin,
    /// Whom the sender means to reach, if it knows.
    pub to: Option<Origin>,
    /// Whether the sender does not know the receiver; its own entries are then among the deltas.
    pub hello: bool,
    /// The summary of the sender's facts, when it wants a difference to be sent.
    pub summary: Option<u64>,
    /// The revision that the sender itself acts on.
    pub acting: Revision,
    /// Facts that the receiver may lack.
    pub facts: Facts,
    /// Claims that the receiver may lack.
    pub claims: Vec<Claim>,
    /// Entries that the receiver may lack.
    pub deltas: Vec<Delta>,
    /// What the sender has, when it asks for more.
    pub digest: Option<Digest>,
}

impl Message {
    pub(crate) fn new(from: Origin, to: Option<Origin>, acting: Revision) -> Self {
        Self {
            from,
            to,
            hello: false,
            summary: None,
            acting,
            facts: Facts::default(),
            claims: Vec::new(),
            deltas: Vec::new(),
            digest: None,
        }
    }

    /// Returns the bytes that the message takes on the wire, headers included.
    pub fn bytes(&self) -> usize {
        size(self) + OVERHEAD_BYTES
    }
}

/// Returns the encoded size of a value in bytes.
pub(crate) fn size<T: Serialize>(value: &T) -> usize {
    // The types of this crate are all of known length, so this does not fail.
    bincode::options()
        .serialized_size(value)
        .map_or(usize::MAX, |size| size as usize)
}
