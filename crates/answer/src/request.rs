//! What stays the same through all attempts at an answer.

use std::time::Duration;

use celerypond_types::{Digest, InstanceName, RequestKey};
use tokio::time::Instant;

use crate::{ResumeTokenCodec, ResumeTokenKey};

/// What stays the same through all attempts at an answer.
#[derive(Clone, Debug)]
pub struct Request {
    /// The caller's name for the request.
    pub key: RequestKey,
    /// The digest of the request's body, so that a resume token is bound to it.
    pub body: Digest,
    /// The seed of the answer.
    pub seed: u64,
    /// How many tokens the answer has at most.
    pub limit: u32,
    /// How the caller gets the answer.
    pub mode: Mode,
    /// When the caller no longer wants it.
    pub deadline: Instant,
    /// The instance that drives the request.
    pub instance: InstanceName,
}

/// How a caller gets an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    /// Each token at once.
    Streamed,
    /// The whole at its end.
    Buffered,
}

/// Bounds of the waits of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GenerationLimits {
    /// How long an answer goes on without its caller.
    pub grace: Duration,
    /// How long to wait for the keepers' record before giving up an answer without a caller.
    pub review: Duration,
    /// The time between the first two questions for a target while none is available; it doubles.
    pub poll: Duration,
    /// The longest time between two questions.
    pub rest: Duration,
    /// How long an answer of which nothing was shown waits for its version.
    pub cede: Duration,
    /// How old a new answer is when its record goes to the keepers. A younger one loses little, and
    /// most answers are over by then.
    pub settle: Duration,
    /// How many attempts in succession may break before their first token.
    pub barren: u32,
    /// When the tokens of an answer are copied to its keepers.
    pub copies: Copies,
}

/// When the tokens of an answer are copied to its keepers.
///
/// Without a copy, an answer that loses its engine and its instance at once is generated once more
/// up to where its caller is, unless the caller brings its tokens. Copies cost bandwidth, so only
/// the longest answers are worth them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Copies {
    /// From which length on.
    pub after: u32,
    /// How many tokens go together.
    pub each: u32,
}

impl Default for GenerationLimits {
    fn default() -> Self {
        Self {
            grace: Duration::from_secs(10),
            review: Duration::from_secs(1),
            poll: Duration::from_millis(50),
            rest: Duration::from_secs(1),
            cede: Duration::from_millis(500),
            settle: Duration::from_secs(5),
            barren: 8,
            copies: Copies {
                after: 7500,
                each: 64,
            },
        }
    }
}

impl Request {
    /// Returns the codec of the request's resume tokens.
    pub fn resume_token_codec(&self, key: &ResumeTokenKey) -> ResumeTokenCodec {
        ResumeTokenCodec::new(key, &self.key, &self.body)
    }
}
