//! What keepers hold about a request.

use std::time::Duration;

use celerypond_types::{Attempt, InstanceName, Position, RequestKey, TokenId, VersionName};
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::{ChainDigest, Origin, StreamId};

/// What keepers hold about a request, so that another instance can take it over.
///
/// It is written once an attempt and not once a token: the position and digest of what the caller
/// has come with the caller's resume token. An attempt that was started with a prefix carries the
/// prefix, which its engine's stream does not repeat. Very long answers add their later tokens.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeeperRecord {
    /// The request.
    pub key: RequestKey,
    /// The driver's latest attempt number, the stream, version and seed.
    pub origin: Origin,
    /// The instance that drives the request.
    pub instance: InstanceName,
    /// The first tokens of the answer, at least those before the stream's first one.
    pub prefix: Vec<TokenId>,
    /// The digest of the prefix.
    pub digest: ChainDigest,
    /// The text of the prefix, if the answer is not streamed.
    pub text: String,
    /// The time left until the caller's deadline, in milliseconds.
    pub remaining: u32,
}

/// Tokens that are added to a record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordExtension {
    /// The request.
    pub key: RequestKey,
    /// The driver's latest attempt number.
    pub attempt: Attempt,
    /// The place of the first token.
    pub from: Position,
    /// The tokens.
    pub tokens: Vec<TokenId>,
    /// Their text, if the answer is not streamed.
    pub text: String,
}

/// The ways in which bytes are not a record.
#[derive(Debug, Error)]
pub enum RecordError {
    /// They are cut short, too long, or hold a value that does not exist.
    #[error("the bytes are not a keeper record")]
    Malformed(#[from] bincode::Error),
    /// The prefix does not have the digest that it is said to have.
    #[error("the prefix does not agree with its digest")]
    Digest,
}

impl RecordExtension {
    /// Encodes the copy.
    pub fn encode(&self) -> Vec<u8> {
        // Writing plain fields to memory can't fail.
        bincode::serialize(self).unwrap_or_default()
    }

    /// Decodes a copy.
    ///
    /// # Errors
    ///
    /// [`RecordError::Malformed`] when the bytes are cut short.
    pub fn decode(bytes: &[u8]) -> Result<Self, RecordError> {
        Ok(bincode::deserialize(bytes)?)
    }
}

impl KeeperRecord {
    /// Returns the driver's latest attempt number.
    pub const fn attempt(&self) -> Attempt {
        self.origin.attempt
    }

    /// Returns the stream that the answer comes from.
    pub const fn stream(&self) -> &StreamId {
        &self.origin.stream
    }

    /// Returns the version that generates the answer.
    pub const fn version(&self) -> &VersionName {
        &self.origin.version
    }

    /// Returns how many tokens the prefix has.
    pub const fn position(&self) -> Position {
        // The limit of an answer is a u32.
        Position(self.prefix.len() as u32)
    }

    /// Returns the time left until the caller's deadline.
    pub const fn time_left(&self) -> Duration {
        Duration::from_millis(self.remaining as u64)
    }

    /// Returns the record that wins: the one with the higher attempt, then the longer one.
    #[must_use]
    pub fn merge(self, other: Self) -> Self {
        let rank = |record: &Self| (record.attempt(), record.position());
        if rank(&other) > rank(&self) {
            other
        } else {
            self
        }
    }

    /// Returns the record with more tokens, or without change if they don't follow its last one.
    #[must_use]
    pub fn extend(mut self, copy: &RecordExtension) -> Self {
        if copy.attempt == self.attempt() && copy.from == self.position() {
            let fold = |digest: ChainDigest, token: &TokenId| digest.with(*token);
            self.digest = copy.tokens.iter().fold(self.digest, fold);
            self.prefix.extend(&copy.tokens);
            self.text.push_str(&copy.text);
        }
        self
    }

    /// Encodes the record.
    pub fn encode(&self) -> Vec<u8> {
        // Writing plain fields to memory can't fail.
        bincode::serialize(self).unwrap_or_default()
    }

    /// Decodes a record.
    ///
    /// # Errors
    ///
    /// A [`RecordError`] when the bytes are cut short or the prefix does not agree with its digest.
    pub fn decode(bytes: &[u8]) -> Result<Self, RecordError> {
        let record: Self = bincode::deserialize(bytes)?;
        if ChainDigest::of(&record.prefix) != record.digest {
            return Err(RecordError::Digest);
        }
        Ok(record)
    }
}
