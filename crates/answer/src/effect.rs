//! Effects that a generation asks its instance to carry out.

use celerypond_types::{
    Attempt, InstanceName, Position, RequestKey, TargetName, TokenId, VersionName,
};
use smol_str::SmolStr;

use crate::{ConnectionId, FinishReason, Incomplete, KeeperRecord, RecordExtension, StreamId};

/// An effect that a [`Generation`](crate::Generation) asks its instance to carry out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Choose a target; reply with `Input::Chosen` or `Input::NoTarget`.
    ChooseTarget(TargetCriteria),
    /// Start an attempt on a new connection.
    Start(Start),
    /// Read an existing stream from a position, on a new connection.
    Resume {
        /// The new connection.
        connection: ConnectionId,
        /// The stream.
        stream: StreamId,
        /// The first position to read.
        from: Position,
    },
    /// Close a connection. It must not be returned to a pool, as events may still arrive on it.
    Close(ConnectionId),
    /// Cancel a stream at its engine, on a new connection. Retry while the engine does not respond,
    /// for as long as an engine may be paused.
    Cancel(StreamId),
    /// Store the record at the keepers; reply with `Input::Fenced` if one has a higher record.
    PutRecord(KeeperRecord),
    /// Append tokens to the record at the keepers.
    ExtendRecord(RecordExtension),
    /// Remove the record from the keepers, unless it belongs to a later attempt.
    RemoveRecord(RequestKey, Attempt),
    /// Send the record to the previous driver, so that it stops.
    NotifyInstance(InstanceName, KeeperRecord),
    /// Query the keepers for the record; reply with `Input::RecordQueried`.
    QueryRecord(RequestKey),
    /// Send a token to the caller.
    Emit(Emit),
    /// The answer is complete.
    Finish(Finish),
    /// The answer can't be completed.
    Fail(Incomplete),
}

/// Requirements for the target of the next attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetCriteria {
    /// The version that the target must run, or `None` if any version will do.
    pub version: Option<VersionName>,
    /// Targets that have just failed.
    pub excluded: Vec<TargetName>,
    /// Whether the answer has already started. Resumed answers take precedence over new ones.
    pub is_resume: bool,
}

/// An attempt to start.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Start {
    /// The new connection.
    pub connection: ConnectionId,
    /// The engine and the attempt number.
    pub stream: StreamId,
    /// The version.
    pub version: VersionName,
    /// The seed.
    pub seed: u64,
    /// The token ids of the answer so far, which the engine continues.
    pub prefix: Vec<TokenId>,
}

/// A token for the caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Emit {
    /// Its position in the answer.
    pub position: Position,
    /// Its id.
    pub token: TokenId,
    /// Its text.
    pub text: SmolStr,
    /// The resume token to send with it.
    pub resume_token: SmolStr,
}

/// The end of a complete answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Finish {
    /// Why generation ended.
    pub reason: FinishReason,
    /// How many tokens it has.
    pub length: Position,
    /// The version that generated it.
    pub version: VersionName,
    /// The complete text, if the answer was not streamed.
    pub text: Option<String>,
}
