//! Simulated engines, and the injection of faults.

use super::*;

impl Model {
    pub(super) fn start_stream(&mut self, answer_index: usize, start: Start) {
        let engine = engine_index(&start.stream.target);
        if self.engines[engine].is_dead {
            return self.schedule_reply(
                answer_index,
                Input::Closed(start.connection),
                2 * NETWORK_DELAY_US,
            );
        }
        let prefix_tokens = if self.policy.sends_prefix {
            start.prefix.len() as u32
        } else {
            0
        };
        let answer = &self.answers[answer_index];
        let stream = EngineStream {
            answer_index,
            attempt: start.stream.attempt,
            first_position: start.prefix.len() as u32,
            next_position: prefix_tokens,
            unread_tokens: answer.prompt_tokens + u64::from(prefix_tokens),
            reader: Some((start.connection, start.prefix.len() as u32)),
            is_silent: false,
        };
        self.engines[engine].streams.push(stream);
        if self.engines[engine].paused_until_us <= self.now_us {
            self.schedule_reply(
                answer_index,
                Input::Opened(start.connection),
                2 * NETWORK_DELAY_US,
            );
        }
        self.schedule_step(engine);
    }

    pub(super) fn resume_stream(
        &mut self,
        answer_index: usize,
        connection: ConnectionId,
        stream_id: &StreamId,
        from: Position,
    ) {
        let engine = engine_index(&stream_id.target);
        let state = &mut self.engines[engine];
        if state.is_dead
            || (!self.policy.probes_engine && self.answers[answer_index].connection_epoch == 0)
        {
            return self.schedule_reply(
                answer_index,
                Input::Closed(connection),
                2 * NETWORK_DELAY_US,
            );
        }
        if state.paused_until_us > self.now_us {
            return;
        }
        let found = state.streams.iter_mut().find(|stream| {
            stream.answer_index == answer_index && stream.attempt == stream_id.attempt
        });
        let Some(stream) = found.filter(|stream| from.0 >= stream.first_position) else {
            return self.schedule_reply(
                answer_index,
                Input::Refused(connection, Refusal::Gone),
                2 * NETWORK_DELAY_US,
            );
        };
        stream.reader = Some((connection, from.0));
        stream.is_silent = false;
        let (attempt, next) = (stream.attempt, stream.next_position);
        let round_trips = self.policy.probe_round_trips;
        self.schedule_reply(
            answer_index,
            Input::Opened(connection),
            2 * NETWORK_DELAY_US * round_trips,
        );
        let frames: Vec<Frame> = (from.0..next)
            .map(|position| frame(answer_index, attempt, position))
            .collect();
        for frame in frames {
            let input = Input::Event(connection, Event::Frame(frame));
            self.schedule_reply(answer_index, input, 2 * NETWORK_DELAY_US * round_trips);
        }
        if let Some(stream) = self.stream_mut(engine, answer_index, attempt) {
            stream.reader = Some((connection, next));
        }
    }

    pub(super) fn stream_mut(
        &mut self,
        engine: usize,
        answer_index: usize,
        attempt: Attempt,
    ) -> Option<&mut EngineStream> {
        self.engines[engine]
            .streams
            .iter_mut()
            .find(|stream| stream.answer_index == answer_index && stream.attempt == attempt)
    }

    pub(super) fn close_connection(&mut self, answer_index: usize, connection: ConnectionId) {
        for engine in &mut self.engines {
            for stream in &mut engine.streams {
                if stream.answer_index == answer_index
                    && stream
                        .reader
                        .is_some_and(|(reader, _)| reader == connection)
                {
                    stream.reader = None;
                }
            }
        }
    }

    pub(super) fn cancel_stream(&mut self, answer_index: usize, stream_id: &StreamId) {
        let engine = engine_index(&stream_id.target);
        let now = self.now_us;
        let state = &mut self.engines[engine];
        state.ejected_until_us = state.ejected_until_us.max(now + EJECTION_US);
        // The cancellation is repeated until a paused engine answers, so the engine ends the stream
        // before it generates anything else.
        state.streams.retain(|stream| {
            stream.answer_index != answer_index || stream.attempt != stream_id.attempt
        });
        self.release_grant(answer_index);
    }

    pub(super) fn schedule_step(&mut self, engine: usize) {
        if !self.engines[engine].is_stepping {
            self.engines[engine].is_stepping = true;
            let delay = self.step_duration(engine);
            self.schedule(delay, SimEvent::EngineStep(engine));
        }
    }

