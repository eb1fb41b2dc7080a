//! The ways that are weighed, and the faults that they are weighed against.

use std::time::Duration;

use celerypond_answer::{ChainDigest, KeeperRecord, ResumeLimits};
use celerypond_types::{Position, TokenId};

/// What fails.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Fault {
    /// One engine dies.
    Death,
    /// All open connections to one engine go silent.
    Silence,
    /// One engine pauses for 10 s.
    Pause,
    /// The instances of the answers of one engine die.
    Router,
    /// They and the engine die.
    Both,
    /// The engine dies, and 2 s later the instances of the same answers.
    Later,
    /// A third of the engines dies.
    Third,
}

/// How an answer goes on after a fault.
#[derive(Clone, Copy, Debug)]
pub(super) struct Way {
    pub(super) name: &'static str,
    /// Whether the next attempt starts with the tokens so far, or generates them again.
    pub(super) prefix: bool,
    /// Whether the engine is probed before the answer goes elsewhere.
    pub(super) probe: bool,
    /// How many round trips the probe takes.
    pub(super) trips: u64,
    /// A fixed progress timeout in place of the learned one.
    pub(super) timeout: Option<Duration>,
    pub(super) pace: Option<ResumeLimits>,
    pub(super) takeover: TakeOverWay,
}

/// What an instance that takes over knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum TakeOverWay {
    /// Nothing: it starts from zero and passes over what the caller has.
    Restart,
    /// The caller's resume token.
    Token,
    /// The token and the keepers' stub.
    Stub,
    /// The token and a copy at the keepers, renewed each so many tokens.
    Copy(usize),
    /// The token and what the caller sends back.
    Brought,
}

impl Fault {
    pub(super) fn third(self) -> bool {
        self == Self::Third
    }
}

impl Way {
    /// The way that the crate goes.
    pub(super) const OURS: Self = Self {
        name: "resume is the probe, then prefix",
        prefix: true,
        probe: true,
        trips: 1,
        timeout: None,
        pace: None,
        takeover: TakeOverWay::Stub,
    };
}

impl TakeOverWay {
    pub(super) fn known(
        self,
        record: Option<KeeperRecord>,
        shown: &[TokenId],
    ) -> (Option<KeeperRecord>, Vec<TokenId>) {
        match self {
            Self::Restart | Self::Token => (None, Vec::new()),
            Self::Stub => (record, Vec::new()),
            Self::Brought => (record, shown.to_vec()),
            Self::Copy(each) => {
                let prefix = shown[..shown.len() / each * each].to_vec();
                let copied_to = Position(prefix.len() as u32);
                let record_of_attempt = record.clone();
                let copied = record.map(|record| KeeperRecord {
                    digest: ChainDigest::of(&prefix),
                    prefix,
                    ..record
                });
                // An attempt that was started with a longer prefix has it in its record.
                let longer = record_of_attempt.filter(|record| record.position() > copied_to);
                let copied = longer.or(copied);
                (copied, Vec::new())
            }
        }
    }
}
