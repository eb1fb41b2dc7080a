//! The answer of a service to a call.

use base64::{prelude::BASE64_STANDARD, Engine as _};
use bytes::Bytes;
use serde::{de::Error as _, Deserialize, Deserializer, Serialize, Serializer};
use smol_str::SmolStr;

/// The largest body that is kept for callers who repeat a call, in bytes.
const KEPT_BYTES: usize = 16 << 10;

/// The answer of a service to a call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reply {
    /// The HTTP status.
    pub status: u16,
    /// The media type of the body.
    pub media: SmolStr,
    /// The body.
    #[serde(serialize_with = "encode", deserialize_with = "decode")]
    pub body: Bytes,
    /// Whether the body was too large to be kept, so that only its start is here.
    pub cut: bool,
}

impl Reply {
    /// Makes a reply with its whole body.
    pub fn new(status: u16, media: impl AsRef<str>, body: impl Into<Bytes>) -> Self {
        Self {
            status,
            media: SmolStr::new(media),
            body: body.into(),
            cut: false,
        }
    }

    /// Returns what is kept of this reply; a shard's objects must stay under a megabyte.
    pub(crate) fn kept(&self) -> Self {
        let length = self.body.len().min(KEPT_BYTES);
        Self {
            body: self.body.slice(..length),
            cut: self.cut || length < self.body.len(),
            ..self.clone()
        }
    }
}

fn encode<S: Serializer>(body: &Bytes, out: S) -> Result<S::Ok, S::Error> {
    out.serialize_str(&BASE64_STANDARD.encode(body))
}

fn decode<'de, D: Deserializer<'de>>(input: D) -> Result<Bytes, D::Error> {
    let text = String::deserialize(input)?;
    let body = BASE64_STANDARD.decode(text).map_err(D::Error::custom)?;
    Ok(body.into())
}
