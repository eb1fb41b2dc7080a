//! A simulation of engines, instances, keepers and callers in virtual time. The instances run the
//! real state machines.
//!
//! Each token of a simulated engine depends on the version, the seed and all previous tokens, so
//! the checks detect an answer that was continued from a wrong prefix or joined from two.

mod engines;
mod faults;
mod instances;

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use celerypond_answer::{
    ChosenTarget, ConnectionId, DeliveryMode, DriverId, Effect, Emit, ExtensionLimits, Finish,
    Frame, Generation, GenerationLimits, Incomplete, Input, Keeper, KeeperRecord, PutError,
    Request, ResumeTokenCodec, ResumeTokenKey, Start, TakeOver, TargetCriteria, Timeouts,
};
use celerypond_types::{Attempt, Digest, Position, RequestKey, TargetName, TokenId, VersionName};
use rand::{rngs::StdRng, seq::IndexedRandom, Rng, SeedableRng};
use tokio::time::Instant;

pub(crate) const TOKEN_GAP: Duration = Duration::from_millis(20);
const NETWORK_DELAY: Duration = Duration::from_millis(1);
const RECONNECT_DELAY: Duration = Duration::from_millis(30);
/// How far before the current position a contradicting token is sent, so that it never takes the
/// position of a lost token.
const WRONG_TOKEN_OFFSET: u32 = 5;
const SEED: u64 = 42;
const MAX_RUN_TIME: Duration = Duration::from_secs(600);

/// Stands for the engine that generates the first caller's answer, or the instance that drives it.
pub(crate) const CURRENT: usize = usize::MAX;

/// A fault, or the end of one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Fault {
    KillEngine(usize),
    PauseEngine(usize, Duration),
    UnpauseEngine(usize),
    /// All open connections to the engine stay silent from now on.
    Silence(usize),
    /// The engine responds to requests at once, but takes this much longer for each token.
    Slow(usize, Duration),
    Load(usize, VersionName),
    Unload(usize),
    KillInstance(usize),
    PauseInstance(usize, Duration),
    UnpauseInstance(usize),
    /// The caller's connection is closed, and the caller reconnects.
    Reconnect(usize),
    /// The caller's connection is closed, and the caller does not reconnect.
    Disconnect(usize),
    LoseKeepers,
    /// The next frame is changed or lost.
    Frame(FrameFault),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum FrameFault {
    Drop,
    Duplicate,
    WrongRequest,
    Malformed,
    WrongVersion,
    WrongToken,
    /// An end event is sent instead of the frame.
    EarlyEnd,
}

pub(crate) const FRAME_FAULTS: [FrameFault; 7] = [
    FrameFault::Drop,
    FrameFault::Duplicate,
    FrameFault::WrongRequest,
    FrameFault::Malformed,
    FrameFault::WrongVersion,
    FrameFault::WrongToken,
    FrameFault::EarlyEnd,
];

#[derive(Default)]
struct Engine {
    extra_delay: Duration,
    loaded: BTreeSet<VersionName>,
    dead: bool,
    paused: bool,
    queued: Vec<EngineCall>,
    streams: BTreeMap<Attempt, EngineStream>,
}

struct EngineStream {
    version: VersionName,
    prefix_len: usize,
    tokens: Vec<TokenId>,
    limit: usize,
    cancelled: bool,
}

#[derive(Clone)]
enum EngineCall {
    Start(usize, Start),
    Read(usize, ConnectionId, Attempt, Position),
    Cancel(Attempt),
}

struct Connection {
    engine: usize,
    attempt: Attempt,
    next: usize,
    silent: bool,
}

struct Instance {
    dead: bool,
    paused: bool,
    queued: Vec<(usize, Input)>,
}

struct Driver {
    instance: usize,
    caller: usize,
    generation: Generation,
}

#[derive(Default)]
pub(crate) struct Caller {
    pub(crate) tokens: Vec<Emit>,
    pub(crate) finish: Option<Finish>,
    pub(crate) failure: Option<Incomplete>,
    pub(crate) token_gaps: Vec<Duration>,
    driver: Option<usize>,
    disconnected: bool,
    last_token_at: Duration,
}

