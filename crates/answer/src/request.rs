//! Requests and the limits of their generation.

use std::time::Duration;

use celerypond_types::{Digest, InstanceName, RequestKey};
use tokio::time::Instant;

use crate::{ResumeTokenCodec, ResumeTokenKey};

/// The properties of a request that are the same for all attempts.
#[derive(Clone, Debug)]
pub struct Request {
    /// The idempotency key of the request, which the caller may choose.
    pub key: RequestKey,
    /// The digest of the request's body. A resume token is valid only for the same body.
    pub body_digest: Digest,
    /// The seed of the answer.
    pub seed: u64,
    /// The maximum number of tokens of the answer.
    pub max_tokens: u32,
    /// How the answer is delivered to the caller.
    pub mode: DeliveryMode,
    /// The caller's deadline.
    pub deadline: Instant,
    /// The instance that drives the request.
    pub instance: InstanceName,
}

/// How an answer is delivered to its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeliveryMode {
    /// Each token as soon as it arrives.
    Streamed,
    /// The complete text when generation has ended.
    Buffered,
}

/// Limits of the generation of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GenerationLimits {
    /// How long generation continues after the caller disconnected.
    pub caller_grace: Duration,
    /// How long to wait for the record of the keepers before an answer without a caller is
    /// abandoned.
    pub query_timeout: Duration,
    /// The delay before the first retry while no target is available. It doubles with each retry.
    pub min_retry_delay: Duration,
    /// The maximum delay between two such retries.
    pub max_retry_delay: Duration,
    /// How long an answer of which nothing was delivered waits for its version, before it may start
    /// again with another one.
    pub version_wait: Duration,
    /// How long after the start of a new answer its record is stored at the keepers. Little is lost
    /// if a younger answer starts again, and most answers have ended by then.
    pub record_delay: Duration,
    /// How many consecutive attempts may fail before their first token.
    pub max_failed_attempts: u32,
    /// When the tokens of an answer are appended to its record.
    pub record_extension: ExtensionLimits,
}

/// When the tokens of an answer are appended to its record at the keepers.
///
/// If an answer loses its engine and its instance at the same time, the tokens that are not in the
/// record must be generated again, unless the caller sends the tokens that it has. Extensions cost
/// bandwidth, so they are worthwhile only for the longest answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ExtensionLimits {
    /// The number of tokens from which on the record is extended.
    pub min_length: u32,
    /// The minimum number of tokens of an extension.
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
    /// Returns the codec for the resume tokens of the request.
    pub fn resume_token_codec(&self, key: &ResumeTokenKey) -> ResumeTokenCodec {
        ResumeTokenCodec::new(key, &self.key, &self.body_digest)
    }
}
