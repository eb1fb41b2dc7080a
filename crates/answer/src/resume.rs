//! Resume tokens, with which a caller continues an answer at any instance.

use celerypond_types::{Attempt, Position, VersionName};
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::{ChainDigest, StreamId};

/// What a caller sends as `Last-Event-ID` to continue an answer at any instance.
///
/// [`ResumeTokenCodec`](crate::ResumeTokenCodec) encodes and decodes it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResumeToken {
    /// Where the last token came from; the same for all tokens of an attempt.
    pub origin: Origin,
    /// The number of tokens that the caller has.
    pub position: Position,
    /// The digest of those tokens.
    pub digest: ChainDigest,
}

/// The stream that tokens come from, with what is needed to generate them again.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Origin {
    /// The highest attempt number of the driver that wrote this, which may be above the stream's.
    pub attempt: Attempt,
    /// The stream that the last token came from.
    pub stream: StreamId,
    /// The version that generates the answer.
    pub version: VersionName,
    /// The seed of the answer.
    pub seed: u64,
}

/// Why a text is not a valid resume token of a request.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum ResumeError {
    /// The text does not consist of two parts.
    #[error("expected two parts")]
    Parts,
    /// A part is not valid base64.
    #[error("expected base 64")]
    Base64,
    /// The second part does not have the expected length.
    #[error("the second part has {0} bytes")]
    Length(usize),
    /// The tag does not match: the token was changed, or made for another request or with another
    /// key.
    #[error("the tag does not agree")]
    Tag,
    /// The tag matches, but the format is that of another build.
    #[error("the format is not known")]
    Format,
}
