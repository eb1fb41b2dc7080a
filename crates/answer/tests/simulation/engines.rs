//! The simulated engines and their connections.

use celerypond_answer::{ConnectionId, Done, Event, FinishReason, Frame, Input, Refusal, Start};
use celerypond_types::{Attempt, Position, TokenId};

use super::*;

impl Simulation {
    pub(super) fn serve(&mut self, at: usize, call: EngineCall) {
        let engine = &mut self.engines[at];
        if engine.dead {
            return self.refuse(&call, None);
        }
        if engine.paused {
            return engine.queued.push(call);
        }
        match call {
            EngineCall::Start(driver, start) => self.start(at, driver, start),
            EngineCall::Read(driver, connection, attempt, from) => {
                self.read(at, driver, connection, attempt, from)
            }
            EngineCall::Cancel(attempt) => {
                if let Some(stream) = engine.streams.get_mut(&attempt) {
                    stream.cancelled = true;
                    let readers = self.readers(at, attempt);
                    readers.into_iter().for_each(|key| self.close(key));
                }
            }
        }
    }

    pub(super) fn refuse(&mut self, call: &EngineCall, refusal: Option<Refusal>) {
        let (driver, connection) = match call {
            EngineCall::Start(driver, start) => (*driver, start.connection),
            EngineCall::Read(driver, connection, ..) => (*driver, *connection),
            EngineCall::Cancel(_) => return,
        };
        let input = refusal.map_or(Input::Closed(connection), |why| {
            Input::Refused(connection, why)
        });
        self.schedule(NETWORK_DELAY, Action::Input(driver, input));
    }

    pub(super) fn start(&mut self, at: usize, driver: usize, start: Start) {
        if !self.engines[at].loaded.contains(&start.version) {
            return self.refuse(
                &EngineCall::Start(driver, start),
                Some(Refusal::VersionNotLoaded),
            );
        }
        let attempt = start.stream.attempt;
        let stream = EngineStream {
            version: start.version,
            prefix_len: start.prefix.len(),
            tokens: start.prefix,
            limit: self.limit as usize,
            cancelled: false,
        };
        let from = Position(stream.prefix_len as u32);
        self.engines[at].streams.insert(attempt, stream);
        self.read(at, driver, start.connection, attempt, from);
        let gap = TOKEN_GAP + self.engines[at].extra_delay;
        self.schedule(gap, Action::Write(at, attempt));
    }

    pub(super) fn read(
        &mut self,
        at: usize,
        driver: usize,
        connection: ConnectionId,
        attempt: Attempt,
        from: Position,
    ) {
        let prefix_len = self.engines[at]
            .streams
            .get(&attempt)
            .filter(|stream| !stream.cancelled)
            .map(|stream| stream.prefix_len);
        if prefix_len.is_none_or(|prefix_len| from.0 < prefix_len as u32) {
            let call = EngineCall::Read(driver, connection, attempt, from);
            return self.refuse(&call, Some(Refusal::Gone));
        }
        let opened = Connection {
            engine: at,
            attempt,
            next: from.0 as usize,
            silent: false,
        };
        self.connections.insert((driver, connection), opened);
        self.schedule(
            NETWORK_DELAY,
            Action::Input(driver, Input::Opened(connection)),
        );
        self.send_new_frames((driver, connection));
    }

    pub(super) fn write(&mut self, at: usize, attempt: Attempt) {
        let nondeterministic = self.nondeterministic;
        let engine = &mut self.engines[at];
        if engine.dead {
            return;
        }
        if engine.paused {
            return self.schedule(TOKEN_GAP, Action::Write(at, attempt));
        }
        let Some(stream) = engine.streams.get_mut(&attempt) else {
            return;
        };
        if stream.cancelled || stream.tokens.len() >= stream.limit {
            return;
        }
        let before = prefix_hash(&stream.version, &stream.tokens);
        let noise = if nondeterministic { attempt.0 } else { 0 };
        let token = TokenId(before as u32 ^ noise);
        stream.tokens.push(token);
        self.provenance
            .insert((before, token), stream.version.clone());
        self.generated += 1;
        let gap = TOKEN_GAP + self.engines[at].extra_delay;
        self.schedule(gap, Action::Write(at, attempt));
        for key in self.readers(at, attempt) {
            self.send_new_frames(key);
        }
    }

