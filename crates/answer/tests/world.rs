//! Small fakes around the decisions: engines, instances, keepers and callers in virtual time.
//!
//! Token n of a fake engine depends on version, seed and all tokens before it, so an answer that
//! was continued from a wrong prefix, or joined from two, shows.

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
    Read(usize, ConnectionId, Attempt, Position),
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
    pub(crate) mode: DeliveryMode,
    pub(crate) limit: u32,
    pub(crate) seed: u64,
    pub(crate) brings: bool,
    pub(crate) copies: ExtensionLimits,
    pub(crate) settle: Duration,
    /// Whether engines of one version and seed give different tokens, as real ones may.
    pub(crate) drifts: bool,
    pub(crate) generated: usize,
    pub(crate) deadline: Duration,
    engines: Vec<Engine>,
    routers: Vec<Router>,
    drives: Vec<Drive>,
    connections: BTreeMap<(usize, ConnectionId), Reading>,
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
            mode: DeliveryMode::Streamed,
            limit: 200,
            seed,
            brings: false,
            copies: GenerationLimits::default().record_extension,
            settle: Duration::ZERO,
            drifts: false,
            generated: 0,
            deadline: Duration::from_secs(60),
            engines: (0..engines).map(|_| engine()).collect(),
            routers: (0..routers).map(|_| router()).collect(),
            drives: Vec::new(),
            connections: BTreeMap::new(),
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
            .filter_map(|(at, drive)| Some((drive.generation.next_tick()? - self.base, at)))
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
}

fn timeouts() -> Timeouts {
    Timeouts {
        first_token: Duration::from_millis(300),
        token_gap: Duration::from_millis(100),
        probe: Duration::from_millis(50),
        no_progress: Duration::from_millis(400),
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
