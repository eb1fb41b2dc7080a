//! The recovery policies that the model compares, and the faults that it injects.

use std::time::Duration;

use celerypond_answer::{ChainDigest, KeeperRecord, ResumeLimits};
use celerypond_types::{Position, TokenId};

/// A failure that the model injects.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Fault {
    /// One engine dies.
    EngineDeath,
    /// One engine stops sending on all connections that are open, but still generates tokens.
    SilentConnections,
    /// One engine pauses for 10 s.
    EnginePause,
    /// The instances that deliver the answers of one engine die.
    InstanceDeath,
    /// One engine and the instances that deliver its answers die together.
    EngineAndInstanceDeath,
    /// One engine dies, and 2 s later the instances that deliver its answers die.
    EngineThenInstanceDeath,
    /// A third of the engines die at once.
    ThirdOfEnginesDeath,
}

/// How an interrupted answer is continued after a fault.
#[derive(Clone, Copy, Debug)]
pub(super) struct Policy {
    pub(super) name: &'static str,
    /// Whether the next attempt is sent the tokens so far, instead of generating them again.
    pub(super) sends_prefix: bool,
    /// Whether the engine is probed before the answer moves to another engine.
    pub(super) probes_engine: bool,
    /// Round trips that the probe takes.
    pub(super) probe_round_trips: u64,
    /// A fixed timeout that replaces the learned ones.
    pub(super) fixed_timeout: Option<Duration>,
    /// Limits on concurrent resumes; `None` starts all of them at once.
    pub(super) resume_limits: Option<ResumeLimits>,
    pub(super) takeover: TakeOverPolicy,
}

/// The state that is available to an instance that takes over an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum TakeOverPolicy {
    /// None: the answer is generated again, and the tokens that the caller has are skipped.
    Restart,
    /// The caller's resume token.
    Token,
    /// The resume token and the keeper's record, without a prefix.
    Record,
    /// The resume token and the keeper's record with the prefix, updated after this many tokens.
    PeriodicCopy(usize),
    /// The resume token, the keeper's record, and the tokens delivered so far, sent by the caller.
    CallerPrefix,
}

impl Fault {
    pub(super) fn hits_third_of_engines(self) -> bool {
        self == Self::ThirdOfEnginesDeath
    }
}

impl Policy {
    /// The policy that the `answer` crate implements.
    pub(super) const IMPLEMENTED: Self = Self {
        name: "resume is the probe, then prefix",
        sends_prefix: true,
        probes_engine: true,
        probe_round_trips: 1,
        fixed_timeout: None,
        resume_limits: None,
        takeover: TakeOverPolicy::Record,
    };
}

impl TakeOverPolicy {
    /// Returns the keeper record and the caller's tokens that the new instance can use.
    pub(super) fn inputs(
        self,
        record: Option<KeeperRecord>,
        delivered: &[TokenId],
    ) -> (Option<KeeperRecord>, Vec<TokenId>) {
        match self {
            Self::Restart | Self::Token => (None, Vec::new()),
            Self::Record => (record, Vec::new()),
            Self::CallerPrefix => (record, delivered.to_vec()),
            Self::PeriodicCopy(interval) => {
                let prefix = delivered[..delivered.len() / interval * interval].to_vec();
                let copy_end = Position(prefix.len() as u32);
                let original = record.clone();
                let copy = record.map(|record| KeeperRecord {
                    digest: ChainDigest::of(&prefix),
                    prefix,
                    ..record
                });
                // The record of an attempt that started with a longer prefix already contains it.
                let longer_record = original.filter(|record| record.position() > copy_end);
                let copy = longer_record.or(copy);
                (copy, Vec::new())
            }
        }
    }
}