enum Action {
    Input(usize, Input),
    EngineCall(usize, EngineCall),
    Write(usize, Attempt),
    Fault(Fault),
    Connect(usize),
}

pub(crate) struct Simulation {
    pub(crate) callers: Vec<Caller>,
    pub(crate) log: Vec<String>,
    pub(crate) mode: DeliveryMode,
    pub(crate) limit: u32,
    pub(crate) seed: u64,
    pub(crate) sends_tokens: bool,
    pub(crate) record_extension: ExtensionLimits,
    pub(crate) record_delay: Duration,
    /// Whether attempts with the same version and seed generate different tokens, as real engines
    /// may.
    pub(crate) nondeterministic: bool,
    pub(crate) generated: usize,
    pub(crate) deadline: Duration,
    engines: Vec<Engine>,
    instances: Vec<Instance>,
    drivers: Vec<Driver>,
    connections: BTreeMap<(usize, ConnectionId), Connection>,
    keepers: Vec<Keeper>,
    queue: BTreeMap<(Duration, u64), Action>,
    triggers: Vec<(usize, Fault)>,
    frame_faults: Vec<FrameFault>,
    provenance: BTreeMap<(u64, TokenId), VersionName>,
    start_time: Instant,
    now: Duration,
    scheduled: u64,
    rng: StdRng,
}

fn hash_step(state: u64, value: u64) -> u64 {
    (state ^ value)
        .wrapping_mul(0x9e37_79b9_7f4a_7c15)
        .rotate_left(23)
}

fn prefix_hash(version: &VersionName, tokens: &[TokenId]) -> u64 {
    let start = version
        .as_str()
        .bytes()
        .fold(SEED, |state, byte| hash_step(state, byte.into()));
    tokens
        .iter()
        .fold(start, |state, token| hash_step(state, token.0.into()))
}

/// Returns the complete answer of a version.
pub(crate) fn reference_tokens(version: &str, limit: u32) -> Vec<TokenId> {
    (0..limit).fold(Vec::new(), |mut tokens, _| {
        tokens.push(TokenId(prefix_hash(&version.into(), &tokens) as u32));
        tokens
    })
}

impl Simulation {
    pub(crate) fn new(engines: usize, instances: usize, seed: u64) -> Self {
        let engine = || Engine {
            loaded: BTreeSet::from(["v1".into()]),
            ..Engine::default()
        };
        let instance = || Instance {
            dead: false,
            paused: false,
            queued: Vec::new(),
        };
        Self {
            callers: Vec::new(),
            log: Vec::new(),
            mode: DeliveryMode::Streamed,
            limit: 200,
            seed,
            sends_tokens: false,
            record_extension: GenerationLimits::default().record_extension,
            record_delay: Duration::ZERO,
            nondeterministic: false,
            generated: 0,
            deadline: Duration::from_secs(60),
            engines: (0..engines).map(|_| engine()).collect(),
            instances: (0..instances).map(|_| instance()).collect(),
            drivers: Vec::new(),
            connections: BTreeMap::new(),
            keepers: vec![Keeper::default(), Keeper::default()],
            queue: BTreeMap::new(),
            triggers: Vec::new(),
            frame_faults: Vec::new(),
            provenance: BTreeMap::new(),
            start_time: Instant::now(),
            now: Duration::ZERO,
            scheduled: 0,
            rng: StdRng::seed_from_u64(seed),
        }
    }

    pub(crate) fn call(&mut self) -> usize {
        self.callers.push(Caller::default());
        self.schedule(Duration::ZERO, Action::Connect(self.callers.len() - 1));
        self.callers.len() - 1
    }

    /// Injects `fault` once the first caller has `tokens` tokens.
    pub(crate) fn inject_at_token(&mut self, tokens: usize, fault: Fault) {
        if tokens == 0 {
            return self.inject_after(NETWORK_DELAY * 3, fault);
        }
        self.triggers.push((tokens, fault));
    }

    /// Injects `fault` after `delay`.
    pub(crate) fn inject_after(&mut self, delay: Duration, fault: Fault) {
        self.schedule(delay, Action::Fault(fault));
    }

    /// Runs until no action is left, or for `MAX_RUN_TIME`.
    pub(crate) fn run(&mut self) -> &mut Self {
        while self.advance() {}
        self
    }

