//! Objects of the platform's store.

use std::fmt;

use base64::{prelude::BASE64_STANDARD, Engine as _};
use bytes::Bytes;
use celerypond_types::FencingNumber;
use serde::{de::Error as _, Deserialize, Deserializer, Serialize};
use smol_str::SmolStr;

/// The version of an object: a counter of the whole store.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Version(pub u64);

impl Version {
    /// Returns the version as a fencing number, since it rises with each write of the store.
    pub const fn fencing(self) -> FencingNumber {
        FencingNumber(self.0)
    }
}

impl fmt::Display for Version {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// An object as read.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct Object {
    /// The key.
    pub key: SmolStr,
    /// The version, which the next conditional write names.
    pub version: Version,
    /// The value.
    #[serde(deserialize_with = "decode")]
    pub value: Bytes,
}

/// Objects under a prefix, in key order.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct Listing {
    /// The revision of the store when the list was taken; a watch goes on from here.
    pub revision: Version,
    /// The objects.
    pub objects: Vec<Object>,
    /// Whether a further page may have more; a store that does not say is asked until a page is
    /// empty.
    #[serde(default = "unsaid")]
    pub more: bool,
}

/// One change that a watch saw.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct Change {
    /// The key.
    pub key: SmolStr,
    /// The version of the change.
    pub version: Version,
    /// The new value; `None` when the object was deleted.
    #[serde(deserialize_with = "decode_some")]
    pub value: Option<Bytes>,
}

/// What a watch saw; empty when the wait passed without a change.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct Changes {
    /// The revision up to which changes are covered; the next watch goes on from here.
    pub revision: Version,
    /// The changes.
    pub changes: Vec<Change>,
}

const fn unsaid() -> bool {
    true
}

fn decode<'de, D: Deserializer<'de>>(input: D) -> Result<Bytes, D::Error> {
    let text = String::deserialize(input)?;
    let bytes = BASE64_STANDARD.decode(text).map_err(D::Error::custom)?;
    Ok(bytes.into())
}

fn decode_some<'de, D: Deserializer<'de>>(input: D) -> Result<Option<Bytes>, D::Error> {
    let text = Option::<String>::deserialize(input)?;
    let bytes = text.map(|text| BASE64_STANDARD.decode(text)).transpose();
    Ok(bytes.map_err(D::Error::custom)?.map(Bytes::from))
}
