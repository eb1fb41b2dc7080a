//! Small fakes around the decisions: engines, instances, keepers and callers in virtual time.
//!
//! Token n of a fake engine depends on version, seed and all tokens before it, so an answer that
//! was continued from a wrong prefix, or joined from two, shows.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use celerypond_answer::{
    Choice, Chosen, Copies, Done, Driver, Effect, Emit, Event, Finish, Frame, Generation,
    GenerationLimits, Incomplete, Input, Keeper, KeeperRecord, Link, Mode, Patience, Reason,
    Refusal, Request, Seal, SealKey, Start, TakeOver,
};
use celerypond_types::{Attempt, Digest, Position, RequestKey, TargetName, TokenId, VersionName};
use rand::{rngs::StdRng, seq::IndexedRandom, Rng, SeedableRng};
use tokio::time::Instant;

pub(crate) const GAP: Duration = Duration::from_millis(20);
const WIRE: Duration = Duration::from_millis(1);
const RECONNECT: Duration = Duration::from_millis(30);
/// How far back a contradicting token lies, so that it never takes the place of a lost one.
const REPEATED: u32 = 5;
const SEED: u64 = 42;
const LONG: Duration = Duration::from_secs(600);

/// The engine that writes the first caller's answer, or the instance that drives it.
pub(crate) const CURRENT: usize = usize::MAX;

/// A fault, or the end of one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Fault {
    Kill(usize),
    Pause(usize, Duration),
    Wake(usize),
    /// All open connections to the engine go silent for good.
    Silence(usize),
    /// The engine answers at once, but takes this long for a token.
    Slow(usize, Duration),
    Load(usize, VersionName),
    Unload(usize),
    KillRouter(usize),
    PauseRouter(usize, Duration),
    WakeRouter(usize),
    /// The caller's connection ends, and it connects anew.
    Reconnect(usize),
    /// The caller's connection ends for good.
    Leave(usize),
    LoseKeepers,
    /// What happens to the next frame on its way.
    Frame(Damage),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Damage {
    Drop,
    Double,
    Cross,
    Garble,
    Version,
    Token,
    /// The stream is said to be whole here.
    End,
}

pub(crate) const DAMAGES: [Damage; 7] = [
    Damage::Drop,
    Damage::Double,
    Damage::Cross,
    Damage::Garble,
    Damage::Version,
    Damage::Token,
    Damage::End,
];

#[derive(Default)]
struct Engine {
    slow: Duration,
    loaded: BTreeSet<VersionName>,
    dead: bool,
    paused: bool,
    held: Vec<Call>,
    streams: BTreeMap<Attempt, Written>,
}

struct Written {
    version: VersionName,
    first: usize,
    tokens: Vec<TokenId>,
    limit: usize,
    cancelled: bool,
}

#[derive(Clone)]
enum Call {
    Start(usize, Start),
    Read(usize, Link, Attempt, Position),
    Cancel(Attempt),
}

struct Reading {
    engine: usize,
    attempt: Attempt,
    next: usize,
    silent: bool,
}

struct Router {
    dead: bool,
    paused: bool,
    held: Vec<(usize, Input)>,
}

struct Drive {
    router: usize,
    caller: usize,
    generation: Generation,
}

#[derive(Default)]
pub(crate) struct Caller {
    pub(crate) tokens: Vec<Emit>,
    pub(crate) finish: Option<Finish>,
    pub(crate) failure: Option<Incomplete>,
    pub(crate) stalls: Vec<Duration>,
    drive: Option<usize>,
    left: bool,
    last: Duration,
}

enum Act {
    Input(usize, Input),
    Call(usize, Call),
    Write(usize, Attempt),
    Fault(Fault),
    Connect(usize),
}

pub(crate) struct World {
    pub(crate) callers: Vec<Caller>,
    pub(crate) log: Vec<String>,
    pub(crate) mode: Mode,
    pub(crate) limit: u32,
    pub(crate) seed: u64,
    pub(crate) brings: bool,
    pub(crate) copies: Copies,
    /// Whether engines of one version and seed give different tokens, as real ones may.
    pub(crate) drifts: bool,
    pub(crate) generated: usize,
    pub(crate) deadline: Duration,
    engines: Vec<Engine>,
    routers: Vec<Router>,
    drives: Vec<Drive>,
    links: BTreeMap<(usize, Link), Reading>,
    keepers: Vec<Keeper>,
    queue: BTreeMap<(Duration, u64), Act>,
    triggers: Vec<(usize, Fault)>,
    damage: Vec<Damage>,
    lineage: BTreeMap<(u64, TokenId), VersionName>,
    base: Instant,
    now: Duration,
    turn: u64,
    rng: StdRng,
}

