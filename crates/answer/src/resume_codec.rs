//! Encodes resume tokens with an authentication tag, so that forged tokens are rejected.

use std::fmt;

use base64::{prelude::BASE64_URL_SAFE_NO_PAD, Engine as _};
use celerypond_types::{Digest, Position, RequestKey};
use sha2::{Digest as _, Sha256};
use smol_str::SmolStr;

use crate::{ChainDigest, Origin, ResumeError, ResumeToken};

const KEY_BYTES: usize = 32;
const TAG_BYTES: usize = 16;
const POSITION_BYTES: usize = size_of::<u32>();
const PAYLOAD_BYTES: usize = POSITION_BYTES + size_of::<u64>();
const TAIL_BYTES: usize = PAYLOAD_BYTES + TAG_BYTES;
const SEPARATOR: char = '.';

/// The secret key of the authentication tags, which all instances share.
#[derive(Clone)]
pub struct ResumeTokenKey([u8; KEY_BYTES]);

/// Encodes and decodes the resume tokens of one request.
///
/// The authentication tag is SHA-256 over the key, the request key, the digest of the request's
/// body and the token, truncated to 128 bits, which prevents length extension attacks. The tag
/// covers the request, but the text does not contain it, so a token of another request is rejected
/// like a forged one.
///
/// # Examples
///
/// ```
/// use celerypond_answer::{
///     ChainDigest, Origin, ResumeError, ResumeToken, ResumeTokenCodec, ResumeTokenKey, StreamId,
/// };
/// use celerypond_types::{Attempt, Digest, Position};
///
/// let key = ResumeTokenKey::new([7; 32]);
/// let codec = ResumeTokenCodec::new(&key, &"r".into(), &Digest::of(b"body"));
/// let token = ResumeToken {
///     origin: Origin {
///         attempt: Attempt(1),
///         stream: StreamId { target: "e1".into(), attempt: Attempt(1) },
///         version: "v1".into(),
///         seed: 42,
///     },
///     position: Position(3),
///     digest: ChainDigest(5),
/// };
/// let text = codec.encode(&token);
/// assert_eq!(codec.decode(&text), Ok(token));
/// let other = ResumeTokenCodec::new(&key, &"q".into(), &Digest::of(b"body"));
/// assert_eq!(other.decode(&text), Err(ResumeError::Tag));
/// ```
#[derive(Clone)]
pub struct ResumeTokenCodec {
    state: Sha256,
}

/// Encodes the resume tokens of one attempt, with the constant parts precomputed.
#[derive(Clone)]
pub struct AttemptTokenEncoder {
    state: Sha256,
    head: SmolStr,
}

impl ResumeTokenKey {
    /// Creates a key from 32 secret bytes.
    pub const fn new(bytes: [u8; KEY_BYTES]) -> Self {
        Self(bytes)
    }
}

impl fmt::Debug for ResumeTokenKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("ResumeTokenKey(..)")
    }
}

impl fmt::Debug for ResumeTokenCodec {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("ResumeTokenCodec(..)")
    }
}

impl fmt::Debug for AttemptTokenEncoder {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "AttemptTokenEncoder({})", self.head)
    }
}

impl ResumeTokenCodec {
    /// Creates the codec for the request `request` whose body has the digest `body`.
    pub fn new(key: &ResumeTokenKey, request: &RequestKey, body: &Digest) -> Self {
        let request_digest = Sha256::digest(request.as_str().as_bytes());
        let state = Sha256::new()
            .chain_update(key.0)
            .chain_update(request_digest)
            .chain_update(body.as_bytes());
        Self { state }
    }

    /// Returns an encoder for the tokens of one attempt. Each token then costs one short hash.
    pub fn for_attempt(&self, origin: &Origin) -> AttemptTokenEncoder {
        // Writing plain fields to memory can't fail.
        let head = bincode::serialize(origin).unwrap_or_default();
        AttemptTokenEncoder {
            state: self.state.clone().chain_update(&head),
            head: SmolStr::new(BASE64_URL_SAFE_NO_PAD.encode(head)),
        }
    }

    /// Encodes a token as text for the `id` field of a server-sent event.
    pub fn encode(&self, token: &ResumeToken) -> SmolStr {
        self.for_attempt(&token.origin)
            .encode(token.position, token.digest)
    }

    /// Decodes a token.
    ///
    /// # Errors
    ///
    /// Returns a [`ResumeError`] if the text was truncated or changed, or made for another request,
    /// body or key.
    pub fn decode(&self, text: &str) -> Result<ResumeToken, ResumeError> {
        let (head, tail) = text.split_once(SEPARATOR).ok_or(ResumeError::Parts)?;
        let (head, tail) = (decode(head)?, decode(tail)?);
        let tail = <[u8; TAIL_BYTES]>::try_from(tail.as_slice())
            .map_err(|_| ResumeError::Length(tail.len()))?;
        let (payload, found_tag) = tail.split_at(PAYLOAD_BYTES);
        if tag(self.state.clone().chain_update(&head), payload) != found_tag {
            return Err(ResumeError::Tag);
        }
        let origin = bincode::deserialize(&head).map_err(|_| ResumeError::Format)?;
        let (position, digest) = bincode::deserialize(payload).map_err(|_| ResumeError::Format)?;
        Ok(ResumeToken {
            origin,
            position,
            digest: ChainDigest(digest),
        })
    }
}

impl AttemptTokenEncoder {
    /// Encodes the token for `position` tokens with the digest `digest`.
    pub fn encode(&self, position: Position, digest: ChainDigest) -> SmolStr {
        let mut tail = [0; TAIL_BYTES];
        tail[..POSITION_BYTES].copy_from_slice(&position.0.to_le_bytes());
        tail[POSITION_BYTES..PAYLOAD_BYTES].copy_from_slice(&digest.0.to_le_bytes());
        let tag = tag(self.state.clone(), &tail[..PAYLOAD_BYTES]);
        tail[PAYLOAD_BYTES..].copy_from_slice(&tag);
        let mut text = String::with_capacity(self.head.len() + 2 * tail.len());
        text.push_str(&self.head);
        text.push(SEPARATOR);
        BASE64_URL_SAFE_NO_PAD.encode_string(tail, &mut text);
        SmolStr::from(text)
    }
}

fn decode(part: &str) -> Result<Vec<u8>, ResumeError> {
    BASE64_URL_SAFE_NO_PAD
        .decode(part)
        .map_err(|_| ResumeError::Base64)
}

fn tag(state: Sha256, payload: &[u8]) -> [u8; TAG_BYTES] {
    let full_digest = state.chain_update(payload).finalize();
    let mut tag = [0; TAG_BYTES];
    tag.copy_from_slice(&full_digest[..TAG_BYTES]);
    tag
}
