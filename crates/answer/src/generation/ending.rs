//! The ends of an answer.

use tokio::time::Instant;

use super::{Generation, State};
use crate::{
    stream_reader::StreamReader, ConnectionId, Effect, Finish, FinishReason, Incomplete,
    KeeperRecord,
};

impl Generation {
    pub(super) fn finish(
        &mut self,
        connection: ConnectionId,
        reason: FinishReason,
        out: &mut Vec<Effect>,
    ) {
        let state = std::mem::replace(&mut self.state, State::Over);
        if let State::Reading(reader) = state {
            let others = reader.connections().filter(|held| *held != connection);
            out.extend(others.map(Effect::Close));
        }
        out.extend(self.remove_record());
        let Some(sequence) = &self.sequence else {
            return;
        };
        out.push(Effect::Finish(Finish {
            reason,
            length: sequence.next(),
            version: sequence.version().clone(),
            text: self.output.text().map(str::to_owned),
        }));
    }

    pub(super) fn fail(&mut self, error: Incomplete, out: &mut Vec<Effect>) {
        if let State::Reading(reader) = std::mem::replace(&mut self.state, State::Over) {
            close_and_cancel(&reader, out);
        }
        out.extend(self.remove_record());
        out.push(Effect::Fail(error));
    }

    /// Gives up in favour of another driver.
    ///
    /// A stream that has had a token goes on: the other driver may read it, or a caller may come
    /// back with a resume token that names it. One without a token is stopped, as nobody knows it.
    pub(super) fn fenced(&mut self, record: &KeeperRecord, out: &mut Vec<Effect>) {
        if record.attempt() <= self.attempt || self.is_over() {
            return;
        }
        let state = std::mem::replace(&mut self.state, State::Over);
        if let State::Reading(reader)
        | State::QueryingRecord {
            reader: Some(reader),
            ..
        } = state
        {
            if reader.has_token() {
                out.extend(reader.connections().map(Effect::Close));
            } else {
                close_and_cancel(&reader, out);
            }
        }
        out.push(Effect::Fail(Incomplete::Superseded {
            attempt: record.attempt(),
        }));
    }

    /// Asks the keepers before it stops a stream that nobody reads here.
    ///
    /// The failure: a caller's connection here is lost, and it reads on at another instance. The
    /// symptom would be that this instance stops the very stream that the other one reads. The
    /// keepers' record names a later driver if there is one; without their word nothing is stopped.
    pub(super) fn query_record(&mut self, now: Instant, out: &mut Vec<Effect>) {
        let state = std::mem::replace(&mut self.state, State::Over);
        let reader = match state {
            State::Reading(reader) => Some(reader),
            _ => None,
        };
        let due = now + self.limits.query_timeout;
        self.state = State::QueryingRecord { due, reader };
        out.push(Effect::QueryRecord(self.request.key.clone()));
    }

    pub(super) fn record_queried(&mut self, record: Option<&KeeperRecord>, out: &mut Vec<Effect>) {
        if !matches!(self.state, State::QueryingRecord { .. }) {
            return;
        }
        match record {
            Some(record) if record.attempt() > self.attempt => self.fenced(record, out),
            _ => self.abandon(true, out),
        }
    }

    pub(super) fn abandon(&mut self, is_confirmed: bool, out: &mut Vec<Effect>) {
        let state = std::mem::replace(&mut self.state, State::Over);
        if let State::QueryingRecord {
            reader: Some(reader),
            ..
        } = state
        {
            if is_confirmed {
                close_and_cancel(&reader, out);
            } else {
                out.extend(reader.connections().map(Effect::Close));
            }
        }
        if is_confirmed {
            out.extend(self.remove_record());
        }
        out.push(Effect::Fail(Incomplete::Abandoned));
    }

    pub(super) fn deadline_error(&self) -> Incomplete {
        match (&self.state, &self.sequence) {
            (State::Choosing { .. }, Some(sequence)) => Incomplete::NoTarget {
                version: sequence.version().clone(),
            },
            (State::Choosing { .. }, None) => Incomplete::NotStarted,
            _ => Incomplete::Deadline,
        }
    }

    pub(super) const fn no_first_token_error(&self) -> Incomplete {
        Incomplete::NoFirstToken {
            attempts: self.failed_attempts,
        }
    }
}

/// Closes the connections of a stream and stops it.
pub(super) fn close_and_cancel(reader: &StreamReader, out: &mut Vec<Effect>) {
    out.extend(reader.connections().map(Effect::Close));
    out.push(Effect::Cancel(reader.stream().clone()));
}
