//! What a caller sends to go on with an answer at any instance.

use celerypond_types::{Attempt, Position, VersionName};
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::{ChainDigest, StreamId};

/// What a caller sends to go on with an answer at any instance, as `Last-Event-ID`.
///
/// [`ResumeTokenCodec`](crate::ResumeTokenCodec) encodes and decodes it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResumeToken {
    /// The parts that stay the same within an attempt.
    pub origin: Origin,
    /// How many tokens the caller has.
    pub position: Position,
    /// The digest of those tokens.
    pub digest: ChainDigest,
}

/// Where the tokens of an attempt come from.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Origin {
    /// The highest attempt number that the sender knew of.
    pub attempt: Attempt,
    /// The stream that the last token came from.
    pub stream: StreamId,
    /// The version that generates the answer.
    pub version: VersionName,
    /// The seed of the answer.
    pub seed: u64,
}

/// The ways in which a text is not a resume token of this request.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum ResumeError {
    /// It does not have two parts.
    #[error("expected two parts")]
    Parts,
    /// A part is not in base 64.
    #[error("expected base 64")]
    Base64,
    /// The second part has another length.
    #[error("the second part has {0} bytes")]
    Length(usize),
    /// The tag does not agree: it was changed, or made for another request.
    #[error("the tag does not agree")]
    Tag,
    /// The tag agrees, but another build wrote another format.
    #[error("the format is not known")]
    Format,
}
