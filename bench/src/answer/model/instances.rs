//! Simulated instances, which run the real state machines of the `answer` crate.

use super::*;

impl Model {
    pub(super) fn handle_input(&mut self, answer_index: usize, input: Input) {
        let now = self.now_instant();
        let answer = &mut self.answers[answer_index];
        if answer.is_finished || answer.is_disconnected {
            return;
        }
        let before = answer.generation.next_tick();
        let mut effects = Vec::new();
        answer.generation.step(now, input, &mut effects);
        let due = answer.generation.next_tick();
        self.apply_effects(answer_index, effects);
        // A token arrives about every 40 ms, so a tick is scheduled only when its time changes, and
        // not before the fault, because no answer stalls until then.
        if due.is_some() && due != before && self.fault_injected {
            self.schedule_tick(answer_index);
        }
    }

    /// Schedules the next tick of the answer's state machine.
    pub(super) fn schedule_tick(&mut self, answer_index: usize) {
        if let Some(due) = self.answers[answer_index].generation.next_tick() {
            let left = due.saturating_duration_since(self.now_instant());
            self.schedule(left.as_micros() as u64, SimEvent::Tick(answer_index));
        }
    }

    pub(super) fn apply_effects(&mut self, answer_index: usize, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::ChooseTarget(criteria) => {
                    self.choose_target(answer_index, &criteria.excluded, criteria.is_resume)
                }
                Effect::Start(start) => self.start_stream(answer_index, start),
                Effect::Resume {
                    connection,
                    stream,
                    from,
                } => self.resume_stream(answer_index, connection, &stream, from),
                Effect::Close(connection) => self.close_connection(answer_index, connection),
                Effect::Cancel(stream) => self.cancel_stream(answer_index, &stream),
                Effect::PutRecord(record) => self.answers[answer_index].record = Some(record),
                Effect::Emit(emit) => self.deliver_token(answer_index, emit.resume_token.as_str()),
                Effect::Fail(_) => self.answers[answer_index].is_finished = true,
                Effect::ExtendRecord(_)
                | Effect::RemoveRecord(..)
                | Effect::NotifyInstance(..)
                | Effect::QueryRecord(_)
                | Effect::Finish(_) => {}
            }
        }
    }

    pub(super) fn deliver_token(&mut self, answer_index: usize, resume_token: &str) {
        let now = self.now_us;
        let answer = &mut self.answers[answer_index];
        let gap = now - answer.last_token_us;
        let is_first_token = answer.delivered_tokens == 0;
        answer.delivered_tokens += 1;
        answer.last_token_us = now;
        resume_token.clone_into(&mut answer.resume_token);
        // A token that was in transit when the fault occurred doesn't count as a resume.
        let is_after_fault = self.fault_injected && now > self.last_fault_us + NETWORK_DELAY_US;
        if is_after_fault
            && !(answer.hit_by_fault && answer.resumed)
            && (answer.arrived_us == 0 || is_first_token)
        {
            answer.resumed = answer.hit_by_fault;
            answer.longest_gap_us = answer.longest_gap_us.max(gap);
        }
        if answer.delivered_tokens >= answer.length_tokens {
            answer.is_finished = true;
            let length = answer.length_tokens;
            for engine in &mut self.engines {
                engine.streams.retain(|stream| {
                    stream.answer_index != answer_index || stream.next_position < length
                });
            }
        }
        self.release_grant(answer_index);
    }

    /// Releases the resume slot that the answer holds, and grants it to the next waiting answer.
    pub(super) fn release_grant(&mut self, answer_index: usize) {
        let Some(target) = self.answers[answer_index].granted_target.take() else {
            return;
        };
        if let Some(scheduler) = &mut self.scheduler {
            scheduler.release(target);
        }
        self.grant_resumes();
    }

    pub(super) fn choose_target(
        &mut self,
        answer_index: usize,
        excluded: &[TargetName],
        is_resume: bool,
    ) {
        let last = self.epoch + Duration::from_micros(self.answers[answer_index].last_token_us);
        match &mut self.scheduler {
            Some(scheduler) if is_resume => {
                let waiter = scheduler.enqueue(self.version, last);
                self.waiters.insert(waiter, answer_index);
                self.grant_resumes();
            }
            Some(scheduler) if !scheduler.admits_new(self.version) => {
                self.waiting_new.push_back(answer_index)
            }
            _ => {
                let target = self.pick_engine(excluded, |_| true);
                self.schedule_choice(answer_index, target);
            }
        }
    }

    pub(super) fn grant_resumes(&mut self) {
        loop {
            let Some(mut scheduler) = self.scheduler.take() else {
                return;
            };
            let grant = scheduler.grant(|_, free| {
                let target = self.pick_engine(&[], free)?;
                Some(self.engines[target].key)
            });
            let admits = scheduler.admits_new(self.version);
            self.scheduler = Some(scheduler);
            let Some(grant) = grant else {
                if admits {
                    self.start_waiting_answers();
                }
                return;
            };
            if let Some(answer_index) = self.waiters.remove(&grant.waiter) {
                self.answers[answer_index].granted_target = Some(grant.target);
                self.schedule_choice(answer_index, Some(self.engine_by_key[&grant.target]));
            }
        }
    }

    pub(super) fn start_waiting_answers(&mut self) {
        while let Some(answer_index) = self.waiting_new.pop_front() {
            let target = self.pick_engine(&[], |_| true);
            self.schedule_choice(answer_index, target);
        }
    }

    pub(super) fn schedule_choice(&mut self, answer_index: usize, target: Option<usize>) {
        let timeouts = self.timeouts_of(answer_index);
        let input = match target {
            Some(target) => Input::Chosen(ChosenTarget {
                target: target.to_string().as_str().into(),
                version: "v1".into(),
                timeouts,
            }),
            None => Input::NoTarget,
        };
        let connection_epoch = self.answers[answer_index].connection_epoch;
        self.schedule(0, SimEvent::Input(answer_index, connection_epoch, input));
    }

    pub(super) fn timeouts_of(&self, answer_index: usize) -> Timeouts {
        let answer = &self.answers[answer_index];
        let tokens = answer.prompt_tokens + u64::from(answer.delivered_tokens);
        let prefill = Duration::from_micros(PREFILL_TOKEN_US * tokens);
        Timeouts {
            first_token: self.timeouts.first_token + prefill * 2,
            ..self.timeouts
        }
    }

    /// Picks the less loaded of two random engines that are neither ejected nor excluded.
    pub(super) fn pick_engine(
        &mut self,
        excluded: &[TargetName],
        is_allowed: impl Fn(TargetKey) -> bool,
    ) -> Option<usize> {
        let now = self.now_us;
        let candidates: Vec<usize> = (0..self.engines.len())
            .filter(|engine_index| {
                self.engines[*engine_index].ejected_until_us <= now
                    && is_allowed(self.engines[*engine_index].key)
            })
            .filter(|engine_index| {
                !excluded
                    .iter()
                    .any(|name| name.as_str() == engine_index.to_string())
            })
            .collect();
        if candidates.is_empty() {
            return None;
        }
        let first = candidates[self.rng.random_range(0..candidates.len())];
        let second = candidates[self.rng.random_range(0..candidates.len())];
        let load = |engine_index: usize| self.engines[engine_index].streams.len();
        Some(if load(first) <= load(second) {
            first
        } else {
            second
        })
    }

    pub(super) fn schedule_reply(&mut self, answer_index: usize, input: Input, delay: u64) {
        let connection_epoch = self.answers[answer_index].connection_epoch;
        self.schedule(
            delay,
            SimEvent::Input(answer_index, connection_epoch, input),
        );
    }

    /// Continues the answer at another instance, under the policy of the run.
    pub(super) fn reconnect(&mut self, answer_index: usize) {
        for engine in &mut self.engines {
            let streams = engine.streams.iter_mut();
            streams
                .filter(|stream| stream.answer_index == answer_index)
                .for_each(|stream| stream.reader = None);
        }
        self.answers[answer_index].is_disconnected = false;
        let request = self.request(answer_index);
        let codec = codec(&request);
        let delivered = self.answers[answer_index].delivered_tokens;
        let token = codec.decode(&self.answers[answer_index].resume_token).ok();
        let delivered_tokens: Vec<TokenId> = (0..delivered)
            .map(|position| token_at(answer_index, position))
            .collect();
        let record = self.answers[answer_index].record.clone();
        let (record, caller_prefix) = self.policy.takeover.inputs(record, &delivered_tokens);
        let driver = DriverId::random(&mut self.rng);
        let plan = TakeOver::plan(driver, token.as_ref(), record.as_ref(), &caller_prefix);
        let limits = limits();
        let now = self.now_instant();
        let mut effects = Vec::new();
        let timeouts = self.timeouts_of(answer_index);
        self.answers[answer_index].generation = match plan {
            Ok(Some(plan)) if self.policy.takeover != TakeOverPolicy::Restart => {
                Generation::take_over(request, limits, codec, plan, timeouts, now, &mut effects)
            }
            _ => self.restart_from_zero(answer_index, request, codec, driver, &mut effects),
        };
        self.apply_effects(answer_index, effects);
        self.schedule_tick(answer_index);
    }

    /// Generates the answer from the first token; tokens that the caller already has are skipped.
    pub(super) fn restart_from_zero(
        &mut self,
        answer_index: usize,
        request: Request,
        codec: ResumeTokenCodec,
        driver: DriverId,
        effects: &mut Vec<Effect>,
    ) -> Generation {
        for engine in &mut self.engines {
            engine
                .streams
                .retain(|stream| stream.answer_index != answer_index);
        }
        let plan = TakeOver {
            attempt: driver.first_attempt(),
            origin: celerypond_answer::Origin {
                attempt: driver.first_attempt(),
                stream: StreamId {
                    target: "0".into(),
                    attempt: driver.first_attempt(),
                },
                version: "v1".into(),
                seed: answer_index as u64,
            },
            fallback: None,
            previous_instance: None,
            delivered: Position(self.answers[answer_index].delivered_tokens),
            digest: codec
                .decode(&self.answers[answer_index].resume_token)
                .map(|token| token.digest)
                .unwrap_or_default(),
            prefix: Vec::new(),
            text: String::new(),
        };
        let limits = limits();
        let (now, timeouts) = (self.now_instant(), self.timeouts_of(answer_index));
        Generation::take_over(request, limits, codec, plan, timeouts, now, effects)
    }
}
