//! The objects of a shard: batches of records.

use std::time::Duration;

use bytes::Bytes;
use celerypond_platform::Version;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::{CallKey, RequestFingerprint, ServiceResponse};

/// The part of an object's size that does not depend on bodies, in bytes a record.
const RECORD_BYTES: usize = 180;

/// One process that writes, for as long as it runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct WriterId(pub u64);

/// The ordinal of a batch in its shard.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct SequenceNumber(pub u64);

/// An object of a shard, used again for a later batch when its records have expired.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Slot(pub u32);

/// The value of one object: what one write adds to the log of a shard.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Batch {
    /// The place in the log.
    pub(crate) sequence: SequenceNumber,
    /// The oldest batch that is still in the log.
    pub(crate) first: SequenceNumber,
    /// The slot that takes the next batch.
    pub(crate) next: Slot,
    /// Who wrote this batch.
    pub(crate) writer: WriterId,
    /// Tells this write from any other of the same writer.
    pub(crate) nonce: u64,
    /// How long the writer had known the batch before this one, in milliseconds. Sums of these are
    /// ages that are never too high, and no clocks of two instances are compared.
    pub(crate) gap_ms: u64,
    /// What became of calls, in order.
    pub(crate) records: Vec<Record>,
}

/// What became of one call; the last record of a key counts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Record {
    pub(crate) key: CallKey,
    #[serde(rename = "body")]
    pub(crate) fingerprint: RequestFingerprint,
    pub(crate) state: State,
}

/// What is known of a key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum State {
    /// The writer of this record, and nobody else, may send the call once.
    Started {
        /// How long until the writer has sent the call and heard of it, or given up.
        ttl_ms: u64,
    },
    /// The call ran.
    Ran(ServiceResponse),
    /// The call may have run and is never sent again.
    Unknown,
    /// The call was never sent and never will be; the key is free. Only the writer of the intent
    /// may say so.
    Released,
}

/// An object that is not a batch.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
#[error("the object at version {0} is not a batch")]
pub struct BatchDecodeError(pub Version);

impl Batch {
    pub(crate) fn encode(&self) -> Bytes {
        // A batch has no map with keys other than text and no fallible serializer.
        serde_json::to_vec(self).unwrap_or_default().into()
    }

    pub(crate) fn decode(version: Version, value: &[u8]) -> Result<Self, BatchDecodeError> {
        serde_json::from_slice(value).map_err(|_| BatchDecodeError(version))
    }

    pub(crate) fn is(&self, other: &Self) -> bool {
        self.writer == other.writer && self.nonce == other.nonce
    }

    pub(crate) const fn gap(&self) -> Duration {
        Duration::from_millis(self.gap_ms)
    }
}

impl Record {
    /// Returns about how many bytes this record takes in an object.
    pub(crate) fn size(&self) -> usize {
        match &self.state {
            State::Ran(reply) => RECORD_BYTES + reply.media_type.len() + reply.body.len() * 4 / 3,
            State::Started { .. } | State::Unknown | State::Released => RECORD_BYTES,
        }
    }
}