fn mix(state: u64, value: u64) -> u64 {
    (state ^ value)
        .wrapping_mul(0x9e37_79b9_7f4a_7c15)
        .rotate_left(23)
}

fn state(version: &VersionName, tokens: &[TokenId]) -> u64 {
    let start = version
        .as_str()
        .bytes()
        .fold(SEED, |state, byte| mix(state, byte.into()));
    tokens
        .iter()
        .fold(start, |state, token| mix(state, token.0.into()))
}

/// The whole answer of a version.
pub(crate) fn reference(version: &str, limit: u32) -> Vec<TokenId> {
    (0..limit).fold(Vec::new(), |mut tokens, _| {
        tokens.push(TokenId(state(&version.into(), &tokens) as u32));
        tokens
    })
}

impl World {
    pub(crate) fn new(engines: usize, routers: usize, seed: u64) -> Self {
        let engine = || Engine {
            loaded: BTreeSet::from(["v1".into()]),
            ..Engine::default()
        };
        let router = || Router {
            dead: false,
            paused: false,
            held: Vec::new(),
        };
        Self {
            callers: Vec::new(),
            log: Vec::new(),
            mode: Mode::Streamed,
            limit: 200,
            seed,
            brings: false,
            copies: GenerationLimits::default().copies,
            drifts: false,
            generated: 0,
            deadline: Duration::from_secs(60),
            engines: (0..engines).map(|_| engine()).collect(),
            routers: (0..routers).map(|_| router()).collect(),
            drives: Vec::new(),
            links: BTreeMap::new(),
            keepers: vec![Keeper::default(), Keeper::default()],
            queue: BTreeMap::new(),
            triggers: Vec::new(),
            damage: Vec::new(),
            lineage: BTreeMap::new(),
            base: Instant::now(),
            now: Duration::ZERO,
            turn: 0,
            rng: StdRng::seed_from_u64(seed),
        }
    }

    pub(crate) fn call(&mut self) -> usize {
        self.callers.push(Caller::default());
        self.after(Duration::ZERO, Act::Connect(self.callers.len() - 1));
        self.callers.len() - 1
    }

    /// Lets `fault` happen once the first caller has `tokens` tokens.
    pub(crate) fn when(&mut self, tokens: usize, fault: Fault) {
        if tokens == 0 {
            return self.later(WIRE * 3, fault);
        }
        self.triggers.push((tokens, fault));
    }

    /// Lets `fault` happen after `delay`.
    pub(crate) fn later(&mut self, delay: Duration, fault: Fault) {
        self.after(delay, Act::Fault(fault));
    }

    /// Runs until nothing is left to do.
    pub(crate) fn run(&mut self) -> &mut Self {
        while self.turn() {}
        self
    }

    /// The first of a caller's tokens that no engine generated after exactly the ones before it, or
    /// that differs from the reference.
    pub(crate) fn fault(&self, caller: usize) -> Option<String> {
        let caller = &self.callers[caller];
        let tokens: Vec<TokenId> = caller.tokens.iter().map(|emit| emit.token).collect();
        let versions = ["v1", "v2"];
        let version = versions.into_iter().find(|version| {
            (0..tokens.len()).all(|at| {
                let before = state(&(*version).into(), &tokens[..at]);
                self.lineage.get(&(before, tokens[at])) == Some(&VersionName::new(version))
            })
        });
        let Some(version) = version else {
            return Some(format!("lineage of {} tokens is broken", tokens.len()));
        };
        let gap = caller
            .tokens
            .iter()
            .enumerate()
            .position(|(at, emit)| emit.position.0 as usize != at);
        if let Some(at) = gap {
            return Some(format!("positions are not contiguous at {at}"));
        }
        if !self.drifts && !reference(version, self.limit).starts_with(&tokens) {
            return Some(format!("tokens are not the reference of {version}"));
        }
        let finish = caller.finish.as_ref()?;
        let whole = match &finish.text {
            Some(text) => *text == self.text(finish.version.as_str()),
            None => tokens.len() == self.limit as usize,
        };
        (!whole).then(|| "a part passed for the whole".to_owned())
    }

    fn text(&self, version: &str) -> String {
        reference(version, self.limit)
            .iter()
            .map(|token| format!("{} ", token.0))
            .collect()
    }

