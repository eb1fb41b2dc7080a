//! The objects of a shard: batches of records.

use std::time::Duration;

use bytes::Bytes;
use celerypond_platform::Version;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::{CallKey, RequestFingerprint, ServiceResponse};

/// The estimated size of a stored record without the body and media type of a response, in bytes.
const RECORD_OVERHEAD_BYTES: usize = 180;

/// Identifies one run of a process that writes to a shard.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct WriterId(pub u64);

/// The position of a batch in the log of its shard, counted from 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct SequenceNumber(pub u64);

/// The number of an object of a shard. An object is reused for a later batch once its records have
/// expired.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Slot(pub u32);

/// The value of one object: the records that one write appends to the log of a shard.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Batch {
    /// The position in the log.
    pub(crate) sequence: SequenceNumber,
    /// The oldest batch that is still in the log.
    #[serde(rename = "first")]
    pub(crate) oldest: SequenceNumber,
    /// The slot that takes the next batch.
    #[serde(rename = "next")]
    pub(crate) next_slot: Slot,
    pub(crate) writer: WriterId,
    /// Distinguishes this write from all others of the same writer.
    pub(crate) nonce: u64,
    /// How long the writer had known the previous batch when it wrote this one, in milliseconds.
    /// The sum of these intervals is a lower bound of a batch's age, without comparing the clocks
    /// of two instances.
    #[serde(rename = "gap_ms")]
    pub(crate) since_previous_ms: u64,
    /// The records, in the order in which they apply.
    pub(crate) records: Vec<Record>,
}

/// The state of one call; the last record of a key is the valid one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Record {
    pub(crate) key: CallKey,
    #[serde(rename = "body")]
    pub(crate) fingerprint: RequestFingerprint,
    pub(crate) state: CallState,
}

/// What a record says of its call: an intent to send it, or one of the results.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum CallState {
    /// An intent: the writer of this record, and no other, may send the call once.
    Started {
        /// How long until the writer has either got the result of the call or given up.
        ttl_ms: u64,
    },
    /// The call ran.
    Ran(ServiceResponse),
    /// The call may have run and is never sent again.
    Unknown,
    /// The call was never sent and never will be; the key can be used again. Only the writer of the
    /// intent may write this.
    Released,
}

/// The error for an object of a shard that does not contain a batch.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
#[error("the object at version {0} does not contain a valid batch")]
pub struct BatchDecodeError(pub Version);

impl Batch {
    pub(crate) fn encode(&self) -> Bytes {
        // Serialization can't fail: a batch has no map with keys other than text and no serializer
        // that returns an error.
        serde_json::to_vec(self).unwrap_or_default().into()
    }

    pub(crate) fn decode(version: Version, value: &[u8]) -> Result<Self, BatchDecodeError> {
        serde_json::from_slice(value).map_err(|_| BatchDecodeError(version))
    }

    /// Returns whether both batches come from the same write.
    pub(crate) fn is_same_write(&self, other: &Self) -> bool {
        self.writer == other.writer && self.nonce == other.nonce
    }

    pub(crate) const fn since_previous(&self) -> Duration {
        Duration::from_millis(self.since_previous_ms)
    }
}

impl Record {
    /// Returns the estimated size of this record in an object, in bytes.
    pub(crate) fn estimated_size(&self) -> usize {
        match &self.state {
            CallState::Ran(response) => {
                RECORD_OVERHEAD_BYTES + response.media_type.len() + response.body.len() * 4 / 3
            }
            CallState::Started { .. } | CallState::Unknown | CallState::Released => {
                RECORD_OVERHEAD_BYTES
            }
        }
    }
}
