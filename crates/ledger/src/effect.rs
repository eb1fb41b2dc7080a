//! The inputs and outputs of a shard.

use std::time::Duration;

use bytes::Bytes;
use celerypond_platform::{Object, PlatformError, Version};
use celerypond_types::Outcome;
use smol_str::SmolStr;
use tokio::time::Instant;

use crate::{BatchDecodeError, CallKey, RequestFingerprint, ServiceResponse, UnsentCall};

/// Identifies a caller that waits for an answer. Assigned by the user of the shard.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub u64);

/// A call that arrives at a shard.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Call {
    /// The caller, which gets exactly one answer.
    pub id: CallId,
    /// The key of the call.
    pub key: CallKey,
    /// The fingerprint of its request.
    pub fingerprint: RequestFingerprint,
    /// The time by which the call must be sent. A call that is not sent by then ends as not run.
    pub send_by: Instant,
    /// How long the service may take after `send_by`.
    pub service_timeout: Duration,
}

/// The answer to a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// The outcome of the call. `NotRun` refers to this attempt only: an earlier attempt that ended
    /// as unknown may still have run.
    Outcome(Outcome<ServiceResponse>),
    /// The key was used for a call with another request; nothing was sent.
    KeyReused,
}

/// An action that the user of a shard carries out for it.
///
/// At most one operation of the store (one of the first four) is under way at a time. Its reply goes
/// to [`Shard::handle_list_reply`], [`Shard::handle_read_reply`] or [`Shard::handle_write_reply`].
///
/// [`Shard::handle_list_reply`]: crate::Shard::handle_list_reply
/// [`Shard::handle_read_reply`]: crate::Shard::handle_read_reply
/// [`Shard::handle_write_reply`]: crate::Shard::handle_write_reply
#[derive(Debug)]
pub enum Effect {
    /// List all objects whose keys start with the prefix.
    List {
        /// The prefix of the keys.
        prefix: SmolStr,
    },
    /// Read an object.
    Get {
        /// The key of the object.
        key: SmolStr,
    },
    /// Create an object if it does not exist.
    Create {
        /// The key of the object.
        key: SmolStr,
        /// The value of the object.
        value: Bytes,
    },
    /// Replace an object if it has the expected version.
    Update {
        /// The key of the object.
        key: SmolStr,
        /// The version that the object must have.
        expected_version: Version,
        /// The new value of the object.
        value: Bytes,
    },
    /// Send the call of this caller, and pass the result to [`Shard::handle_finished_call`].
    ///
    /// [`Shard::handle_finished_call`]: crate::Shard::handle_finished_call
    Dispatch {
        /// The caller whose call is sent.
        id: CallId,
        /// The permission to send the call.
        unsent: UnsentCall,
    },
    /// Answer a caller.
    Answer {
        /// The caller.
        id: CallId,
        /// The answer.
        answer: Answer,
    },
    /// Report an object that can't be decoded. The shard refuses calls until it can be.
    ReportCorruption {
        /// Which object can't be decoded.
        error: BatchDecodeError,
    },
}

/// The reply to [`Effect::Create`] or [`Effect::Update`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteReply {
    /// The write took effect and gave the object this version.
    Written(Version),
    /// The object exists or has another version than expected.
    Conflict,
    /// The write may have taken effect, or may still take effect.
    Ambiguous,
    /// The write had no effect, because the store is down or rejected it.
    NotApplied,
    /// The write was not applied, because the request rate is used up.
    RateLimited {
        /// How long to wait before the next attempt.
        retry_after: Duration,
    },
}

/// The reply to [`Effect::Get`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReadReply {
    /// The object.
    Found(Object),
    /// The object does not exist.
    Missing,
    /// The read failed.
    Failed,
}

/// The reply to [`Effect::List`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ListReply {
    /// All objects.
    Listed(Vec<Object>),
    /// The list failed.
    Failed,
}

impl From<Result<Version, PlatformError>> for WriteReply {
    fn from(result: Result<Version, PlatformError>) -> Self {
        match result {
            Ok(version) => Self::Written(version),
            Err(PlatformError::Conflict) => Self::Conflict,
            Err(
                PlatformError::BudgetExhausted { retry_after }
                | PlatformError::RateLimited { retry_after },
            ) => Self::RateLimited { retry_after },
            Err(error) if error.no_effect() => Self::NotApplied,
            Err(_) => Self::Ambiguous,
        }
    }
}

impl From<Result<Object, PlatformError>> for ReadReply {
    fn from(result: Result<Object, PlatformError>) -> Self {
        match result {
            Ok(object) => Self::Found(object),
            Err(PlatformError::Missing) => Self::Missing,
            Err(_) => Self::Failed,
        }
    }
}
