//! Objects of the store and changes to them.

use std::fmt;

use base64::{prelude::BASE64_STANDARD, Engine as _};
use bytes::Bytes;
use celerypond_types::FencingNumber;
use serde::{de::Error as _, Deserialize, Deserializer, Serialize};
use smol_str::SmolStr;

/// The version of an object, or the revision of the whole store. All writes to the store share one
/// counter.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Version(pub u64);

impl Version {
    /// Returns the version as a fencing number, which it can serve as because it increases with
    /// every write to the store.
    pub const fn fencing(self) -> FencingNumber {
        FencingNumber(self.0)
    }
}

impl fmt::Display for Version {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// An object as read from the store.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct Object {
    /// The key.
    pub key: SmolStr,
    /// The version, which is the precondition of the next write.
    pub version: Version,
    /// The value.
    #[serde(deserialize_with = "decode")]
    pub value: Bytes,
}

/// Objects under a prefix, in key order.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct Listing {
    /// The revision of the store that the listing shows. A watch continues from here.
    pub revision: Version,
    /// The objects.
    pub objects: Vec<Object>,
    /// Whether there may be another page. If the store does not tell, this is true, and pages are
    /// requested until one is empty.
    #[serde(default = "default_more")]
    pub more: bool,
}

/// A change that a watch reported.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct Change {
    /// The key.
    pub key: SmolStr,
    /// The version that the change gave the object.
    pub version: Version,
    /// The new value, or `None` if the object was deleted.
    #[serde(deserialize_with = "decode_some")]
    pub value: Option<Bytes>,
}

/// The result of a watch, which is empty if no change happened during the wait.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct Changes {
    /// The revision up to which changes are included. The next watch continues from here.
    pub revision: Version,
    /// The changes.
    pub changes: Vec<Change>,
}

const fn default_more() -> bool {
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
