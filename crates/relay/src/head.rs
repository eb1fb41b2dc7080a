//! What the heads of requests and responses say, whatever the headers are called.

use std::{net::SocketAddr, time::Duration};

use celerypond_types::{AccountName, TargetName};
use smol_str::SmolStr;

/// What the head of a caller's request says.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CallerHead {
    /// The id of the request; each attempt of a caller has its own.
    pub request: Option<SmolStr>,
    /// How long the caller waits.
    pub deadline: Option<Duration>,
    /// The key of its account.
    pub key: Option<SmolStr>,
    /// The last event that the caller has of the stream.
    pub last_event: Option<u64>,
    /// The prompt of a request to an engine.
    pub prompt: Option<Prompt>,
}

/// The size and the parts of a prompt.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Prompt {
    /// Tokens to be read.
    pub prompt_tokens: u64,
    /// The most tokens to be generated.
    pub max_output_tokens: u64,
    /// The parts in order; the last one belongs to the request or its session.
    pub parts: Vec<PromptPart>,
}

/// A part of a prompt that requests may share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// The id.
    pub id: u64,
    /// Its tokens.
    pub tokens: u64,
}

/// What the instance itself says in the head of a request to a target.
#[derive(Clone, Debug)]
pub struct TargetRequestHead<'a> {
    /// The account of the caller.
    pub account: Option<&'a AccountName>,
    /// How long the response is waited for.
    pub time_left: Duration,
    /// The target that is meant; another one at its address must not run the request.
    pub target: &'a TargetName,
    /// The last event that the caller has.
    pub last_event: Option<u64>,
    /// The engine to which the run's memory is copied as it grows.
    pub backup: Option<SocketAddr>,
    /// The copy from which the run goes on.
    pub resume_from: Option<CopyName<'a>>,
}

/// The name of a copy of a run's memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CopyName<'a> {
    /// The engine that holds it, or the one from which it was ordered.
    pub address: SocketAddr,
    /// The name under which it was ordered; nothing for a copy kept since the run began, which has
    /// the request's id.
    pub handle: Option<&'a str>,
}

/// The running and waiting requests of a target, as it reports them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Requests that can run at once.
    pub slots: u32,
}

/// What the head of a target's response says.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TargetResponseHead {
    /// The id of the request that is answered.
    pub request: Option<SmolStr>,
    /// Whether the response is signed by its target.
    pub signed: bool,
    /// Whether the target says that it has not run the request.
    pub not_run: bool,
    /// Whether the body is encoded by something between the target and here.
    pub encoded: bool,
    /// The target's load.
    pub load: Option<Load>,
    /// How long the connection stays open without a request.
    pub keep_alive: Option<Duration>,
}
