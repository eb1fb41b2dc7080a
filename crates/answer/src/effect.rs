//! What an answer asks its instance to do.

use celerypond_types::{
    Attempt, InstanceName, Position, RequestKey, TargetName, TokenId, VersionName,
};
use smol_str::SmolStr;

use crate::{ConnectionId, FinishReason, Incomplete, KeeperRecord, RecordExtension, StreamId};

/// What an answer asks its instance to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Choose a target; answer with `Chosen` or `NoTarget`.
    ChooseTarget(TargetCriteria),
    /// Start an attempt on a new connection.
    Start(Start),
    /// Read a stream from a position, on a new connection.
    Resume {
        /// The new connection.
        connection: ConnectionId,
        /// The stream.
        stream: StreamId,
        /// The first position to read.
        from: Position,
    },
    /// Close a connection; never put it back into a pool.
    Close(ConnectionId),
    /// Stop a stream at its engine, on a new connection. Try again while the engine does not
    /// answer, for as long as it may be paused.
    Cancel(StreamId),
    /// Put the record at the keepers; answer with `Fenced` if one has a higher record.
    PutRecord(KeeperRecord),
    /// Add tokens to the record at the keepers.
    ExtendRecord(RecordExtension),
    /// Remove the record from the keepers, unless it is of a later attempt.
    RemoveRecord(RequestKey, Attempt),
    /// Send the record to the instance that drove the request before.
    NotifyInstance(InstanceName, KeeperRecord),
    /// Ask the keepers for the record; answer with `RecordQueried`.
    QueryRecord(RequestKey),
    /// Send a token to the caller.
    Emit(Emit),
    /// The answer is whole.
    Finish(Finish),
    /// The answer can't be completed.
    Fail(Incomplete),
}

/// What the target of the next attempt must be.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetCriteria {
    /// The version, unless nothing was shown yet.
    pub version: Option<VersionName>,
    /// Targets that just failed.
    pub excluded: Vec<TargetName>,
    /// Whether the answer was begun: it then goes before new ones.
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
    /// The token ids that the answer has so far.
    pub prefix: Vec<TokenId>,
}

/// A token for the caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Emit {
    /// Its place in the answer.
    pub position: Position,
    /// Its id.
    pub token: TokenId,
    /// Its text.
    pub text: SmolStr,
    /// The resume token to send with it.
    pub resume_token: SmolStr,
}

/// The end of a whole answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Finish {
    /// Why it ended.
    pub reason: FinishReason,
    /// How many tokens it has.
    pub length: Position,
    /// The version that generated all of it.
    pub version: VersionName,
    /// The whole text, if it was not streamed.
    pub text: Option<String>,
}
