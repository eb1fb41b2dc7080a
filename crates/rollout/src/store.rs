//! What the state machines ask of the object API and what it answers.

use serde::{de::DeserializeOwned, Serialize};
use smol_str::SmolStr;

/// The largest value that the object API holds, in bytes.
pub const MAX_VALUE_BYTES: usize = 1 << 20;

/// When a write may take effect.
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
        /// The object's key.
        key: SmolStr,
    },
    /// Writes an object under a condition.
    Write {
        /// The object's key.
        key: SmolStr,
        /// When the write may take effect.
        condition: Condition,
        /// The new value.
        value: Vec<u8>,
    },
}

/// What came of a call to the object API.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreReply {
    /// The object that was read.
    Found {
        /// The object's version.
        version: u64,
        /// The object's value.
        value: Vec<u8>,
    },
    /// The object that was read does not exist.
    Missing,
    /// The write took effect and gave the object this version.
    Written {
        /// The object's new version.
        version: u64,
    },
    /// The condition of the write did not hold.
    Conflict,
    /// No reply came; a write may have taken effect.
    Lost,
    /// The store refused the call; a write took no effect.
    Down,
}

impl StoreCall {
    /// Makes a read.
    pub fn read(key: impl Into<SmolStr>) -> Self {
        Self::Read { key: key.into() }
    }

    /// Makes a conditional write of `value` as JSON.
    pub fn write(key: impl Into<SmolStr>, condition: Condition, value: &impl Serialize) -> Self {
        Self::Write {
            key: key.into(),
            condition,
            // The values of this crate have text keys and no custom serialisers, so this can't fail.
            value: serde_json::to_vec(value).unwrap_or_default(),
        }
    }

    /// Returns the key that the call is about.
    pub fn key(&self) -> &SmolStr {
        match self {
            Self::Read { key } | Self::Write { key, .. } => key,
        }
    }
}

/// Parses the JSON value of an object; `None` when it is not of the expected form.
pub fn parse_json<T: DeserializeOwned>(value: &[u8]) -> Option<T> {
    serde_json::from_slice(value).ok()
}
