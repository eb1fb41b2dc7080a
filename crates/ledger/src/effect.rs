//! What goes into and comes out of a shard.

use std::time::Duration;

use bytes::Bytes;
use celerypond_platform::{Object, PlatformError, Version};
use celerypond_types::Outcome;
use smol_str::SmolStr;
use tokio::time::Instant;

use crate::{BatchDecodeError, CallKey, RequestFingerprint, ServiceResponse, UnsentCall};

/// A waiting caller, in the terms of the user of the shard.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub u64);

/// A call that arrives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Call {
    /// The caller, who gets exactly one answer.
    pub id: CallId,
    /// The key of the call.
    pub key: CallKey,
    /// The tag of its body.
    pub fingerprint: RequestFingerprint,
    /// When it must have been sent; later it ends as not run.
    pub send_by: Instant,
    /// How long the service may take after that.
    pub service_timeout: Duration,
}

/// What a caller is told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// What became of the call. `NotRun` speaks of this attempt; an earlier one that ended as
    /// unknown stays so.
    Outcome(Outcome<ServiceResponse>),
    /// The key was used for a call with another body; nothing was sent.
    KeyReused,
}

/// What the user of a shard does for it.
///
/// Of the first four, one at a time is under way, and its reply goes to [`Shard::handle_list_reply`],
/// [`Shard::handle_read_reply`] or [`Shard::handle_write_reply`].
///
/// [`Shard::handle_list_reply`]: crate::Shard::handle_list_reply
/// [`Shard::handle_read_reply`]: crate::Shard::handle_read_reply
/// [`Shard::handle_write_reply`]: crate::Shard::handle_write_reply
#[derive(Debug)]
pub enum Effect {
    /// List all objects under the prefix.
    List {
        /// The prefix.
        prefix: SmolStr,
    },
    /// Read an object.
    Get {
        /// The key.
        key: SmolStr,
    },
    /// Create an object if there is none.
    Create {
        /// The key.
        key: SmolStr,
        /// The value.
        value: Bytes,
    },
    /// Replace an object if it has this version.
    Update {
        /// The key.
        key: SmolStr,
        /// The version it must have.
        expected_version: Version,
        /// The value.
        value: Bytes,
    },
    /// Send the call of this caller, and give the outcome to [`Shard::handle_finished_call`].
    ///
    /// [`Shard::handle_finished_call`]: crate::Shard::handle_finished_call
    Dispatch {
        /// Whose call it is.
        id: CallId,
        /// The permission to send it.
        unsent: UnsentCall,
    },
    /// Answer a caller.
    Answer {
        /// The caller.
        id: CallId,
        /// What the caller is told.
        answer: Answer,
    },
    /// Report an object that cannot be read; the shard refuses calls until it can.
    ReportCorruption {
        /// What is wrong.
        error: BatchDecodeError,
    },
}

/// The reply to a create or an update.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteReply {
    /// It took effect.
    Written(Version),
    /// The condition does not hold.
    Conflict,
    /// It may have taken effect, or still may.
    Ambiguous,
    /// It took no effect, as the store is down.
    NotApplied,
    /// It was not sent, as the rate is used up.
    RateLimited {
        /// When to come back.
        retry_after: Duration,
    },
}

/// The reply to a get.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReadReply {
    /// The object.
    Found(Object),
    /// There is no such object.
    Missing,
    /// No answer.
    Failed,
}

/// The reply to a list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ListReply {
    /// All objects.
    Listed(Vec<Object>),
    /// No answer.
    Failed,
}

impl From<Result<Version, PlatformError>> for WriteReply {
    fn from(result: Result<Version, PlatformError>) -> Self {
        match result {
            Ok(version) => Self::Written(version),
            Err(PlatformError::Conflict) => Self::Conflict,
            Err(
                PlatformError::OverBudget { retry_after }
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