    pub(super) fn step_duration(&mut self, engine: usize) -> u64 {
        let gap = self.rng.random_range(DECODE_GAP_US.0..DECODE_GAP_US.1);
        let streams = &self.engines[engine].streams;
        let chunk_tokens: u64 = streams
            .iter()
            .map(|stream| stream.unread_tokens.min(PREFILL_CHUNK_TOKENS))
            .sum();
        gap + chunk_tokens * PREFILL_TOKEN_US
    }

    pub(super) fn step_engine(&mut self, engine: usize) {
        let state = &mut self.engines[engine];
        if state.is_dead {
            return;
        }
        if state.paused_until_us > self.now_us {
            let delay = state.paused_until_us - self.now_us;
            return self.schedule(delay, SimEvent::EngineStep(engine));
        }
        let mut sent = Vec::new();
        for stream in &mut state.streams {
            if stream.unread_tokens > 0 {
                stream.unread_tokens -= stream.unread_tokens.min(PREFILL_CHUNK_TOKENS);
                continue;
            }
            let position = stream.next_position;
            stream.next_position += 1;
            self.answers[stream.answer_index].generated_tokens += 1;
            let Some((connection, next)) = &mut stream.reader else {
                continue;
            };
            if stream.is_silent || position < *next {
                continue;
            }
            *next = position + 1;
            sent.push((
                stream.answer_index,
                *connection,
                frame(stream.answer_index, stream.attempt, position),
            ));
        }
        for (answer_index, connection, frame) in sent {
            self.schedule_reply(
                answer_index,
                Input::Event(connection, Event::Frame(frame)),
                NETWORK_DELAY_US,
            );
        }
        let delay = self.step_duration(engine);
        self.schedule(delay, SimEvent::EngineStep(engine));
    }

    pub(super) fn inject_fault(&mut self) {
        self.last_fault_us = self.now_us;
        if self.fault_injected {
            return self.kill_instances_of_hit_answers();
        }
        self.fault_injected = true;
        if self.fault == Fault::EngineThenInstanceDeath {
            self.schedule(SECOND_FAULT_DELAY_US, SimEvent::Fault);
        }
        let count = if self.fault.hits_third_of_engines() {
            self.engines.len() / 3
        } else {
            1
        };
        for engine in 0..count {
            let hit_streams: Vec<(usize, Option<(ConnectionId, u32)>)> = self.engines[engine]
                .streams
                .iter()
                .map(|stream| (stream.answer_index, stream.reader))
                .collect();
            for (answer_index, _) in &hit_streams {
                self.answers[*answer_index].hit_by_fault = true;
                self.schedule_tick(*answer_index);
            }
            match self.fault {
                Fault::EngineDeath
                | Fault::EngineThenInstanceDeath
                | Fault::ThirdOfEnginesDeath => self.kill_engine(engine, &hit_streams),
                Fault::SilentConnections => self.engines[engine]
                    .streams
                    .iter_mut()
                    .for_each(|stream| stream.is_silent = true),
                Fault::EnginePause => {
                    self.engines[engine].paused_until_us = self.now_us + 10_000_000
                }
                Fault::InstanceDeath => self.disconnect_answers(&hit_streams),
                Fault::EngineAndInstanceDeath => {
                    self.engines[engine].is_dead = true;
                    self.engines[engine].ejected_until_us = u64::MAX;
                    self.disconnect_answers(&hit_streams);
                }
            }
        }
    }

    /// Kills the instances that deliver the answers hit by the first fault.
    fn kill_instances_of_hit_answers(&mut self) {
        let mut hit_streams = Vec::new();
        for (answer_index, answer) in self.answers.iter_mut().enumerate() {
            if answer.hit_by_fault && !answer.is_finished {
                answer.resumed = false;
                answer.longest_gap_us = 0;
                hit_streams.push((answer_index, None));
            }
        }
        self.disconnect_answers(&hit_streams);
    }

    pub(super) fn kill_engine(
        &mut self,
        engine: usize,
        hit_streams: &[(usize, Option<(ConnectionId, u32)>)],
    ) {
        self.engines[engine].is_dead = true;
        self.engines[engine].ejected_until_us = u64::MAX;
        for (answer_index, reader) in hit_streams {
            if let Some((connection, _)) = reader {
                self.schedule_reply(*answer_index, Input::Closed(*connection), NETWORK_DELAY_US);
            }
        }
    }

    pub(super) fn disconnect_answers(
        &mut self,
        hit_streams: &[(usize, Option<(ConnectionId, u32)>)],
    ) {
        for (answer_index, _) in hit_streams {
            self.answers[*answer_index].connection_epoch += 1;
            self.answers[*answer_index].is_disconnected = true;
            self.schedule(RECONNECT_US, SimEvent::Reconnect(*answer_index));
        }
    }
}
