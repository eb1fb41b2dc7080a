//! Objects of a shard as read.

use celerypond_platform::{Object, Version};

use crate::{batch::Batch, BatchDecodeError, SequenceNumber, Slot};

/// Where the next batch goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Place {
    pub(crate) sequence: SequenceNumber,
    pub(crate) slot: Slot,
    pub(crate) before: Option<Version>,
}

/// An object as read, with the batch in it.
#[derive(Clone, Debug)]
pub(crate) struct Stored {
    pub(crate) slot: Slot,
    pub(crate) version: Version,
    pub(crate) batch: Batch,
}

impl Stored {
    /// Reads the object of a slot.
    pub(crate) fn read(slot: Slot, object: &Object) -> Result<Self, BatchDecodeError> {
        Ok(Self {
            slot,
            version: object.version,
            batch: Batch::decode(object.version, &object.value)?,
        })
    }

    /// Reads an object of a list, whose key ends with the slot.
    pub(crate) fn listed(object: &Object) -> Result<Self, BatchDecodeError> {
        let slot = object
            .key
            .rsplit('/')
            .next()
            .and_then(|slot| slot.parse().ok());
        Self::read(Slot(slot.ok_or(BatchDecodeError(object.version))?), object)
    }
}
