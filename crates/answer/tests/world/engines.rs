//! The fake engines and their connections.

use celerypond_answer::{ConnectionId, Done, Event, FinishReason, Frame, Input, Refusal, Start};
use celerypond_types::{Attempt, Position, TokenId};

use super::*;

impl World {
    pub(super) fn serve(&mut self, at: usize, call: Call) {
        let engine = &mut self.engines[at];
        if engine.dead {
            return self.refuse(&call, None);
        }
        if engine.paused {
            return engine.held.push(call);
        }
        match call {
            Call::Start(drive, start) => self.start(at, drive, start),
            Call::Read(drive, connection, attempt, from) => {
                self.read(at, drive, connection, attempt, from)
            }
            Call::Cancel(attempt) => {
                if let Some(written) = engine.streams.get_mut(&attempt) {
                    written.cancelled = true;
                    let readers = self.readers(at, attempt);
                    readers.into_iter().for_each(|key| self.hang_up(key));
                }
            }
        }
    }

    pub(super) fn refuse(&mut self, call: &Call, refusal: Option<Refusal>) {
        let (drive, connection) = match call {
            Call::Start(drive, start) => (*drive, start.connection),
            Call::Read(drive, connection, ..) => (*drive, *connection),
            Call::Cancel(_) => return,
        };
        let input = refusal.map_or(Input::Closed(connection), |why| {
            Input::Refused(connection, why)
        });
        self.after(WIRE, Act::Input(drive, input));
    }

    pub(super) fn start(&mut self, at: usize, drive: usize, start: Start) {
        if !self.engines[at].loaded.contains(&start.version) {
            return self.refuse(&Call::Start(drive, start), Some(Refusal::VersionNotLoaded));
        }
        let attempt = start.stream.attempt;
        let written = Written {
            version: start.version,
            first: start.prefix.len(),
            tokens: start.prefix,
            limit: self.limit as usize,
            cancelled: false,
        };
        let from = Position(written.first as u32);
        self.engines[at].streams.insert(attempt, written);
        self.read(at, drive, start.connection, attempt, from);
        let gap = GAP + self.engines[at].slow;
        self.after(gap, Act::Write(at, attempt));
    }

    pub(super) fn read(
        &mut self,
        at: usize,
        drive: usize,
        connection: ConnectionId,
        attempt: Attempt,
        from: Position,
    ) {
        let first = self.engines[at]
            .streams
            .get(&attempt)
            .filter(|written| !written.cancelled)
            .map(|written| written.first);
        if first.is_none_or(|first| from.0 < first as u32) {
            let call = Call::Read(drive, connection, attempt, from);
            return self.refuse(&call, Some(Refusal::Gone));
        }
        let reading = Reading {
            engine: at,
            attempt,
            next: from.0 as usize,
            silent: false,
        };
        self.connections.insert((drive, connection), reading);
        self.after(WIRE, Act::Input(drive, Input::Opened(connection)));
        self.pump((drive, connection));
    }

    pub(super) fn write(&mut self, at: usize, attempt: Attempt) {
        let drifts = self.drifts;
        let engine = &mut self.engines[at];
        if engine.dead {
            return;
        }
        if engine.paused {
            return self.after(GAP, Act::Write(at, attempt));
        }
        let Some(written) = engine.streams.get_mut(&attempt) else {
            return;
        };
        if written.cancelled || written.tokens.len() >= written.limit {
            return;
        }
        let before = state(&written.version, &written.tokens);
        let drift = if drifts { attempt.0 } else { 0 };
        let token = TokenId(before as u32 ^ drift);
        written.tokens.push(token);
        self.lineage
            .insert((before, token), written.version.clone());
        self.generated += 1;
        let gap = GAP + self.engines[at].slow;
        self.after(gap, Act::Write(at, attempt));
        for key in self.readers(at, attempt) {
            self.pump(key);
        }
    }

    pub(super) fn readers(&self, at: usize, attempt: Attempt) -> Vec<(usize, ConnectionId)> {
        self.connections
            .iter()
            .filter(|(_, reading)| reading.engine == at && reading.attempt == attempt)
            .map(|(key, _)| *key)
            .collect()
    }

    /// Sends what a connection has not had yet.
    pub(super) fn pump(&mut self, key: (usize, ConnectionId)) {
        let Some(reading) = self
            .connections
            .get_mut(&key)
            .filter(|reading| !reading.silent)
        else {
            return;
        };
        let written = &self.engines[reading.engine].streams[&reading.attempt];
        let (from, attempt) = (reading.next, reading.attempt);
        reading.next = written.tokens.len();
        let frames: Vec<Frame> = (from..written.tokens.len())
            .map(|at| Frame {
                request: "r".into(),
                attempt,
                version: written.version.clone(),
                position: Position(at as u32),
                token: written.tokens[at],
                text: format!("{} ", written.tokens[at].0).into(),
            })
            .collect();
        let whole = written.tokens.len() == written.limit;
        for frame in frames {
            self.send(key, frame);
        }
        if whole {
            self.send_done(key, attempt, self.limit, FinishReason::Length);
        }
    }

    pub(super) fn send(&mut self, (drive, connection): (usize, ConnectionId), frame: Frame) {
        let mut send = |frame: Frame| {
            let input = Input::Event(connection, Event::Frame(frame));
            self.turn += 1;
            self.queue
                .insert((self.now + WIRE, self.turn), Act::Input(drive, input));
        };
        match self.damage.pop() {
            None => send(frame),
            Some(Damage::Drop) => {}
            Some(Damage::Double) => {
                send(frame.clone());
                send(frame);
            }
            Some(Damage::Cross) => send(Frame {
                request: "another".into(),
                token: TokenId(1),
                ..frame
            }),
            Some(Damage::Version) => send(Frame {
                version: "v2".into(),
                token: TokenId(1),
                ..frame
            }),
            Some(Damage::Token) if frame.position.0 < REPEATED => send(frame),
            Some(Damage::Token) => send(Frame {
                position: Position(frame.position.0 - REPEATED),
                token: TokenId(1),
                ..frame
            }),
            Some(Damage::Garble) => {
                self.after(WIRE, Act::Input(drive, Input::Malformed(connection)))
            }
            Some(Damage::End) => {
                let (attempt, length) = (frame.attempt, frame.position.0);
                self.send_done((drive, connection), attempt, length, FinishReason::Length);
            }
        }
    }

    pub(super) fn send_done(
        &mut self,
        key: (usize, ConnectionId),
        attempt: Attempt,
        length: u32,
        reason: FinishReason,
    ) {
        let done = Done {
            request: "r".into(),
            attempt,
            length: Position(length),
            reason,
        };
        let input = Input::Event(key.1, Event::Done(done));
        self.after(WIRE, Act::Input(key.0, input));
    }

    pub(super) fn hang_up(&mut self, key: (usize, ConnectionId)) {
        let reading = self.connections.remove(&key);
        if reading.is_some_and(|reading| !reading.silent) {
            self.after(WIRE, Act::Input(key.0, Input::Closed(key.1)));
        }
    }

    pub(super) fn hang_up_all(&mut self, at: usize) {
        let keys: Vec<_> = self
            .connections
            .iter()
            .filter(|(_, reading)| reading.engine == at)
            .map(|(key, _)| *key)
            .collect();
        keys.into_iter().for_each(|key| self.hang_up(key));
    }
}
