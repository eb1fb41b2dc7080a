//! Calls of the state machines to the object API, and its replies.

use serde::{de::DeserializeOwned, Serialize};
use smol_str::SmolStr;

/// Maximum size of a value in the object API, in bytes.
pub const MAX_VALUE_BYTES: usize = 1 << 20;

/// Precondition of a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Condition {
    /// The object does not exist.
    Absent,
    /// The object has this version.
    Version(u64),
}

/// A call to the object API.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreCall {
    /// Reads an object.
    Read {
        /// Key of the object.
        key: SmolStr,
    },
    /// Writes an object if a condition holds.
    Write {
        /// Key of the object.
        key: SmolStr,
        /// Precondition of the write.
        condition: Condition,
        /// The new value.
        value: Vec<u8>,
    },
}

/// Result of a call to the object API.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreReply {
    /// The object was read.
    Found {
        /// Version of the object.
        version: u64,
        /// Value of the object.
        value: Vec<u8>,
    },
    /// The object to read does not exist.
    Missing,
    /// The write took effect.
    Written {
        /// New version of the object.
        version: u64,
    },
    /// The condition of the write did not hold.
    Conflict,
    /// No reply arrived; a write may have taken effect.
    Lost,
    /// The store refused the call; a write took no effect.
    Down,
}

impl StoreCall {
    /// Creates a read.
    pub fn read(key: impl Into<SmolStr>) -> Self {
        Self::Read { key: key.into() }
    }

    /// Creates a conditional write of `value` as JSON.
    pub fn write(key: impl Into<SmolStr>, condition: Condition, value: &impl Serialize) -> Self {
        Self::Write {
            key: key.into(),
            condition,
            // Serialization can't fail: the values of this crate have string keys and no custom
            // serializers.
            value: serde_json::to_vec(value).unwrap_or_default(),
        }
    }

    /// Returns the key of the object.
    pub fn key(&self) -> &SmolStr {
        match self {
            Self::Read { key } | Self::Write { key, .. } => key,
        }
    }
}

/// Parses the JSON value of an object; returns `None` if it does not have the expected form.
pub fn parse_json<T: DeserializeOwned>(value: &[u8]) -> Option<T> {
    serde_json::from_slice(value).ok()
}
