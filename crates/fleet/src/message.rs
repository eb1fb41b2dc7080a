//! Gossip messages.

use bincode::Options as _;
use celerypond_types::Revision;
use serde::{Deserialize, Serialize};

use crate::{Delta, Digest, Facts, Origin};

/// Bytes that a message takes on the wire besides its encoding: frame, RPC header, and the TCP/IP
/// headers of the segment and of its acknowledgement.
const OVERHEAD_BYTES: usize = 140;

/// A claim that a run of an instance does not respond.
///
/// The claim holds until the accused run changes one of its control entries: a higher sequence
/// number than `reached` refutes it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// The accused run.
    pub origin: Origin,
    /// The sequence number of its control entries that the accuser has reached.
    pub reached: u64,
}

/// A gossip request or response.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// The sender.
    pub from: Origin,
    /// The intended receiver, if known to the sender.
    pub to: Option<Origin>,
    /// Whether the sender asks for the control entries of the receiver, which may be unknown to it. Its
    /// own ones are then among the deltas.
    pub hello: bool,
    /// The fingerprint of the sender's facts, if it requests facts that it lacks.
    pub summary: Option<u64>,
    /// The revision that the sender uses.
    pub acting: Revision,
    /// Facts that the receiver may lack.
    pub facts: Facts,
    /// Claims that the receiver may lack.
    pub claims: Vec<Claim>,
    /// Entries that the receiver may lack.
    pub deltas: Vec<Delta>,
    /// The entries that the sender has, if it requests those that it lacks.
    pub digest: Option<Digest>,
}

impl Message {
    /// Creates a message that carries only addresses and the revision in use.
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

    /// Returns the number of bytes that the message takes on the wire, including headers.
    pub fn bytes(&self) -> usize {
        size(self) + OVERHEAD_BYTES
    }
}

/// Returns the encoded size of a value in bytes.
pub(crate) fn size<T: Serialize>(value: &T) -> usize {
    // Fails only for sequences of unknown length, which the messages do not contain.
    bincode::options()
        .serialized_size(value)
        .map_or(usize::MAX, |size| size as usize)
}
