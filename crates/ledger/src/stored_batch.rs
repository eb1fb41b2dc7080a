//! Batches as read from the store, and the position at which the next one is appended.

use celerypond_platform::{Object, Version};

use crate::{batch::Batch, BatchDecodeError, SequenceNumber, Slot};

/// The position in the log and the slot of the next batch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct AppendPosition {
    pub(crate) sequence: SequenceNumber,
    pub(crate) slot: Slot,
    /// The version that the slot must have for the write to succeed; `None` if the object must not
    /// exist yet.
    pub(crate) expected_version: Option<Version>,
}

/// A batch with the slot and the version of its object.
#[derive(Clone, Debug)]
pub(crate) struct StoredBatch {
    pub(crate) slot: Slot,
    pub(crate) version: Version,
    pub(crate) batch: Batch,
}

impl StoredBatch {
    /// Decodes the object of a slot.
    pub(crate) fn from_slot(slot: Slot, object: &Object) -> Result<Self, BatchDecodeError> {
        Ok(Self {
            slot,
            version: object.version,
            batch: Batch::decode(object.version, &object.value)?,
        })
    }

    /// Decodes an object of a list. Its key ends with the slot.
    pub(crate) fn from_listed(object: &Object) -> Result<Self, BatchDecodeError> {
        let slot = object
            .key
            .rsplit('/')
            .next()
            .and_then(|slot| slot.parse().ok());
        Self::from_slot(Slot(slot.ok_or(BatchDecodeError(object.version))?), object)
    }
}
