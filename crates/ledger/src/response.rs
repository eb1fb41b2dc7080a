//! The response of a service to a call.

use base64::{prelude::BASE64_STANDARD, Engine as _};
use bytes::Bytes;
use serde::{de::Error as _, Deserialize, Deserializer, Serialize, Serializer};
use smol_str::SmolStr;

/// The maximum size of a body that is stored for callers who retry a call, in bytes.
const MAX_STORED_BODY_BYTES: usize = 16 << 10;

/// The response of a service to a call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceResponse {
    /// The HTTP status code.
    pub status: u16,
    /// The media type of the body.
    #[serde(rename = "media")]
    pub media_type: SmolStr,
    /// The body.
    #[serde(
        serialize_with = "serialize_base64",
        deserialize_with = "deserialize_base64"
    )]
    pub body: Bytes,
    /// Whether the body was too large to be stored, so that only its start is left.
    #[serde(rename = "cut")]
    pub truncated: bool,
}

impl ServiceResponse {
    /// Creates a response with its complete body.
    pub fn new(status: u16, media_type: impl AsRef<str>, body: impl Into<Bytes>) -> Self {
        Self {
            status,
            media_type: SmolStr::new(media_type),
            body: body.into(),
            truncated: false,
        }
    }

    /// Returns this response with its body cut to [`MAX_STORED_BODY_BYTES`]. The objects of a shard
    /// must stay under a megabyte.
    pub(crate) fn truncated_for_storage(&self) -> Self {
        let length = self.body.len().min(MAX_STORED_BODY_BYTES);
        Self {
            body: self.body.slice(..length),
            truncated: self.truncated || length < self.body.len(),
            ..self.clone()
        }
    }
}

fn serialize_base64<S: Serializer>(body: &Bytes, serializer: S) -> Result<S::Ok, S::Error> {
    serializer.serialize_str(&BASE64_STANDARD.encode(body))
}

fn deserialize_base64<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Bytes, D::Error> {
    let text = String::deserialize(deserializer)?;
    let body = BASE64_STANDARD.decode(text).map_err(D::Error::custom)?;
    Ok(body.into())
}