    fn after(&mut self, delay: Duration, act: Act) {
        self.turn += 1;
        self.queue.insert((self.now + delay, self.turn), act);
    }

    fn instant(&self) -> Instant {
        self.base + self.now
    }

    fn turn(&mut self) -> bool {
        let due = self
            .drives
            .iter()
            .enumerate()
            .filter(|(_, drive)| self.runs(drive.router))
            .filter_map(|(at, drive)| Some((drive.generation.due()? - self.base, at)))
            .min();
        let next = self.queue.keys().next().copied();
        let tick = due.filter(|(due, _)| next.is_none_or(|(at, _)| *due < at));
        if let Some((due, drive)) = tick {
            self.now = self.now.max(due);
            self.input(drive, Input::Tick);
            return true;
        }
        let Some((key, act)) = self.queue.pop_first() else {
            return false;
        };
        self.now = self.now.max(key.0);
        self.act(act);
        self.now < LONG
    }

    fn runs(&self, router: usize) -> bool {
        !self.routers[router].dead && !self.routers[router].paused
    }

    fn act(&mut self, act: Act) {
        match act {
            Act::Input(drive, input) => self.input(drive, input),
            Act::Call(engine, call) => self.serve(engine, call),
            Act::Write(engine, attempt) => self.write(engine, attempt),
            Act::Fault(fault) => self.inject(fault),
            Act::Connect(caller) => self.connect(caller),
        }
    }

