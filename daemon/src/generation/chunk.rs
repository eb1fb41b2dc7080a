//! Chunks of tokens, which count as evidence about the version that generates them.

use celerypond_answer::{ConnectionId, Start};
use celerypond_rollout::{Failure, Trial};
use tokio::time::Instant;

use super::AnswerDriver;
use crate::{
    node::{self, Node},
    rollouts,
};

/// How many tokens form one trial of a version.
const CHUNK_TOKENS: u32 = 32;

/// Consecutive tokens from one connection, which together form one trial of the version.
pub(super) struct Chunk {
    pub(super) connection: ConnectionId,
    pub(super) trial: Trial,
    started_at: Instant,
    /// The number of tokens so far; the first token of an attempt is a chunk of its own.
    tokens: u32,
    /// Whether the trial was recorded as sent.
    is_recorded: bool,
}

impl Chunk {
    /// Records success with the mean time per token.
    fn record_success(&self, node: &Node, now: Instant) {
        let per_token = (now - self.started_at).as_micros() as u64 / u64::from(self.tokens.max(1));
        node.rollouts
            .with_controller(|controller| controller.record_success(&self.trial, per_token));
    }

    /// Starts the next chunk, which is recorded as sent at its first token.
    fn start_next(&mut self, now: Instant) {
        self.started_at = now;
        self.tokens = 0;
        self.is_recorded = false;
        self.trial.is_first = false;
        self.trial.begun_ms = node::wall_ms();
    }
}

impl AnswerDriver {
    /// Counts a token as evidence about its version.
    pub(super) fn count_token(&mut self, connection: ConnectionId, now: Instant) {
        let Some(chunk) = self
            .chunk
            .as_mut()
            .filter(|chunk| chunk.connection == connection)
        else {
            return;
        };
        if chunk.trial.is_first {
            let latency_us = (now - chunk.started_at).as_micros() as u64;
            self.node
                .rollouts
                .with_controller(|controller| controller.record_success(&chunk.trial, latency_us));
            chunk.start_next(now);
            return;
        }
        if !std::mem::replace(&mut chunk.is_recorded, true) {
            self.node
                .rollouts
                .with_controller(|controller| controller.record_sent(&chunk.trial));
        }
        chunk.tokens += 1;
        if chunk.tokens == CHUNK_TOKENS {
            chunk.record_success(&self.node, now);
            chunk.start_next(now);
        }
    }

    /// Ends the current chunk successfully, as its answer is complete.
    pub(super) fn finish_chunk(&mut self) {
        if let Some(chunk) = self.chunk.take().filter(|chunk| chunk.tokens > 0) {
            chunk.record_success(&self.node, Instant::now());
        }
    }

    /// Records the current chunk as sent, once its engine has accepted the attempt.
    ///
    /// Attempts refused because the engine lacks the version must not be recorded: they would never
    /// end, and unfinished trials count as successes. Thousands of them once hid that 60 of 100
    /// answers failed, so that the rollout of a faulty version was completed.
    pub(super) fn record_chunk_sent(&mut self, connection: ConnectionId) {
        let chunk = self
            .chunk
            .as_mut()
            .filter(|chunk| chunk.connection == connection);
        if let Some(chunk) = chunk.filter(|chunk| !chunk.is_recorded) {
            chunk.is_recorded = true;
            self.node
                .rollouts
                .with_controller(|controller| controller.record_sent(&chunk.trial));
        }
    }

    /// Ends the current chunk as failed, if it belongs to this connection.
    pub(super) fn fail_chunk(&mut self, connection: ConnectionId, failure: Failure) {
        self.record_chunk_sent(connection);
        if let Some(chunk) = self.chunk.take_if(|chunk| chunk.connection == connection) {
            let now_ms = node::wall_ms();
            self.node.rollouts.with_controller(|controller| {
                controller.record_failure(&chunk.trial, failure, now_ms)
            });
        }
    }

    pub(super) fn start_chunk(&mut self, connection: ConnectionId, start: &Start) {
        let class = rollouts::request_class(self.generation_request.adapter.as_ref());
        let model = &self.generation_request.model;
        let trial = rollouts::new_trial(model, &start.version, &class, &start.stream.target);
        if self.open_answer.is_none() {
            self.open_answer = Some(self.node.rollouts.track_answer(
                &self.node,
                model,
                &start.version,
            ));
        }
        self.chunk = Some(Chunk {
            connection,
            trial,
            started_at: Instant::now(),
            tokens: 0,
            is_recorded: false,
        });
    }
}
