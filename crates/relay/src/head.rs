//! Contents of request and response heads, independent of header names.

use std::{net::SocketAddr, time::Duration};

use celerypond_types::{AccountName, TargetName};
use smol_str::SmolStr;

use crate::{Pace, Urgency};

/// The head of a caller's request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CallerHead {
    /// The request id; each retry by the caller has a different one.
    pub request: Option<SmolStr>,
    /// The time that the caller waits for the response.
    pub deadline: Option<Duration>,
    /// The API key of its account.
    pub key: Option<SmolStr>,
    /// The last event of the stream that the caller has received.
    pub last_event: Option<u64>,
    /// The prompt of a request to an engine.
    pub prompt: Option<Prompt>,
}

/// The size of a prompt and its parts.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Prompt {
    /// The number of tokens to read, at most [`Prompt::MAX_TOKENS`].
    pub prompt_tokens: u64,
    /// The maximum number of tokens to generate, at most [`Prompt::MAX_TOKENS`].
    pub max_output_tokens: u64,
    /// The parts in order; the last one is specific to the request or its session.
    pub parts: Vec<PromptPart>,
}

impl Prompt {
    /// The maximum of a count of tokens. No engine has that much memory, and the sum of two counts
    /// fits into the 32 bits that are kept of a stream.
    pub const MAX_TOKENS: u64 = (u32::MAX / 2) as u64;

    /// Returns the ids of the parts that other requests may share, which are all but the last one.
    ///
    /// # Examples
    ///
    /// ```
    /// use celerypond_relay::{Prompt, PromptPart};
    ///
    /// let parts = [7, 8, 9].map(|id| PromptPart { id, tokens: 100 }).to_vec();
    /// let prompt = Prompt { parts, ..Prompt::default() };
    /// assert_eq!(prompt.shared_parts(), [7, 8]);
    /// ```
    pub fn shared_parts(&self) -> Vec<u64> {
        let shared = self
            .parts
            .split_last()
            .map_or(&[][..], |(_, shared)| shared);
        shared.iter().map(|part| part.id).collect()
    }
}

/// A part of a prompt that requests may share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// The id.
    pub id: u64,
    /// The number of its tokens, at most [`Prompt::MAX_TOKENS`].
    pub tokens: u64,
}

/// The fields that an instance adds to the head of a request to a target.
#[derive(Clone, Debug)]
pub struct TargetRequestHead<'a> {
    /// The account of the caller.
    pub account: Option<&'a AccountName>,
    /// The time that remains for the response.
    pub time_left: Duration,
    /// The intended target; another one at its address must not run the request.
    pub target: &'a TargetName,
    /// The last event that the caller has received.
    pub last_event: Option<u64>,
    /// The engine that backs up the KV cache of the request as it grows.
    pub backup: Option<SocketAddr>,
    /// The copy of the KV cache from which to resume.
    pub resume_from: Option<CopyName<'a>>,
    /// The urgency by which the target orders its work; `None` if all requests of its service are
    /// equally urgent.
    pub urgency: Option<Urgency>,
}

/// The name of a copy of a request's KV cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CopyName<'a> {
    /// The engine that holds the copy, or the engine from which the copy was ordered.
    pub address: SocketAddr,
    /// The handle under which the copy was ordered; `None` for a backup that was kept from the
    /// start, which has the id of the request.
    pub handle: Option<&'a str>,
}

/// The number of requests at a target, as reported by itself.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Load {
    /// Requests that run.
    pub running: u32,
    /// Requests that are queued.
    pub waiting: u32,
    /// The maximum number of concurrent requests.
    pub slots: u32,
    /// How long its work takes at the moment; `None` if it does not state that.
    pub pace: Option<Pace>,
}

/// The head of a target's response.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct TargetResponseHead {
    /// The id of the request that this is the response to.
    pub request: Option<SmolStr>,
    /// Whether the target has signed the response.
    pub signed: bool,
    /// Whether the target states that it has not run the request.
    pub not_run: bool,
    /// Whether an intermediary has encoded the body.
    pub encoded: bool,
    /// The target's load.
    pub load: Option<Load>,
    /// The number of rejections within a second that the target bears, if it is brittle.
    pub max_rejections: Option<u32>,
    /// The requests per second that the target accepts from all instances, if it states a limit.
    pub max_rate: Option<f64>,
    /// How long the target wants no requests from this instance. Only responses that reject a request
    /// state this.
    pub retry_after: Option<Duration>,
    /// Whether the target leaves.
    pub is_leaving: bool,
    /// How long the target keeps the connection open without a request.
    pub keep_alive: Option<Duration>,
}
