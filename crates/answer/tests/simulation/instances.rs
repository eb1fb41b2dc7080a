//! The simulated instances, which run the real state machines, and their callers.

use super::*;

impl Simulation {
    pub(super) fn input(&mut self, driver: usize, input: Input) {
        let instance = &mut self.instances[self.drivers[driver].instance];
        if instance.dead {
            return;
        }
        if instance.paused {
            return instance.queued.push((driver, input));
        }
        let mut effects = Vec::new();
        let now = self.instant();
        self.drivers[driver]
            .generation
            .step(now, input, &mut effects);
        self.apply(driver, effects);
    }

    pub(super) fn apply(&mut self, driver: usize, effects: Vec<Effect>) {
        for effect in effects {
            self.effect(driver, effect);
        }
    }

    pub(super) fn log_line(&mut self, driver: usize, text: String) {
        let instance = self.drivers[driver].instance;
        self.log
            .push(format!("{:>5} i{instance} {text}", self.now.as_millis()));
    }

    pub(super) fn effect(&mut self, driver: usize, effect: Effect) {
        match effect {
            Effect::ChooseTarget(criteria) => self.choose(driver, &criteria),
            Effect::Start(start) => {
                let stream = &start.stream;
                let text = format!(
                    "start {} at {} prefix {}",
                    short_attempt(stream.attempt),
                    stream.target,
                    start.prefix.len()
                );
                self.log_line(driver, text);
                let engine = engine_index(&stream.target);
                self.schedule(
                    NETWORK_DELAY,
                    Action::EngineCall(engine, EngineCall::Start(driver, start)),
                );
            }
            Effect::Resume {
                connection,
                stream,
                from,
            } => {
                let text = format!(
                    "resume {} at {} from {from}",
                    short_attempt(stream.attempt),
                    stream.target
                );
                self.log_line(driver, text);
                let call = EngineCall::Read(driver, connection, stream.attempt, from);
                self.schedule(
                    NETWORK_DELAY,
                    Action::EngineCall(engine_index(&stream.target), call),
                );
            }
            Effect::Close(connection) => {
                self.connections.remove(&(driver, connection));
            }
            Effect::Cancel(stream) => {
                self.log_line(
                    driver,
                    format!(
                        "cancel {} at {}",
                        short_attempt(stream.attempt),
                        stream.target
                    ),
                );
                let call = EngineCall::Cancel(stream.attempt);
                self.schedule(
                    NETWORK_DELAY,
                    Action::EngineCall(engine_index(&stream.target), call),
                );
            }
            Effect::PutRecord(record) => self.put_record(driver, &record),
            Effect::ExtendRecord(extension) => {
                self.log_line(
                    driver,
                    format!("extend {} from {}", extension.tokens.len(), extension.from),
                );
                let keepers = self.keepers.iter_mut();
                keepers.for_each(|keeper| keeper.extend(&extension));
            }
            Effect::RemoveRecord(key, attempt) => self
                .keepers
                .iter_mut()
                .for_each(|keeper| keeper.remove(&key, attempt)),
            Effect::NotifyInstance(instance, record) => {
                self.notify_instance(parse_index(instance.as_str()), &record)
            }
            Effect::QueryRecord(key) => {
                self.log_line(driver, "query record".to_owned());
                let record = self.record(&key);
                self.schedule(
                    NETWORK_DELAY * 2,
                    Action::Input(driver, Input::RecordQueried(record)),
                );
            }
            Effect::Emit(emit) => self.emit(driver, emit),
            Effect::Finish(finish) => {
                self.log_line(
                    driver,
                    format!("finish {} {}", finish.length, finish.version),
                );
                if let Some(caller) = self.connected_caller(driver) {
                    caller.finish = Some(finish);
                }
            }
            Effect::Fail(error) => {
                let text = match &error {
                    Incomplete::Superseded { .. } => "fail: superseded".to_owned(),
                    error => format!("fail: {error}"),
                };
                self.log_line(driver, text);
                // The caller's connection is closed. If its request was superseded, it reconnects.
                let superseded = matches!(error, Incomplete::Superseded { .. });
                let at = self.drivers[driver].caller;
                if let Some(caller) = self.connected_caller(driver) {
                    match superseded {
                        true => self.disconnect(at, true),
                        false => caller.failure = Some(error),
                    }
                }
            }
        }
    }

    pub(super) fn connected_caller(&mut self, driver: usize) -> Option<&mut Caller> {
        let caller = &mut self.callers[self.drivers[driver].caller];
        (caller.driver == Some(driver) && !caller.disconnected).then_some(caller)
    }

