//! Chunks of tokens, as evidence of the version that generates them.

use celerypond_answer::{ConnectionId, Start};
use celerypond_rollout::{Failure, Trial};
use tokio::time::Instant;

use super::Drive;
use crate::{
    node::{self, Node},
    rollouts,
};

/// How many tokens count as one trial of a version.
const CHUNK: u32 = 32;

/// Some tokens in a row from one connection, which together count as one trial of the version.
pub(super) struct Chunk {
    pub(super) link: ConnectionId,
    pub(super) trial: Trial,
    began: Instant,
    /// The tokens so far; the first token of an attempt is a chunk of its own.
    tokens: u32,
    /// Whether it counts as asked for.
    is_asked: bool,
}

impl Chunk {
    /// Notes that the tokens so far came well.
    fn came(&self, node: &Node, now: Instant) {
        let per_token = (now - self.began).as_micros() as u64 / u64::from(self.tokens.max(1));
        node.rollouts
            .with_controller(|controller| controller.record_success(&self.trial, per_token));
    }

    /// Begins the next chunk; it counts from its first token on.
    fn next(&mut self, now: Instant) {
        self.began = now;
        self.tokens = 0;
        self.is_asked = false;
        self.trial.is_first = false;
        self.trial.begun_ms = node::wall_ms();
    }
}

impl Drive {
    /// Counts a token into the evidence of its version.
    pub(super) fn count_token(&mut self, link: ConnectionId, now: Instant) {
        let Some(chunk) = self.chunk.as_mut().filter(|chunk| chunk.link == link) else {
            return;
        };
        if chunk.trial.is_first {
            let took_us = (now - chunk.began).as_micros() as u64;
            self.node
                .rollouts
                .with_controller(|controller| controller.record_success(&chunk.trial, took_us));
            chunk.next(now);
            return;
        }
        if !std::mem::replace(&mut chunk.is_asked, true) {
            self.node
                .rollouts
                .with_controller(|controller| controller.record_sent(&chunk.trial));
        }
        chunk.tokens += 1;
        if chunk.tokens == CHUNK {
            chunk.came(&self.node, now);
            chunk.next(now);
        }
    }

    /// Ends the chunk under way with its answer.
    pub(super) fn finish_chunk(&mut self) {
        if let Some(chunk) = self.chunk.take().filter(|chunk| chunk.tokens > 0) {
            chunk.came(&self.node, Instant::now());
        }
    }

    /// Counts the chunk under way as asked for, once its engine has taken it.
    ///
    /// The failure: attempts that engines refuse because they lack the version were counted as begun
    /// and never ended. Trials under way pass for good ones, so thousands of them hid that 60 of 100
    /// answers failed, and the bad version was completed.
    pub(super) fn ask_chunk(&mut self, link: ConnectionId) {
        let chunk = self.chunk.as_mut().filter(|chunk| chunk.link == link);
        if let Some(chunk) = chunk.filter(|chunk| !chunk.is_asked) {
            chunk.is_asked = true;
            self.node
                .rollouts
                .with_controller(|controller| controller.record_sent(&chunk.trial));
        }
    }

    /// Ends the chunk under way as failed, if it came over this connection.
    pub(super) fn end_chunk(&mut self, link: ConnectionId, failure: Failure) {
        self.ask_chunk(link);
        if let Some(chunk) = self.chunk.take_if(|chunk| chunk.link == link) {
            let now_ms = node::wall_ms();
            self.node.rollouts.with_controller(|controller| {
                controller.record_failure(&chunk.trial, failure, now_ms)
            });
        }
    }

    pub(super) fn begin_chunk(&mut self, link: ConnectionId, start: &Start) {
        let class = rollouts::request_class(self.ask.adapter.as_ref());
        let model = &self.ask.model;
        let trial = rollouts::new_trial(model, &start.version, &class, &start.stream.target);
        if self.open.is_none() {
            self.open = Some(
                self.node
                    .rollouts
                    .track_answer(&self.node, model, &start.version),
            );
        }
        self.chunk = Some(Chunk {
            link,
            trial,
            began: Instant::now(),
            tokens: 0,
            is_asked: false,
        });
    }
}
