//! Reading a stream, and handling its failures.

use celerypond_types::Position;
use tokio::time::Instant;

use super::{ending, Generation, State};
use crate::{
    stream_reader::LossAction, ConnectionId, Done, DriverId, Effect, Frame, Incomplete,
    RecordExtension, Refusal, TokenSequence, Verdict,
};

impl Generation {
    pub(super) fn opened(&mut self, now: Instant, connection: ConnectionId, out: &mut Vec<Effect>) {
        if let State::Reading(reader) = &mut self.state {
            out.extend(reader.opened(connection, now).map(Effect::Close));
        }
    }

    pub(super) fn refused(
        &mut self,
        now: Instant,
        connection: ConnectionId,
        refusal: Refusal,
        out: &mut Vec<Effect>,
    ) {
        let State::Reading(reader) = &mut self.state else {
            return;
        };
        if reader.connection_lost(connection) == LossAction::Ignore {
            return;
        }
        // An engine that returned an error may have started the stream; one that refused has not.
        match refusal {
            Refusal::Failed => self.failed_attempts += 1,
            Refusal::Busy | Refusal::Gone | Refusal::VersionNotLoaded => {}
        }
        // An engine that no longer has the stream is alive, and may be chosen for a new attempt.
        let exclude = refusal != Refusal::Gone;
        self.abandon_stream(now, exclude, out);
    }

    pub(super) fn frame(
        &mut self,
        now: Instant,
        connection: ConnectionId,
        frame: Frame,
        out: &mut Vec<Effect>,
    ) {
        let (State::Reading(reader), Some(sequence)) = (&mut self.state, &mut self.sequence) else {
            return;
        };
        match sequence.accept(&frame) {
            Verdict::Accepted => {
                out.extend(reader.progress(connection, now).map(Effect::Close));
                self.failed_attempts = 0;
                self.no_target_count = 0;
                self.last_token_at = now;
                match self.output.push(frame, sequence) {
                    Ok(effect) => out.extend(effect),
                    Err(error) => return self.diverged(now, error, out),
                }
                self.extend_record(out);
            }
            verdict => self.handle_verdict(now, connection, verdict, out),
        }
    }

    /// Appends the tokens of a long answer to its record at the keepers, in batches.
    fn extend_record(&mut self, out: &mut Vec<Effect>) {
        let Some(sequence) = &self.sequence else {
            return;
        };
        let (length, extension) = (sequence.next().0, self.limits.record_extension);
        let (tokens, bytes) = self.recorded;
        if self.record_due.is_some()
            || length < extension.min_length
            || length < tokens + extension.batch
        {
            return;
        }
        let text = self.output.text().unwrap_or_default();
        out.push(Effect::ExtendRecord(RecordExtension {
            key: self.request.key.clone(),
            attempt: self.attempt,
            from: Position(tokens),
            tokens: sequence.tokens()[tokens as usize..].to_vec(),
            text: text[bytes..].to_owned(),
        }));
        self.recorded = (length, text.len());
    }

    pub(super) fn done(
        &mut self,
        now: Instant,
        connection: ConnectionId,
        done: &Done,
        out: &mut Vec<Effect>,
    ) {
        let (State::Reading(_), Some(sequence)) = (&self.state, &self.sequence) else {
            return;
        };
        match sequence.finish(done) {
            Verdict::Complete(reason) => match self.output.check_prefix() {
                Ok(()) => self.finish(connection, reason, out),
                Err(error) => self.diverged(now, error, out),
            },
            verdict => self.handle_verdict(now, connection, verdict, out),
        }
    }

    /// Handles a verdict other than an accepted token or the end of the answer.
    pub(super) fn handle_verdict(
        &mut self,
        now: Instant,
        connection: ConnectionId,
        verdict: Verdict,
        out: &mut Vec<Effect>,
    ) {
        match verdict {
            Verdict::Gap { .. } | Verdict::WrongRequest => {
                self.replace_connection(now, connection, out)
            }
            Verdict::WrongVersion | Verdict::Contradiction { .. } => {
                self.distrust_target(now, connection, out)
            }
            Verdict::Accepted
            | Verdict::Complete(_)
            | Verdict::Duplicate
            | Verdict::Superseded { .. } => {}
        }
    }

