//! The engines, and what fails.

use super::*;

impl Model {
    pub(super) fn start(&mut self, at: usize, start: Start) {
        let engine = number(&start.stream.target);
        if self.engines[engine].dead {
            return self.reply(at, Input::Closed(start.connection), 2 * WIRE_US);
        }
        let known = if self.way.prefix {
            start.prefix.len() as u32
        } else {
            0
        };
        let answer = &self.answers[at];
        let written = Written {
            answer: at,
            attempt: start.stream.attempt,
            first: start.prefix.len() as u32,
            next: known,
            unread: answer.prompt + u64::from(known),
            reader: Some((start.connection, start.prefix.len() as u32)),
            silent: false,
        };
        self.engines[engine].streams.push(written);
        if self.engines[engine].paused <= self.now {
            self.reply(at, Input::Opened(start.connection), 2 * WIRE_US);
        }
        self.wake(engine);
    }

    pub(super) fn resume(
        &mut self,
        at: usize,
        link: ConnectionId,
        stream: &StreamId,
        from: Position,
    ) {
        let engine = number(&stream.target);
        let state = &mut self.engines[engine];
        if state.dead || (!self.way.probe && self.answers[at].conn == 0) {
            return self.reply(at, Input::Closed(link), 2 * WIRE_US);
        }
        if state.paused > self.now {
            return;
        }
        let found = state
            .streams
            .iter_mut()
            .find(|written| written.answer == at && written.attempt == stream.attempt);
        let Some(written) = found.filter(|written| from.0 >= written.first) else {
            return self.reply(at, Input::Refused(link, Refusal::Gone), 2 * WIRE_US);
        };
        written.reader = Some((link, from.0));
        written.silent = false;
        let (attempt, next) = (written.attempt, written.next);
        let trips = self.way.trips;
        self.reply(at, Input::Opened(link), 2 * WIRE_US * trips);
        let frames: Vec<Frame> = (from.0..next).map(|p| frame(at, attempt, p)).collect();
        for frame in frames {
            let input = Input::Event(link, Event::Frame(frame));
            self.reply(at, input, 2 * WIRE_US * trips);
        }
        if let Some(written) = self.written(engine, at, attempt) {
            written.reader = Some((link, next));
        }
    }

    pub(super) fn written(
        &mut self,
        engine: usize,
        at: usize,
        attempt: Attempt,
    ) -> Option<&mut Written> {
        self.engines[engine]
            .streams
            .iter_mut()
            .find(|written| written.answer == at && written.attempt == attempt)
    }

    pub(super) fn close(&mut self, at: usize, link: ConnectionId) {
        for engine in &mut self.engines {
            for written in &mut engine.streams {
                if written.answer == at && written.reader.is_some_and(|(held, _)| held == link) {
                    written.reader = None;
                }
            }
        }
    }

    pub(super) fn cancel(&mut self, at: usize, stream: &StreamId) {
        let engine = number(&stream.target);
        let now = self.now;
        let state = &mut self.engines[engine];
        state.ejected = state.ejected.max(now + EJECTION_US);
        // A paused engine is told again until it answers, so it stops the stream first of all.
        state
            .streams
            .retain(|written| written.answer != at || written.attempt != stream.attempt);
        self.release(at);
    }

    pub(super) fn wake(&mut self, engine: usize) {
        if !self.engines[engine].stepping {
            self.engines[engine].stepping = true;
            let delay = self.step_time(engine);
            self.after(delay, Act::Step(engine));
        }
    }

    pub(super) fn step_time(&mut self, engine: usize) -> u64 {
        let gap = self.rng.random_range(GAP_US.0..GAP_US.1);
        let streams = &self.engines[engine].streams;
        let read: u64 = streams
            .iter()
            .map(|written| written.unread.min(CHUNK))
            .sum();
        gap + read * PREFILL_US
    }

    pub(super) fn step(&mut self, engine: usize) {
        let state = &mut self.engines[engine];
        if state.dead {
            return;
        }
        if state.paused > self.now {
            let delay = state.paused - self.now;
            return self.after(delay, Act::Step(engine));
        }
        let mut sent = Vec::new();
        for written in &mut state.streams {
            if written.unread > 0 {
                written.unread -= written.unread.min(CHUNK);
                continue;
            }
            let position = written.next;
            written.next += 1;
            self.answers[written.answer].generated += 1;
            let Some((link, next)) = &mut written.reader else {
                continue;
            };
            if written.silent || position < *next {
                continue;
            }
            *next = position + 1;
            sent.push((
                written.answer,
                *link,
                frame(written.answer, written.attempt, position),
            ));
        }
        for (at, link, frame) in sent {
            self.reply(at, Input::Event(link, Event::Frame(frame)), WIRE_US);
        }
        let delay = self.step_time(engine);
        self.after(delay, Act::Step(engine));
    }

    pub(super) fn strike(&mut self) {
        self.fault_at = self.now;
        if self.struck {
            return self.strike_again();
        }
        self.struck = true;
        if self.fault == Fault::Later {
            self.after(LATER_US, Act::Fault);
        }
        let count = if self.fault.third() {
            self.engines.len() / 3
        } else {
            1
        };
        for engine in 0..count {
            let hit: Vec<(usize, Option<(ConnectionId, u32)>)> = self.engines[engine]
                .streams
                .iter()
                .map(|written| (written.answer, written.reader))
                .collect();
            for (at, _) in &hit {
                self.answers[*at].hit = true;
                self.watch(*at);
            }
            match self.fault {
                Fault::Death | Fault::Later | Fault::Third => self.kill(engine, &hit),
                Fault::Silence => self.engines[engine]
                    .streams
                    .iter_mut()
                    .for_each(|written| written.silent = true),
                Fault::Pause => self.engines[engine].paused = self.now + 10_000_000,
                Fault::Router => self.drop_connections(&hit),
                Fault::Both => {
                    self.engines[engine].dead = true;
                    self.engines[engine].ejected = u64::MAX;
                    self.drop_connections(&hit);
                }
            }
        }
    }

    /// Lets the instances die of the answers that the first fault hit.
    fn strike_again(&mut self) {
        let mut hit = Vec::new();
        for (at, answer) in self.answers.iter_mut().enumerate() {
            if answer.hit && !answer.over {
                answer.resumed = false;
                answer.longest = 0;
                hit.push((at, None));
            }
        }
        self.drop_connections(&hit);
    }

    pub(super) fn kill(&mut self, engine: usize, hit: &[(usize, Option<(ConnectionId, u32)>)]) {
        self.engines[engine].dead = true;
        self.engines[engine].ejected = u64::MAX;
        for (at, reader) in hit {
            if let Some((link, _)) = reader {
                self.reply(*at, Input::Closed(*link), WIRE_US);
            }
        }
    }

    pub(super) fn drop_connections(&mut self, hit: &[(usize, Option<(ConnectionId, u32)>)]) {
        for (at, _) in hit {
            self.answers[*at].conn += 1;
            self.answers[*at].down = true;
            self.after(RECONNECT_US, Act::Reconnect(*at));
        }
    }
}
