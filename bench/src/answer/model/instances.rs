//! The instances, which drive the real state machines.

use super::*;

impl Model {
    pub(super) fn input(&mut self, at: usize, input: Input) {
        let now = self.instant();
        let answer = &mut self.answers[at];
        if answer.over || answer.down {
            return;
        }
        let before = answer.generation.next_tick();
        let mut out = Vec::new();
        answer.generation.step(now, input, &mut out);
        let due = answer.generation.next_tick();
        self.apply(at, out);
        // With a token each 40 ms the next tick is only looked at now and then.
        // Before the fault nothing stalls.
        if due.is_some() && due != before && self.struck {
            self.watch(at);
        }
    }

    /// Sees to it that the next tick comes.
    pub(super) fn watch(&mut self, at: usize) {
        if let Some(due) = self.answers[at].generation.next_tick() {
            let left = due.saturating_duration_since(self.instant());
            self.after(left.as_micros() as u64, Act::Tick(at));
        }
    }

    pub(super) fn apply(&mut self, at: usize, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::ChooseTarget(criteria) => {
                    self.choose(at, &criteria.excluded, criteria.is_resume)
                }
                Effect::Start(start) => self.start(at, start),
                Effect::Resume {
                    connection: link,
                    stream,
                    from,
                } => self.resume(at, link, &stream, from),
                Effect::Close(link) => self.close(at, link),
                Effect::Cancel(stream) => self.cancel(at, &stream),
                Effect::PutRecord(record) => self.answers[at].record = Some(record),
                Effect::Emit(emit) => self.emit(at, emit.resume_token.as_str()),
                Effect::Fail(_) => self.answers[at].over = true,
                Effect::ExtendRecord(_)
                | Effect::RemoveRecord(..)
                | Effect::NotifyInstance(..)
                | Effect::QueryRecord(_)
                | Effect::Finish(_) => {}
            }
        }
    }

    pub(super) fn emit(&mut self, at: usize, id: &str) {
        let now = self.now;
        let answer = &mut self.answers[at];
        let gap = now - answer.last;
        let first = answer.shown == 0;
        answer.shown += 1;
        answer.last = now;
        id.clone_into(&mut answer.id);
        // What was on its way when the fault came is not a resume.
        let after = self.struck && now > self.fault_at + WIRE_US;
        if after && !(answer.hit && answer.resumed) && (answer.born == 0 || first) {
            answer.resumed = answer.hit;
            answer.longest = answer.longest.max(gap);
        }
        if answer.shown >= answer.length {
            answer.over = true;
            let length = answer.length;
            for engine in &mut self.engines {
                engine
                    .streams
                    .retain(|written| written.answer != at || written.next < length);
            }
        }
        self.release(at);
    }

    /// Gives back the place of a resume, and starts what waits for it.
    pub(super) fn release(&mut self, at: usize) {
        let Some(target) = self.answers[at].granted.take() else {
            return;
        };
        if let Some(scheduler) = &mut self.scheduler {
            scheduler.release(target);
        }
        self.grant();
    }

    pub(super) fn choose(&mut self, at: usize, avoid: &[TargetName], resumes: bool) {
        let last = self.base + Duration::from_micros(self.answers[at].last);
        match &mut self.scheduler {
            Some(scheduler) if resumes => {
                let waiter = scheduler.enqueue(self.version, last);
                self.waiters.insert(waiter, at);
                self.grant();
            }
            Some(scheduler) if !scheduler.admits_new(self.version) => self.held.push_back(at),
            _ => {
                let target = self.pick(avoid, |_| true);
                self.chosen(at, target);
            }
        }
    }

    pub(super) fn grant(&mut self) {
        loop {
            let Some(mut scheduler) = self.scheduler.take() else {
                return;
            };
            let grant = scheduler.grant(|_, free| {
                let target = self.pick(&[], free)?;
                Some(self.engines[target].key)
            });
            let admits = scheduler.admits_new(self.version);
            self.scheduler = Some(scheduler);
            let Some(grant) = grant else {
                if admits {
                    self.admit();
                }
                return;
            };
            if let Some(at) = self.waiters.remove(&grant.waiter) {
                self.answers[at].granted = Some(grant.target);
                self.chosen(at, Some(self.index[&grant.target]));
            }
        }
    }

    pub(super) fn admit(&mut self) {
        while let Some(at) = self.held.pop_front() {
            let target = self.pick(&[], |_| true);
            self.chosen(at, target);
        }
    }

    pub(super) fn chosen(&mut self, at: usize, target: Option<usize>) {
        let timeouts = self.timeouts(at);
        let input = match target {
            Some(target) => Input::Chosen(ChosenTarget {
                target: target.to_string().as_str().into(),
                version: "v1".into(),
                timeouts,
            }),
            None => Input::NoTarget,
        };
        let conn = self.answers[at].conn;
        self.after(0, Act::Input(at, conn, input));
    }

    pub(super) fn timeouts(&self, at: usize) -> Timeouts {
        let answer = &self.answers[at];
        let tokens = answer.prompt + u64::from(answer.shown);
        let read = Duration::from_micros(PREFILL_US * tokens);
        Timeouts {
            first_token: self.timeouts.first_token + read * 2,
            ..self.timeouts
        }
    }

    /// Chooses the less loaded of two engines that are not known to be out.
    pub(super) fn pick(
        &mut self,
        avoid: &[TargetName],
        fits: impl Fn(TargetKey) -> bool,
    ) -> Option<usize> {
        let now = self.now;
        let fit: Vec<usize> = (0..self.engines.len())
            .filter(|at| self.engines[*at].ejected <= now && fits(self.engines[*at].key))
            .filter(|at| !avoid.iter().any(|name| name.as_str() == at.to_string()))
            .collect();
        if fit.is_empty() {
            return None;
        }
        let one = fit[self.rng.random_range(0..fit.len())];
        let two = fit[self.rng.random_range(0..fit.len())];
        let load = |at: usize| self.engines[at].streams.len();
        Some(if load(one) <= load(two) { one } else { two })
    }

    pub(super) fn reply(&mut self, at: usize, input: Input, delay: u64) {
        let conn = self.answers[at].conn;
        self.after(delay, Act::Input(at, conn, input));
    }

    /// Goes on at another instance, in the way that is weighed.
    pub(super) fn reconnect(&mut self, at: usize) {
        for engine in &mut self.engines {
            let streams = engine.streams.iter_mut();
            streams
                .filter(|written| written.answer == at)
                .for_each(|written| written.reader = None);
        }
        self.answers[at].down = false;
        let request = self.request(at);
        let codec = codec(&request);
        let shown = self.answers[at].shown;
        let token = codec.decode(&self.answers[at].id).ok();
        let all: Vec<TokenId> = (0..shown).map(|position| token_of(at, position)).collect();
        let record = self.answers[at].record.clone();
        let (record, brought) = self.way.takeover.known(record, &all);
        let driver = DriverId::random(&mut self.rng);
        let plan = TakeOver::plan(driver, token.as_ref(), record.as_ref(), &brought);
        let limits = limits();
        let now = self.instant();
        let mut out = Vec::new();
        let timeouts = self.timeouts(at);
        self.answers[at].generation = match plan {
            Ok(Some(plan)) if self.way.takeover != TakeOverWay::Restart => {
                Generation::take_over(request, limits, codec, plan, timeouts, now, &mut out)
            }
            _ => self.anew(at, request, codec, driver, &mut out),
        };
        self.apply(at, out);
        self.watch(at);
    }

    /// Starts from zero; the caller passes over what it has already.
    pub(super) fn anew(
        &mut self,
        at: usize,
        request: Request,
        codec: ResumeTokenCodec,
        driver: DriverId,
        out: &mut Vec<Effect>,
    ) -> Generation {
        for engine in &mut self.engines {
            engine.streams.retain(|written| written.answer != at);
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
                seed: at as u64,
            },
            fallback: None,
            previous_instance: None,
            delivered: Position(self.answers[at].shown),
            digest: codec
                .decode(&self.answers[at].id)
                .map(|token| token.digest)
                .unwrap_or_default(),
            prefix: Vec::new(),
            text: String::new(),
        };
        let limits = limits();
        let (now, timeouts) = (self.instant(), self.timeouts(at));
        Generation::take_over(request, limits, codec, plan, timeouts, now, out)
    }
}
