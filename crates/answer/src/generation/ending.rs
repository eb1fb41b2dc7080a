//! Ending an answer.

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
            let others = reader.connections().filter(|other| *other != connection);
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

    /// Ends the answer in favour of another driver.
    ///
    /// A stream that has generated a token is kept: the other driver may be reading it, or the
    /// caller may send a resume token that refers to it. A stream without a token is cancelled, as
    /// no one else refers to it.
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

    /// Queries the record at the keepers before the answer is abandoned.
    ///
    /// The caller may have reconnected at another instance, which reads the same stream; cancelling
    /// it here would break that instance's answer. The record shows whether there is a later
    /// driver. If the keepers don't reply, the stream is not cancelled.
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

/// Closes the connections of a stream and cancels it.
pub(super) fn close_and_cancel(reader: &StreamReader, out: &mut Vec<Effect>) {
    out.extend(reader.connections().map(Effect::Close));
    out.push(Effect::Cancel(reader.stream().clone()));
}