    pub(super) fn readers(&self, at: usize, attempt: Attempt) -> Vec<(usize, ConnectionId)> {
        self.connections
            .iter()
            .filter(|(_, connection)| connection.engine == at && connection.attempt == attempt)
            .map(|(key, _)| *key)
            .collect()
    }

    /// Sends the tokens of a stream that were not yet sent over the connection.
    pub(super) fn send_new_frames(&mut self, key: (usize, ConnectionId)) {
        let Some(connection) = self
            .connections
            .get_mut(&key)
            .filter(|connection| !connection.silent)
        else {
            return;
        };
        let stream = &self.engines[connection.engine].streams[&connection.attempt];
        let (from, attempt) = (connection.next, connection.attempt);
        connection.next = stream.tokens.len();
        let frames: Vec<Frame> = (from..stream.tokens.len())
            .map(|at| Frame {
                request: "r".into(),
                attempt,
                version: stream.version.clone(),
                position: Position(at as u32),
                token: stream.tokens[at],
                text: format!("{} ", stream.tokens[at].0).into(),
            })
            .collect();
        let is_complete = stream.tokens.len() == stream.limit;
        for frame in frames {
            self.send(key, frame);
        }
        if is_complete {
            self.send_done(key, attempt, self.limit, FinishReason::Length);
        }
    }

    pub(super) fn send(&mut self, (driver, connection): (usize, ConnectionId), frame: Frame) {
        let mut send = |frame: Frame| {
            let input = Input::Event(connection, Event::Frame(frame));
            self.scheduled += 1;
            self.queue.insert(
                (self.now + NETWORK_DELAY, self.scheduled),
                Action::Input(driver, input),
            );
        };
        match self.frame_faults.pop() {
            None => send(frame),
            Some(FrameFault::Drop) => {}
            Some(FrameFault::Duplicate) => {
                send(frame.clone());
                send(frame);
            }
            Some(FrameFault::WrongRequest) => send(Frame {
                request: "another".into(),
                token: TokenId(1),
                ..frame
            }),
            Some(FrameFault::WrongVersion) => send(Frame {
                version: "v2".into(),
                token: TokenId(1),
                ..frame
            }),
            Some(FrameFault::WrongToken) if frame.position.0 < WRONG_TOKEN_OFFSET => send(frame),
            Some(FrameFault::WrongToken) => send(Frame {
                position: Position(frame.position.0 - WRONG_TOKEN_OFFSET),
                token: TokenId(1),
                ..frame
            }),
            Some(FrameFault::Malformed) => self.schedule(
                NETWORK_DELAY,
                Action::Input(driver, Input::Malformed(connection)),
            ),
            Some(FrameFault::EarlyEnd) => {
                let (attempt, length) = (frame.attempt, frame.position.0);
                self.send_done((driver, connection), attempt, length, FinishReason::Length);
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
        self.schedule(NETWORK_DELAY, Action::Input(key.0, input));
    }

    pub(super) fn close(&mut self, key: (usize, ConnectionId)) {
        let connection = self.connections.remove(&key);
        if connection.is_some_and(|connection| !connection.silent) {
            self.schedule(NETWORK_DELAY, Action::Input(key.0, Input::Closed(key.1)));
        }
    }

    pub(super) fn close_all(&mut self, at: usize) {
        let keys: Vec<_> = self
            .connections
            .iter()
            .filter(|(_, connection)| connection.engine == at)
            .map(|(key, _)| *key)
            .collect();
        keys.into_iter().for_each(|key| self.close(key));
    }
}
