//! The instances, which drive the real state machines, and their callers.

use super::*;

impl World {
    pub(super) fn input(&mut self, drive: usize, input: Input) {
        let router = &mut self.routers[self.drives[drive].router];
        if router.dead {
            return;
        }
        if router.paused {
            return router.held.push((drive, input));
        }
        let mut effects = Vec::new();
        let now = self.instant();
        self.drives[drive].generation.step(now, input, &mut effects);
        self.apply(drive, effects);
    }

    pub(super) fn apply(&mut self, drive: usize, effects: Vec<Effect>) {
        for effect in effects {
            self.effect(drive, effect);
        }
    }

    pub(super) fn note(&mut self, drive: usize, text: String) {
        let router = self.drives[drive].router;
        self.log
            .push(format!("{:>5} r{router} {text}", self.now.as_millis()));
    }

    pub(super) fn effect(&mut self, drive: usize, effect: Effect) {
        match effect {
            Effect::ChooseTarget(criteria) => self.choose(drive, &criteria),
            Effect::Start(start) => {
                let stream = &start.stream;
                let text = format!(
                    "start {} at {} prefix {}",
                    short(stream.attempt),
                    stream.target,
                    start.prefix.len()
                );
                self.note(drive, text);
                let engine = index(&stream.target);
                self.after(WIRE, Act::Call(engine, Call::Start(drive, start)));
            }
            Effect::Resume {
                connection,
                stream,
                from,
            } => {
                let text = format!(
                    "resume {} at {} from {from}",
                    short(stream.attempt),
                    stream.target
                );
                self.note(drive, text);
                let call = Call::Read(drive, connection, stream.attempt, from);
                self.after(WIRE, Act::Call(index(&stream.target), call));
            }
            Effect::Close(connection) => {
                self.connections.remove(&(drive, connection));
            }
            Effect::Cancel(stream) => {
                self.note(
                    drive,
                    format!("cancel {} at {}", short(stream.attempt), stream.target),
                );
                let call = Call::Cancel(stream.attempt);
                self.after(WIRE, Act::Call(index(&stream.target), call));
            }
            Effect::PutRecord(record) => self.keep(drive, &record),
            Effect::ExtendRecord(copy) => {
                self.note(
                    drive,
                    format!("copy {} from {}", copy.tokens.len(), copy.from),
                );
                let keepers = self.keepers.iter_mut();
                keepers.for_each(|keeper| keeper.extend(&copy));
            }
            Effect::RemoveRecord(key, attempt) => self
                .keepers
                .iter_mut()
                .for_each(|keeper| keeper.remove(&key, attempt)),
            Effect::NotifyInstance(instance, record) => {
                self.tell(index_of(instance.as_str()), &record)
            }
            Effect::QueryRecord(key) => {
                self.note(drive, "review".to_owned());
                let record = self.record(&key);
                self.after(WIRE * 2, Act::Input(drive, Input::RecordQueried(record)));
            }
            Effect::Emit(emit) => self.emit(drive, emit),
            Effect::Finish(finish) => {
                self.note(
                    drive,
                    format!("finish {} {}", finish.length, finish.version),
                );
                if let Some(caller) = self.listener(drive) {
                    caller.finish = Some(finish);
                }
            }
            Effect::Fail(error) => {
                let text = match &error {
                    Incomplete::Superseded { .. } => "fail: superseded".to_owned(),
                    error => format!("fail: {error}"),
                };
                self.note(drive, text);
                // The connection ends; a caller whose request was superseded connects anew.
                let superseded = matches!(error, Incomplete::Superseded { .. });
                let at = self.drives[drive].caller;
                if let Some(caller) = self.listener(drive) {
                    match superseded {
                        true => self.part(at, true),
                        false => caller.failure = Some(error),
                    }
                }
            }
        }
    }

    pub(super) fn listener(&mut self, drive: usize) -> Option<&mut Caller> {
        let caller = &mut self.callers[self.drives[drive].caller];
        (caller.drive == Some(drive) && !caller.left).then_some(caller)
    }

    pub(super) fn emit(&mut self, drive: usize, emit: Emit) {
        let now = self.now;
        let Some(caller) = self.listener(drive) else {
            return;
        };
        caller.stalls.push(now - caller.last);
        caller.last = now;
        caller.tokens.push(emit);
        let count = self.callers[0].tokens.len();
        let (hit, rest): (Vec<_>, Vec<_>) = std::mem::take(&mut self.triggers)
            .into_iter()
            .partition(|(at, _)| *at <= count);
        self.triggers = rest;
        for (_, fault) in hit {
            self.inject(fault);
        }
    }

    pub(super) fn choose(&mut self, drive: usize, criteria: &TargetCriteria) {
        let fits = |loaded: &BTreeSet<VersionName>| match &criteria.version {
            Some(version) => loaded.get(version).cloned(),
            None => loaded.first().cloned(),
        };
        // Instances don't know at once which engines are dead.
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
        self.after(Duration::ZERO, Act::Input(drive, input));
    }

    pub(super) fn keep(&mut self, drive: usize, record: &KeeperRecord) {
        let now = self.instant();
        for at in 0..self.keepers.len() {
            let copy = KeeperRecord::decode(&record.encode()).unwrap();
            if let Err(PutError::Fenced(higher)) = self.keepers[at].put(now, copy) {
                self.after(WIRE * 2, Act::Input(drive, Input::Fenced(*higher)));
            }
        }
    }

    pub(super) fn tell(&mut self, router: usize, record: &KeeperRecord) {
        for drive in 0..self.drives.len() {
            if self.drives[drive].router == router {
                let input = Input::Fenced(record.clone());
                self.after(WIRE, Act::Input(drive, input));
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
        let live: Vec<usize> = (0..self.routers.len())
            .filter(|at| self.runs(*at))
            .collect();
        let first = self.drives.iter().all(|drive| drive.caller != caller);
        let drawn = live.choose(&mut self.rng).copied();
        let Some(router) = live.get(caller).copied().filter(|_| first).or(drawn) else {
            return self.after(RECONNECT, Act::Connect(caller));
        };
        let request = self.request(router);
        let codec = request.resume_token_codec(&ResumeTokenKey::new([7; 32]));
        let driver = DriverId::random(&mut self.rng);
        let (generation, effects) = self.generation(caller, request, codec, driver);
        self.drives.push(Drive {
            router,
            caller,
            generation,
        });
        let drive = self.drives.len() - 1;
        self.callers[caller].drive = Some(drive);
        self.apply(drive, effects);
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
            record_extension: self.copies,
            record_delay: self.settle,
            ..GenerationLimits::default()
        };
        let shown = &self.callers[caller].tokens;
        let token = shown
            .last()
            .map(|emit| codec.decode(&emit.resume_token).unwrap());
        let brought: Vec<TokenId> = shown
            .iter()
            .filter(|_| self.brings)
            .map(|emit| emit.token)
            .collect();
        let record = self.record(&request.key);
        let plan = TakeOver::plan(driver, token.as_ref(), record.as_ref(), &brought).unwrap();
        let generation = match plan {
            Some(plan) => {
                let timeouts = timeouts();
                Generation::take_over(request, limits, codec, plan, timeouts, now, &mut out)
            }
            None => Generation::new(request, limits, codec, driver, now, &mut out),
        };
        (generation, out)
    }

    pub(super) fn request(&self, router: usize) -> Request {
        Request {
            key: "r".into(),
            body_digest: Digest::of(b"body"),
            seed: SEED,
            max_tokens: self.limit,
            mode: self.mode,
            deadline: self.base + self.deadline,
            instance: format!("r{router}").as_str().into(),
        }
    }
}