    pub(super) fn emit(&mut self, driver: usize, emit: Emit) {
        let now = self.now;
        let Some(caller) = self.connected_caller(driver) else {
            return;
        };
        caller.token_gaps.push(now - caller.last_token_at);
        caller.last_token_at = now;
        caller.tokens.push(emit);
        let count = self.callers[0].tokens.len();
        let (due, rest): (Vec<_>, Vec<_>) = std::mem::take(&mut self.triggers)
            .into_iter()
            .partition(|(at, _)| *at <= count);
        self.triggers = rest;
        for (_, fault) in due {
            self.inject(fault);
        }
    }

    pub(super) fn choose(&mut self, driver: usize, criteria: &TargetCriteria) {
        let fits = |loaded: &BTreeSet<VersionName>| match &criteria.version {
            Some(version) => loaded.get(version).cloned(),
            None => loaded.first().cloned(),
        };
        // Dead engines are included, because instances do not notice their failure at once.
        let found: Vec<(TargetName, VersionName)> = self
            .engines
            .iter()
            .enumerate()
            .map(|(at, engine)| (TargetName::new(format!("e{at}")), engine))
            .filter(|(name, _)| !criteria.excluded.contains(name))
            .filter_map(|(name, engine)| Some((name, fits(&engine.loaded)?)))
            .collect();
        let input = match found.choose(&mut self.rng) {
            Some((target, version)) => Input::Chosen(ChosenTarget {
                target: target.clone(),
                version: version.clone(),
                timeouts: timeouts(),
            }),
            None => Input::NoTarget,
        };
        self.schedule(Duration::ZERO, Action::Input(driver, input));
    }

    pub(super) fn put_record(&mut self, driver: usize, record: &KeeperRecord) {
        let now = self.instant();
        for at in 0..self.keepers.len() {
            let decoded = KeeperRecord::decode(&record.encode()).unwrap();
            if let Err(PutError::Fenced(higher)) = self.keepers[at].put(now, decoded) {
                self.schedule(
                    NETWORK_DELAY * 2,
                    Action::Input(driver, Input::Fenced(*higher)),
                );
            }
        }
    }

    pub(super) fn notify_instance(&mut self, instance: usize, record: &KeeperRecord) {
        for driver in 0..self.drivers.len() {
            if self.drivers[driver].instance == instance {
                let input = Input::Fenced(record.clone());
                self.schedule(NETWORK_DELAY, Action::Input(driver, input));
            }
        }
    }

    pub(super) fn record(&self, key: &RequestKey) -> Option<KeeperRecord> {
        self.keepers
            .iter()
            .filter_map(|keeper| keeper.get(self.instant(), key).cloned())
            .reduce(KeeperRecord::merge)
    }

    pub(super) fn connect(&mut self, caller: usize) {
        let live: Vec<usize> = (0..self.instances.len())
            .filter(|at| self.runs(*at))
            .collect();
        let first = self.drivers.iter().all(|driver| driver.caller != caller);
        let random = live.choose(&mut self.rng).copied();
        let Some(instance) = live.get(caller).copied().filter(|_| first).or(random) else {
            return self.schedule(RECONNECT_DELAY, Action::Connect(caller));
        };
        let request = self.request(instance);
        let codec = request.resume_token_codec(&ResumeTokenKey::new([7; 32]));
        let driver = DriverId::random(&mut self.rng);
        let (generation, effects) = self.generation(caller, request, codec, driver);
        self.drivers.push(Driver {
            instance,
            caller,
            generation,
        });
        let driver = self.drivers.len() - 1;
        self.callers[caller].driver = Some(driver);
        self.apply(driver, effects);
    }

    pub(super) fn generation(
        &mut self,
        caller: usize,
        request: Request,
        codec: ResumeTokenCodec,
        driver: DriverId,
    ) -> (Generation, Vec<Effect>) {
        let mut out = Vec::new();
        let now = self.instant();
        let limits = GenerationLimits {
            record_extension: self.record_extension,
            record_delay: self.record_delay,
            ..GenerationLimits::default()
        };
        let delivered = &self.callers[caller].tokens;
        let token = delivered
            .last()
            .map(|emit| codec.decode(&emit.resume_token).unwrap());
        let caller_tokens: Vec<TokenId> = delivered
            .iter()
            .filter(|_| self.sends_tokens)
            .map(|emit| emit.token)
            .collect();
        let record = self.record(&request.key);
        let plan = TakeOver::plan(driver, token.as_ref(), record.as_ref(), &caller_tokens).unwrap();
        let generation = match plan {
            Some(plan) => {
                let timeouts = timeouts();
                Generation::take_over(request, limits, codec, plan, timeouts, now, &mut out)
            }
            None => Generation::new(request, limits, codec, driver, now, &mut out),
        };
        (generation, out)
    }

    pub(super) fn request(&self, instance: usize) -> Request {
        Request {
            key: "r".into(),
            body_digest: Digest::of(b"body"),
            seed: SEED,
            max_tokens: self.limit,
            mode: self.mode,
            deadline: self.start_time + self.deadline,
            instance: format!("i{instance}").as_str().into(),
        }
    }
}
