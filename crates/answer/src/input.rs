//! Inputs of a generation.

use celerypond_types::{TargetName, VersionName};

use crate::{Event, KeeperRecord, Timeouts};

/// A connection to an engine, numbered within its generation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnectionId(pub u32);

/// Why an engine refused a start or a resume.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Refusal {
    /// Its queue is full.
    Busy,
    /// It does not have the stream, or not from the requested position.
    Gone,
    /// It has not loaded the version.
    VersionNotLoaded,
    /// It failed to process the request.
    Failed,
}

/// An input of a [`Generation`](crate::Generation).
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Input {
    /// The engine accepted a start or a resume on this connection.
    Opened(ConnectionId),
    /// The engine refused a start or a resume.
    Refused(ConnectionId, Refusal),
    /// An event arrived.
    Event(ConnectionId, Event),
    /// Data arrived that is not a valid event.
    Malformed(ConnectionId),
    /// The connection was closed or could not be established.
    Closed(ConnectionId),
    /// A target was chosen.
    Chosen(ChosenTarget),
    /// No target is available.
    NoTarget,
    /// The caller's connection was closed.
    CallerDisconnected,
    /// A keeper or another instance has a record of a higher attempt.
    Fenced(KeeperRecord),
    /// The record of the keepers, in reply to `Effect::QueryRecord`.
    RecordQueried(Option<KeeperRecord>),
    /// The time of [`Generation::next_tick`](crate::Generation::next_tick) was reached.
    Tick,
}

/// A target chosen for the next attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ChosenTarget {
    /// The target.
    pub target: TargetName,
    /// The version that it runs.
    pub version: VersionName,
    /// The timeouts for an attempt at the target.
    pub timeouts: Timeouts,
}
