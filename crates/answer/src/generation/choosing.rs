//! Choosing a target, and starting or resuming a stream.

use celerypond_types::{Attempt, InstanceName, VersionName};
use tokio::time::Instant;

use super::{Generation, State};
use crate::{
    stream_reader::StreamReader, ChosenTarget, DriverId, Effect, Start, StreamId, TargetCriteria,
    Timeouts, TokenSequence,
};

/// Large enough to reach any reasonable maximum delay, small enough not to overflow.
const MAX_DOUBLINGS: u32 = 10;

impl Generation {
    /// Reads the stream of another driver from the first unknown token on.
    pub(super) fn resume_stream(
        &mut self,
        stream: StreamId,
        previous: Option<InstanceName>,
        timeouts: Timeouts,
        now: Instant,
        out: &mut Vec<Effect>,
    ) {
        let record = self.build_record(&stream, now);
        self.output
            .set_encoder(self.codec.for_attempt(&record.origin));
        if let Some(previous) = previous.filter(|previous| *previous != self.request.instance) {
            out.push(Effect::NotifyInstance(previous, record.clone()));
        }
        out.push(self.put_record(record));
        let connection = self.next_connection();
        out.push(Effect::Resume {
            connection,
            stream: stream.clone(),
            from: self.next_position(),
        });
        self.state = State::Reading(StreamReader::resume(stream, connection, timeouts, now));
    }

    pub(super) fn choose(&mut self, now: Instant, out: &mut Vec<Effect>) {
        // Nothing of the old version was delivered, so the answer may start again with any version.
        if self.output.is_empty()
            && now.duration_since(self.last_token_at) >= self.limits.version_wait
        {
            self.sequence = None;
            self.output.clear_text();
        }
        self.state = State::Choosing { retry: None };
        out.push(Effect::ChooseTarget(TargetCriteria {
            version: self
                .sequence
                .as_ref()
                .map(|sequence| sequence.version().clone()),
            excluded: self.excluded.clone(),
            is_resume: self.sequence.is_some(),
        }));
    }

    pub(super) fn chosen(&mut self, now: Instant, chosen: ChosenTarget, out: &mut Vec<Effect>) {
        if !matches!(self.state, State::Choosing { .. }) {
            return;
        }
        // With another version, one answer would consist of the tokens of two versions.
        if !self.matches_version(&chosen.version) {
            return self.no_target(now);
        }
        let Some(attempt) = self.next_attempt else {
            return self.fail(self.no_first_token_error(), out);
        };
        self.attempt = attempt;
        self.next_attempt = DriverId::next_attempt(attempt);
        let stream = StreamId {
            target: chosen.target,
            attempt,
        };
        self.set_attempt(chosen.version.clone(), attempt);
        let record = self.build_record(&stream, now);
        self.output
            .set_encoder(self.codec.for_attempt(&record.origin));
        let connection = self.next_connection();
        out.push(Effect::Start(Start {
            connection,
            stream: stream.clone(),
            version: chosen.version,
            seed: self.request.seed,
            prefix: record.prefix.clone(),
        }));
        if self.record_due.is_none() || !record.prefix.is_empty() {
            out.push(self.put_record(record));
        }
        self.state = State::Reading(StreamReader::start(
            stream,
            connection,
            chosen.timeouts,
            now,
        ));
    }

    pub(super) fn matches_version(&self, version: &VersionName) -> bool {
        self.sequence
            .as_ref()
            .is_none_or(|sequence| sequence.version() == version)
    }

    pub(super) fn set_attempt(&mut self, version: VersionName, attempt: Attempt) {
        match &mut self.sequence {
            Some(sequence) => sequence.set_attempt(attempt),
            None => {
                let key = self.request.key.clone();
                self.sequence = Some(TokenSequence::new(
                    key,
                    version,
                    attempt,
                    self.request.max_tokens,
                ));
            }
        }
    }

    pub(super) fn no_target(&mut self, now: Instant) {
        if !matches!(self.state, State::Choosing { .. }) {
            return;
        }
        // An excluded target may have recovered, and may be the last one of the version.
        self.excluded.clear();
        let delay = self.limits.min_retry_delay * (1 << self.no_target_count.min(MAX_DOUBLINGS));
        self.no_target_count += 1;
        self.state = State::Choosing {
            retry: Some(now + delay.min(self.limits.max_retry_delay)),
        };
    }
}