    /// Continues over another connection, because this one mixes up or loses events.
    pub(super) fn replace_connection(
        &mut self,
        now: Instant,
        connection: ConnectionId,
        out: &mut Vec<Effect>,
    ) {
        out.push(Effect::Close(connection));
        self.closed(now, connection, out);
    }

    /// Continues at another engine, because the events of this one are inconsistent.
    pub(super) fn distrust_target(
        &mut self,
        now: Instant,
        connection: ConnectionId,
        out: &mut Vec<Effect>,
    ) {
        if matches!(&self.state, State::Reading(reader) if reader.uses(connection)) {
            self.abandon_target(now, out);
        }
    }

    pub(super) fn closed(&mut self, now: Instant, connection: ConnectionId, out: &mut Vec<Effect>) {
        if let State::Reading(reader) = &mut self.state {
            let action = reader.connection_lost(connection);
            self.handle_loss(now, action, out);
        }
    }

    pub(super) fn handle_loss(&mut self, now: Instant, action: LossAction, out: &mut Vec<Effect>) {
        match action {
            LossAction::Probe => self.probe(now, out),
            LossAction::GiveUp => self.abandon_target(now, out),
            LossAction::Ignore | LossAction::Wait => {}
        }
    }

    pub(super) fn probe(&mut self, now: Instant, out: &mut Vec<Effect>) {
        let connection = self.next_connection();
        let from = self.next_position();
        let State::Reading(reader) = &mut self.state else {
            return;
        };
        reader.probe(connection, now);
        out.push(Effect::Resume {
            connection,
            stream: reader.stream().clone(),
            from,
        });
    }

    /// Handles a stream whose tokens are not those of the caller: reads the fallback stream, or
    /// fails if there is none. If there is one, the diverging stream belongs to another driver and
    /// is not cancelled.
    pub(super) fn diverged(&mut self, now: Instant, error: Incomplete, out: &mut Vec<Effect>) {
        if self.fallback.is_none() {
            return self.fail(error, out);
        }
        if let State::Reading(reader) = &self.state {
            out.extend(reader.connections().map(Effect::Close));
        }
        self.read_fallback(now, out);
    }

    /// Reads the fallback stream and returns whether there was one. It is tried only once.
    pub(super) fn read_fallback(&mut self, now: Instant, out: &mut Vec<Effect>) -> bool {
        let (State::Reading(reader), Some(fallback)) = (&self.state, self.fallback.take()) else {
            return false;
        };
        let timeouts = reader.timeouts();
        // The higher number makes the keepers discard the tokens recorded from the other sequence.
        let Some(number) = self.next_attempt else {
            return false;
        };
        self.attempt = number;
        self.next_attempt = DriverId::next_attempt(number);
        let (key, limit) = (self.request.key.clone(), self.request.max_tokens);
        let attempt = fallback.stream.attempt;
        self.sequence = Some(TokenSequence::new(key, fallback.version, attempt, limit));
        self.resume_stream(fallback.stream, None, timeouts, now, out);
        true
    }

    /// Cancels the stream and continues at another target.
    pub(super) fn abandon_target(&mut self, now: Instant, out: &mut Vec<Effect>) {
        self.abandon_stream(now, true, out);
    }

    fn abandon_stream(&mut self, now: Instant, exclude: bool, out: &mut Vec<Effect>) {
        let State::Reading(reader) = &self.state else {
            return;
        };
        if reader.failed_before_first_token() {
            self.failed_attempts += 1;
        }
        if exclude {
            self.excluded.push(reader.target().clone());
        }
        ending::close_and_cancel(reader, out);
        if self.output.check_prefix().is_err() && self.read_fallback(now, out) {
            return;
        }
        if self.failed_attempts > self.limits.max_failed_attempts {
            return self.fail(self.no_first_token_error(), out);
        }
        self.choose(now, out);
    }
}
