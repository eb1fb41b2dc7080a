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
    pub body_digest: Digest,
    /// The seed of the answer.
    pub seed: u64,
    /// How many tokens the answer has at most.
    pub max_tokens: u32,
    /// How the caller gets the answer.
    pub mode: DeliveryMode,
    /// When the caller no longer wants it.
    pub deadline: Instant,
    /// The instance that drives the request.
    pub instance: InstanceName,
}

/// How a caller gets an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeliveryMode {
    /// Each token at once.
    Streamed,
    /// The whole at its end.
    Buffered,
}

/// Bounds of the waits of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GenerationLimits {
    /// How long an answer goes on without its caller.
    pub caller_grace: Duration,
    /// How long to wait for the keepers' record before giving up an answer without a caller.
    pub query_timeout: Duration,
    /// The time between the first two questions for a target while none is available; it doubles.
    pub min_retry_delay: Duration,
    /// The longest time between two questions.
    pub max_retry_delay: Duration,
    /// How long an answer of which nothing was shown waits for its version.
    pub version_wait: Duration,
    /// How old a new answer is when its record goes to the keepers. A younger one loses little, and
    /// most answers are over by then.
    pub record_delay: Duration,
    /// How many attempts in succession may break before their first token.
    pub max_failed_attempts: u32,
    /// When the tokens of an answer are copied to its keepers.
    pub record_extension: ExtensionLimits,
}

/// When the tokens of an answer are copied to its keepers.
///
/// Without a copy, an answer that loses its engine and its instance at once is generated once more
/// up to where its caller is, unless the caller brings its tokens. ExtensionLimits cost bandwidth, so only
/// the longest answers are worth them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ExtensionLimits {
    /// From which length on.
    pub min_length: u32,
    /// How many tokens go together.
    pub batch: u32,
}

impl Default for GenerationLimits {
    fn default() -> Self {
        Self {
            caller_grace: Duration::from_secs(10),
            query_timeout: Duration::from_secs(1),
            min_retry_delay: Duration::from_millis(50),
            max_retry_delay: Duration::from_secs(1),
            version_wait: Duration::from_millis(500),
            record_delay: Duration::from_secs(5),
            max_failed_attempts: 8,
            record_extension: ExtensionLimits {
                min_length: 7500,
                batch: 64,
            },
        }
    }
}

impl Request {
    /// Returns the codec of the request's resume tokens.
    pub fn resume_token_codec(&self, key: &ResumeTokenKey) -> ResumeTokenCodec {
        ResumeTokenCodec::new(key, &self.key, &self.body_digest)
    }
}