    fn input(&mut self, drive: usize, input: Input) {
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

    fn apply(&mut self, drive: usize, effects: Vec<Effect>) {
        for effect in effects {
            self.effect(drive, effect);
        }
    }

    fn note(&mut self, drive: usize, text: String) {
        let router = self.drives[drive].router;
        self.log
            .push(format!("{:>5} r{router} {text}", self.now.as_millis()));
    }

    fn effect(&mut self, drive: usize, effect: Effect) {
        match effect {
            Effect::Choose(choice) => self.choose(drive, &choice),
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
            Effect::Resume { link, stream, from } => {
                let text = format!(
                    "resume {} at {} from {from}",
                    short(stream.attempt),
                    stream.target
                );
                self.note(drive, text);
                let call = Call::Read(drive, link, stream.attempt, from);
                self.after(WIRE, Act::Call(index(&stream.target), call));
            }
            Effect::Close(link) => {
                self.links.remove(&(drive, link));
            }
            Effect::Cancel(stream) => {
                self.note(
                    drive,
                    format!("cancel {} at {}", short(stream.attempt), stream.target),
                );
                let call = Call::Cancel(stream.attempt);
                self.after(WIRE, Act::Call(index(&stream.target), call));
            }
            Effect::Keep(record) => self.keep(drive, &record),
            Effect::Copy(copy) => self
                .keepers
                .iter_mut()
                .for_each(|keeper| keeper.extend(&copy)),
            Effect::Forget(key, attempt) => self
                .keepers
                .iter_mut()
                .for_each(|keeper| keeper.forget(&key, attempt)),
            Effect::Tell(instance, record) => self.tell(index_of(instance.as_str()), &record),
            Effect::Review(key) => {
                self.note(drive, "review".to_owned());
                let record = self.record(&key);
                self.after(WIRE * 2, Act::Input(drive, Input::Reviewed(record)));
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

    fn listener(&mut self, drive: usize) -> Option<&mut Caller> {
        let caller = &mut self.callers[self.drives[drive].caller];
        (caller.drive == Some(drive) && !caller.left).then_some(caller)
    }

    fn emit(&mut self, drive: usize, emit: Emit) {
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

    fn choose(&mut self, drive: usize, choice: &Choice) {
        let fits = |loaded: &BTreeSet<VersionName>| match &choice.version {
            Some(version) => loaded.get(version).cloned(),
            None => loaded.first().cloned(),
        };
        // Instances don't know at once which engines are dead.
        let found: Vec<(TargetName, VersionName)> = self
            .engines
            .iter()
            .enumerate()
            .map(|(at, engine)| (TargetName::new(format!("e{at}")), engine))
            .filter(|(name, _)| !choice.avoid.contains(name))
            .filter_map(|(name, engine)| Some((name, fits(&engine.loaded)?)))
            .collect();
        let input = match found.choose(&mut self.rng) {
            Some((target, version)) => Input::Chosen(Chosen {
                target: target.clone(),
                version: version.clone(),
                patience: patience(),
            }),
            None => Input::NoTarget,
        };
        self.after(Duration::ZERO, Act::Input(drive, input));
    }

    fn keep(&mut self, drive: usize, record: &KeeperRecord) {
        let now = self.instant();
        for at in 0..self.keepers.len() {
            let copy = KeeperRecord::decode(&record.encode()).unwrap();
            if let Some(higher) = self.keepers[at].put(now, copy) {
                self.after(WIRE * 2, Act::Input(drive, Input::Fenced(higher)));
            }
        }
    }

    fn tell(&mut self, router: usize, record: &KeeperRecord) {
        for drive in 0..self.drives.len() {
            if self.drives[drive].router == router {
                let input = Input::Fenced(record.clone());
                self.after(WIRE, Act::Input(drive, input));
            }
        }
    }

    fn record(&self, key: &RequestKey) -> Option<KeeperRecord> {
        self.keepers
            .iter()
            .filter_map(|keeper| keeper.get(self.instant(), key).cloned())
            .reduce(KeeperRecord::merge)
    }

    fn connect(&mut self, caller: usize) {
        let live: Vec<usize> = (0..self.routers.len())
            .filter(|at| self.runs(*at))
            .collect();
        let first = self.drives.iter().all(|drive| drive.caller != caller);
        let drawn = live.choose(&mut self.rng).copied();
        let Some(router) = live.get(caller).copied().filter(|_| first).or(drawn) else {
            return self.after(RECONNECT, Act::Connect(caller));
        };
        let request = self.request(router);
        let seal = request.seal(&SealKey::new([7; 32]));
        let driver = Driver::draw(&mut self.rng);
        let (generation, effects) = self.generation(caller, request, seal, driver);
        self.drives.push(Drive {
            router,
            caller,
            generation,
        });
        let drive = self.drives.len() - 1;
        self.callers[caller].drive = Some(drive);
        self.apply(drive, effects);
    }

    fn generation(
        &mut self,
        caller: usize,
        request: Request,
        seal: Seal,
        driver: Driver,
    ) -> (Generation, Vec<Effect>) {
        let mut out = Vec::new();
        let now = self.instant();
        let limits = GenerationLimits {
            copies: self.copies,
            ..GenerationLimits::default()
        };
        let shown = &self.callers[caller].tokens;
        let token = shown.last().map(|emit| seal.decode(&emit.id).unwrap());
        let brought: Vec<TokenId> = shown
            .iter()
            .filter(|_| self.brings)
            .map(|emit| emit.token)
            .collect();
        let record = self.record(&request.key);
        let plan = TakeOver::plan(driver, token.as_ref(), record.as_ref(), &brought).unwrap();
        let generation = match plan {
            Some(plan) => {
                let patience = patience();
                Generation::take_over(request, limits, seal, plan, patience, now, &mut out)
            }
            None => Generation::new(request, limits, seal, driver, now, &mut out),
        };
        (generation, out)
    }

    fn request(&self, router: usize) -> Request {
        Request {
            key: "r".into(),
            body: Digest::of(b"body"),
            seed: SEED,
            limit: self.limit,
            mode: self.mode,
            deadline: self.base + self.deadline,
            instance: format!("r{router}").as_str().into(),
        }
    }
}

fn patience() -> Patience {
    Patience {
        first: Duration::from_millis(300),
        gap: Duration::from_millis(100),
        probe: Duration::from_millis(50),
        stuck: Duration::from_millis(400),
    }
}

/// A frame that fits the position, but not the tokens, of another attempt.
fn late_frame(attempt: Attempt, written: &Written, position: usize) -> Frame {
    Frame {
        request: "r".into(),
        attempt,
        version: written.version.clone(),
        position: Position(position as u32),
        token: TokenId(1),
        text: "late".into(),
    }
}

/// An attempt number without its driver's mark.
fn short(attempt: Attempt) -> String {
    format!("{}.{}", attempt.0 >> 24, attempt.0 & 0x3ff)
}

fn index(target: &TargetName) -> usize {
    index_of(target.as_str())
}

fn index_of(name: &str) -> usize {
    name[1..].parse().unwrap()
}

impl World {
    fn serve(&mut self, at: usize, call: Call) {
        let engine = &mut self.engines[at];
        if engine.dead {
            return self.refuse(&call, None);
        }
        if engine.paused {
            return engine.held.push(call);
        }
        match call {
            Call::Start(drive, start) => self.start(at, drive, start),
            Call::Read(drive, link, attempt, from) => self.read(at, drive, link, attempt, from),
            Call::Cancel(attempt) => {
                if let Some(written) = engine.streams.get_mut(&attempt) {
                    written.cancelled = true;
                    let readers = self.readers(at, attempt);
                    readers.into_iter().for_each(|key| self.hang_up(key));
                }
            }
        }
    }

    fn refuse(&mut self, call: &Call, refusal: Option<Refusal>) {
        let (drive, link) = match call {
            Call::Start(drive, start) => (*drive, start.link),
            Call::Read(drive, link, ..) => (*drive, *link),
            Call::Cancel(_) => return,
        };
        let input = refusal.map_or(Input::Closed(link), |why| Input::Refused(link, why));
        self.after(WIRE, Act::Input(drive, input));
    }

    fn start(&mut self, at: usize, drive: usize, start: Start) {
        if !self.engines[at].loaded.contains(&start.version) {
            return self.refuse(&Call::Start(drive, start), Some(Refusal::Version));
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
        self.read(at, drive, start.link, attempt, from);
        let gap = GAP + self.engines[at].slow;
        self.after(gap, Act::Write(at, attempt));
    }

    fn read(&mut self, at: usize, drive: usize, link: Link, attempt: Attempt, from: Position) {
        let first = self.engines[at]
            .streams
            .get(&attempt)
            .filter(|written| !written.cancelled)
            .map(|written| written.first);
        if first.is_none_or(|first| from.0 < first as u32) {
            let call = Call::Read(drive, link, attempt, from);
            return self.refuse(&call, Some(Refusal::Gone));
        }
        let reading = Reading {
            engine: at,
            attempt,
            next: from.0 as usize,
            silent: false,
        };
        self.links.insert((drive, link), reading);
        self.after(WIRE, Act::Input(drive, Input::Opened(link)));
        self.pump((drive, link));
    }

    fn write(&mut self, at: usize, attempt: Attempt) {
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

    fn readers(&self, at: usize, attempt: Attempt) -> Vec<(usize, Link)> {
        self.links
            .iter()
            .filter(|(_, reading)| reading.engine == at && reading.attempt == attempt)
            .map(|(key, _)| *key)
            .collect()
    }

    /// Sends what a connection has not had yet.
    fn pump(&mut self, key: (usize, Link)) {
        let Some(reading) = self.links.get_mut(&key).filter(|reading| !reading.silent) else {
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
            self.send_done(key, attempt, self.limit, Reason::Length);
        }
    }

    fn send(&mut self, (drive, link): (usize, Link), frame: Frame) {
        let mut send = |frame: Frame| {
            let input = Input::Event(link, Event::Frame(frame));
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
            Some(Damage::Garble) => self.after(WIRE, Act::Input(drive, Input::Malformed(link))),
            Some(Damage::End) => {
                let (attempt, length) = (frame.attempt, frame.position.0);
                self.send_done((drive, link), attempt, length, Reason::Length);
            }
        }
    }

    fn send_done(&mut self, key: (usize, Link), attempt: Attempt, length: u32, reason: Reason) {
        let done = Done {
            request: "r".into(),
            attempt,
            length: Position(length),
            reason,
        };
        let input = Input::Event(key.1, Event::Done(done));
        self.after(WIRE, Act::Input(key.0, input));
    }

    fn hang_up(&mut self, key: (usize, Link)) {
        let reading = self.links.remove(&key);
        if reading.is_some_and(|reading| !reading.silent) {
            self.after(WIRE, Act::Input(key.0, Input::Closed(key.1)));
        }
    }

    fn inject(&mut self, fault: Fault) {
        self.log.push(
            format!("{:>5} {fault:?}", self.now.as_millis())
                .replace(&CURRENT.to_string(), "current"),
        );
        let engine = |at| if at == CURRENT { self.writer() } else { at };
        let router = |at| if at == CURRENT { self.driver() } else { at };
        match fault {
            Fault::Kill(at) => self.kill(engine(at)),
            Fault::Pause(at, time) => {
                let at = engine(at);
                self.engines[at].paused = true;
                self.later(time, Fault::Wake(at));
            }
            Fault::Wake(at) => self.wake(at),
            Fault::Silence(at) => {
                let at = engine(at);
                self.links
                    .values_mut()
                    .filter(|reading| reading.engine == at)
                    .for_each(|reading| reading.silent = true);
            }
            Fault::Slow(at, time) => {
                let at = engine(at);
                self.engines[at].slow = time;
            }
            Fault::Load(at, version) => {
                self.engines[at].loaded.insert(version);
            }
            Fault::Unload(at) => self.unload(at),
            Fault::KillRouter(at) => {
                let at = router(at);
                self.routers[at].dead = true;
                self.drop_callers(at);
            }
            Fault::PauseRouter(at, time) => {
                let at = router(at);
                self.routers[at].paused = true;
                self.drop_callers(at);
                self.later(time, Fault::WakeRouter(at));
            }
            Fault::WakeRouter(at) => {
                self.routers[at].paused = false;
                let held = std::mem::take(&mut self.routers[at].held);
                for (drive, input) in held {
                    self.input(drive, input);
                }
            }
            Fault::Reconnect(caller) => self.part(caller, true),
            Fault::Leave(caller) => self.part(caller, false),
            Fault::LoseKeepers => {
                self.keepers
                    .iter_mut()
                    .for_each(|keeper| *keeper = Keeper::default());
            }
            Fault::Frame(damage) => self.damage.push(damage),
        }
    }

    fn unload(&mut self, at: usize) {
        self.engines[at].loaded.clear();
        self.engines[at].streams.clear();
        self.hang_up_all(at);
    }

    fn driver(&self) -> usize {
        let drive = self.callers[0].drive;
        drive.map_or(0, |drive| self.drives[drive].router)
    }

    fn writer(&self) -> usize {
        let drive = self.callers[0].drive;
        let mut links = self.links.iter();
        let found = links.rfind(|((of, _), _)| Some(*of) == drive);
        found.map_or(0, |(_, reading)| reading.engine)
    }

    fn kill(&mut self, at: usize) {
        self.engines[at].dead = true;
        self.hang_up_all(at);
    }

    fn hang_up_all(&mut self, at: usize) {
        let keys: Vec<_> = self
            .links
            .iter()
            .filter(|(_, reading)| reading.engine == at)
            .map(|(key, _)| *key)
            .collect();
        keys.into_iter().for_each(|key| self.hang_up(key));
    }

    /// Late frames go to the connections of other attempts, as over a pooled one that mixes them up.
    fn wake(&mut self, at: usize) {
        self.engines[at].paused = false;
        let held = std::mem::take(&mut self.engines[at].held);
        let mut late = Vec::new();
        for (key, reading) in &self.links {
            for (attempt, written) in &self.engines[at].streams {
                if *attempt != reading.attempt {
                    late.push((*key, late_frame(*attempt, written, reading.next)));
                }
            }
        }
        late.into_iter()
            .for_each(|(key, frame)| self.send(key, frame));
        held.into_iter().for_each(|call| self.serve(at, call));
    }

    fn drop_callers(&mut self, router: usize) {
        for caller in 0..self.callers.len() {
            let drive = self.callers[caller].drive;
            if drive.is_some_and(|drive| self.drives[drive].router == router) {
                self.part(caller, true);
            }
        }
    }

    fn part(&mut self, caller: usize, back: bool) {
        if let Some(drive) = self.callers[caller].drive.take() {
            self.after(WIRE, Act::Input(drive, Input::CallerGone));
        }
        let over = self.callers[caller].finish.is_some();
        self.callers[caller].left = !back;
        if back && !over {
            self.after(RECONNECT, Act::Connect(caller));
        }
    }

    /// Draws a fault that leaves engine 0 and router 0 able to go on.
    pub(crate) fn draw(&mut self) -> Fault {
        let engine = self.rng.random_range(0..self.engines.len());
        let router = self.rng.random_range(0..self.routers.len());
        let time = Duration::from_millis(self.rng.random_range(1..1500));
        let damage = DAMAGES[self.rng.random_range(0..DAMAGES.len())];
        match self.rng.random_range(0..9) {
            0 if engine > 0 => Fault::Kill(engine),
            1 if router > 0 => Fault::KillRouter(router),
            2 => Fault::LoseKeepers,
            3 => Fault::PauseRouter(router, time),
            4 => Fault::Reconnect(0),
            5 => Fault::Silence(engine),
            6 => Fault::Pause(engine, time),
            _ => Fault::Frame(damage),
        }
    }

    /// Draws a moment within the first 1.4 s.
    pub(crate) fn moment(&mut self) -> Duration {
        Duration::from_millis(self.rng.random_range(0..1400))
    }
}