    /// Checks what the caller received, and returns an error if a token was not generated after
    /// exactly the tokens before it, a position is not contiguous, a token differs from the
    /// reference or an incomplete answer was finished.
    pub(crate) fn check_output(&self, caller: usize) -> Option<String> {
        let caller = &self.callers[caller];
        let tokens: Vec<TokenId> = caller.tokens.iter().map(|emit| emit.token).collect();
        let versions = ["v1", "v2"];
        let version = versions.into_iter().find(|version| {
            (0..tokens.len()).all(|at| {
                let before = prefix_hash(&(*version).into(), &tokens[..at]);
                self.provenance.get(&(before, tokens[at])) == Some(&VersionName::new(version))
            })
        });
        let Some(version) = version else {
            return Some(format!("provenance of {} tokens is broken", tokens.len()));
        };
        let gap = caller
            .tokens
            .iter()
            .enumerate()
            .position(|(at, emit)| emit.position.0 as usize != at);
        if let Some(at) = gap {
            return Some(format!("positions are not contiguous at {at}"));
        }
        if !self.nondeterministic && !reference_tokens(version, self.limit).starts_with(&tokens) {
            return Some(format!("tokens are not the reference of {version}"));
        }
        let finish = caller.finish.as_ref()?;
        let is_complete = match &finish.text {
            Some(text) => *text == self.text(finish.version.as_str()),
            None => tokens.len() == self.limit as usize,
        };
        (!is_complete).then(|| "an incomplete answer was finished".to_owned())
    }

    fn text(&self, version: &str) -> String {
        reference_tokens(version, self.limit)
            .iter()
            .map(|token| format!("{} ", token.0))
            .collect()
    }

    fn schedule(&mut self, delay: Duration, action: Action) {
        self.scheduled += 1;
        self.queue
            .insert((self.now + delay, self.scheduled), action);
    }

    fn instant(&self) -> Instant {
        self.start_time + self.now
    }

    fn advance(&mut self) -> bool {
        let due = self
            .drivers
            .iter()
            .enumerate()
            .filter(|(_, driver)| self.runs(driver.instance))
            .filter_map(|(at, driver)| Some((driver.generation.next_tick()? - self.start_time, at)))
            .min();
        let next = self.queue.keys().next().copied();
        let tick = due.filter(|(due, _)| next.is_none_or(|(at, _)| *due < at));
        if let Some((due, driver)) = tick {
            self.now = self.now.max(due);
            self.input(driver, Input::Tick);
            return true;
        }
        let Some((key, action)) = self.queue.pop_first() else {
            return false;
        };
        self.now = self.now.max(key.0);
        self.action(action);
        self.now < MAX_RUN_TIME
    }

    fn runs(&self, instance: usize) -> bool {
        !self.instances[instance].dead && !self.instances[instance].paused
    }

    fn action(&mut self, action: Action) {
        match action {
            Action::Input(driver, input) => self.input(driver, input),
            Action::EngineCall(engine, call) => self.serve(engine, call),
            Action::Write(engine, attempt) => self.write(engine, attempt),
            Action::Fault(fault) => self.inject(fault),
            Action::Connect(caller) => self.connect(caller),
        }
    }
}

fn timeouts() -> Timeouts {
    Timeouts {
        first_token: Duration::from_millis(300),
        token_gap: Duration::from_millis(100),
        probe: Duration::from_millis(50),
        no_progress: Duration::from_millis(400),
    }
}

/// Returns a frame with the position, but not the token, that the reader of another attempt
/// expects.
fn late_frame(attempt: Attempt, stream: &EngineStream, position: usize) -> Frame {
    Frame {
        request: "r".into(),
        attempt,
        version: stream.version.clone(),
        position: Position(position as u32),
        token: TokenId(1),
        text: "late".into(),
    }
}

/// Formats an attempt number without its driver id.
fn short_attempt(attempt: Attempt) -> String {
    format!("{}.{}", attempt.0 >> 24, attempt.0 & 0x3ff)
}

fn engine_index(target: &TargetName) -> usize {
    parse_index(target.as_str())
}

fn parse_index(name: &str) -> usize {
    name[1..].parse().unwrap()
}
