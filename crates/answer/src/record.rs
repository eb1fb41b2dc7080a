//! The records that keepers store about requests.

use std::time::Duration;

use celerypond_types::{Attempt, InstanceName, Position, RequestKey, TokenId, VersionName};
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::{ChainDigest, Origin, StreamId};

/// The record that keepers store about a request, so that another instance can take it over.
///
/// It is written per attempt and not per token, because the resume token of the caller contains the
/// position and digest of the tokens that the caller has. The record of an attempt with a prefix
/// contains the prefix, because the engine's stream starts after it. Only very long answers append
/// their later tokens, as [`RecordExtension`]s.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeeperRecord {
    /// The key of the request.
    pub key: RequestKey,
    /// The driver's latest attempt number, the stream, version and seed.
    pub origin: Origin,
    /// The instance that drives the request.
    pub instance: InstanceName,
    /// The first tokens of the answer, at least those before the first token of the stream.
    pub prefix: Vec<TokenId>,
    /// The digest of the prefix.
    pub digest: ChainDigest,
    /// The text of the prefix, if the answer is not streamed.
    pub text: String,
    /// The time left until the caller's deadline, in milliseconds.
    pub remaining: u32,
}

/// Tokens that are appended to a record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordExtension {
    /// The key of the request.
    pub key: RequestKey,
    /// The driver's latest attempt number.
    pub attempt: Attempt,
    /// The position of the first token.
    pub from: Position,
    /// The tokens.
    pub tokens: Vec<TokenId>,
    /// Their text, if the answer is not streamed.
    pub text: String,
}

/// Why bytes are not a valid record.
#[derive(Debug, Error)]
pub enum RecordError {
    /// The bytes are truncated, too long, or contain an invalid value.
    #[error("the bytes are not a keeper record")]
    Malformed(#[from] bincode::Error),
    /// The digest of the prefix does not match.
    #[error("the digest of the prefix does not match")]
    Digest,
}

impl RecordExtension {
    /// Encodes the extension.
    pub fn encode(&self) -> Vec<u8> {
        // Writing plain fields to memory can't fail.
        bincode::serialize(self).unwrap_or_default()
    }

    /// Decodes an extension.
    ///
    /// # Errors
    ///
    /// Returns [`RecordError::Malformed`] if the bytes are truncated.
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

    /// Returns the number of tokens of the prefix.
    pub const fn position(&self) -> Position {
        // The maximum number of tokens of an answer is a u32.
        Position(self.prefix.len() as u32)
    }

    /// Returns the time left until the caller's deadline.
    pub const fn time_left(&self) -> Duration {
        Duration::from_millis(self.remaining as u64)
    }

    /// Returns the record with the higher attempt, or the longer one if the attempts are equal.
    #[must_use]
    pub fn merge(self, other: Self) -> Self {
        let rank = |record: &Self| (record.attempt(), record.position());
        if rank(&other) > rank(&self) {
            other
        } else {
            self
        }
    }

    /// Returns the record with the tokens of `extension` appended, or unchanged if they don't
    /// directly follow its prefix.
    #[must_use]
    pub fn extend(mut self, extension: &RecordExtension) -> Self {
        if extension.attempt == self.attempt() && extension.from == self.position() {
            let fold = |digest: ChainDigest, token: &TokenId| digest.with(*token);
            self.digest = extension.tokens.iter().fold(self.digest, fold);
            self.prefix.extend(&extension.tokens);
            self.text.push_str(&extension.text);
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
    /// Returns a [`RecordError`] if the bytes are invalid or the digest of the prefix does not
    /// match.
    pub fn decode(bytes: &[u8]) -> Result<Self, RecordError> {
        let record: Self = bincode::deserialize(bytes)?;
        if ChainDigest::of(&record.prefix) != record.digest {
            return Err(RecordError::Digest);
        }
        Ok(record)
    }
}
