//! Engines, callers and instances in virtual time, at the level of decisions.
//!
//! The engines work in steps: a step takes one decode gap, plus the time to read one chunk for each
//! stream that still reads its prompt and prefix. All figures of the model are the constants below.

mod engines;
mod instances;

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, HashMap, VecDeque},
    time::Duration,
};

use celerypond_answer::{
    ChosenTarget, ConnectionId, DeliveryMode, DriverId, Effect, Event, Frame, Generation,
    GenerationLimits, Input, KeeperRecord, Refusal, Request, ResumeScheduler, ResumeTokenCodec,
    ResumeTokenKey, Start, StreamId, TakeOver, TimeoutEstimator, TimeoutLimits, Timeouts,
    WaiterKey,
};
use celerypond_types::{Attempt, Digest, Position, TargetKey, TargetName, TokenId, VersionKey};
use rand::{rngs::StdRng, Rng, SeedableRng};
use slotmap::SlotMap;
use tokio::time::Instant;

use super::way::{Fault, TakeOverWay, Way};

/// How many engines there are when one fails, and when a third of them does.
const ENGINES: (usize, usize) = (24, 30);
/// 32,000 requests a second of 344 tokens at 40 ms a token, on 11,000 engines.
const STREAMS: usize = 40;
const GAP_US: (u64, u64) = (30_000, 52_000);
const PREFILL_US: u64 = 50;
const CHUNK: u64 = 512;
const PROMPT: (u64, u64) = (200, 1800);
const SHORT_MEAN: f64 = 100.0;
const LONG_MEAN: f64 = 2000.0;
/// 13 of 100 answers are long; at any moment they make up three of four of those open.
const LONG_SHARE: (f64, f64) = (0.13, 0.75);
const LONGEST: f64 = 1500.0;
const WIRE_US: u64 = 1000;
const RECONNECT_US: u64 = 50_000;
const EJECTION_US: u64 = 2_000_000;
/// The number that an answer gives its first connection.
const FIRST_LINK: ConnectionId = ConnectionId(1);
const FAULT_US: u64 = 500_000;
/// How long after the engine the instances die.
const LATER_US: u64 = 2_000_000;
const ARRIVE_US: u64 = 3_000_000;
/// How long a run goes on after that.
const CALM_US: u64 = 500_000;
const END_US: u64 = 80_000_000;
/// 32,000 requests a second at 11,000 engines, for one engine.
const ARRIVAL_US: u64 = 11_000_000 / 32;

/// What one run showed.
#[derive(Default)]
pub(super) struct Seen {
    /// Time between the last token before the fault and the next one, of answers it hit, in ms.
    pub(super) resumed: Vec<f64>,
    /// The longest time between two tokens after the fault, of answers it did not hit, in ms.
    pub(super) others: Vec<f64>,
    /// Time to the first token of answers that came after the fault, in ms.
    pub(super) first: Vec<f64>,
    /// Tokens generated for each token delivered, of answers that the fault hit.
    pub(super) extra: Vec<f64>,
    /// Time to read the prompt and the tokens so far alone, of answers the fault hit, in ms.
    pub(super) read: Vec<f64>,
    /// Answers that failed or had no next token when the run ended.
    pub(super) lost: u64,
}

struct Engine {
    key: TargetKey,
    dead: bool,
    paused: u64,
    ejected: u64,
    stepping: bool,
    streams: Vec<Written>,
}

struct Written {
    answer: usize,
    attempt: Attempt,
    first: u32,
    next: u32,
    unread: u64,
    reader: Option<(ConnectionId, u32)>,
    silent: bool,
}

struct Answer {
    generation: Generation,
    prompt: u64,
    length: u32,
    shown: u32,
    id: String,
    last: u64,
    hit: bool,
    resumed: bool,
    longest: u64,
    born: u64,
    generated: u64,
    record: Option<KeeperRecord>,
    granted: Option<TargetKey>,
    over: bool,
    down: bool,
    conn: u32,
}

enum Act {
    Step(usize),
    Input(usize, u32, Input),
    Tick(usize),
    Fault,
    Arrive,
    Reconnect(usize),
}

pub(super) struct Model {
    way: Way,
    fault: Fault,
    now: u64,
    turn: u64,
    base: Instant,
    queue: BinaryHeap<Reverse<(u64, u64, usize)>>,
    acts: HashMap<usize, Act>,
    engines: Vec<Engine>,
    index: HashMap<TargetKey, usize>,
    answers: Vec<Answer>,
    scheduler: Option<ResumeScheduler>,
    waiters: HashMap<WaiterKey, usize>,
    held: VecDeque<usize>,
    version: VersionKey,
    timeouts: Timeouts,
    rng: StdRng,
    struck: bool,
    /// When the last fault came.
    fault_at: u64,
    /// When all answers that the fault hit had gone on.
    calm: u64,
}

impl Model {
    pub(super) fn new(way: Way, fault: Fault, seed: u64) -> Self {
        let mut keys = SlotMap::<TargetKey, ()>::with_key();
        let count = if fault.third() { ENGINES.1 } else { ENGINES.0 };
        let engines: Vec<Engine> = (0..count)
            .map(|_| Engine {
                key: keys.insert(()),
                dead: false,
                paused: 0,
                ejected: 0,
                stepping: false,
                streams: Vec::new(),
            })
            .collect();
        let mut rng = StdRng::seed_from_u64(seed);
        Self {
            way,
            fault,
            now: 0,
            turn: 0,
            base: Instant::now(),
            queue: BinaryHeap::new(),
            acts: HashMap::new(),
            index: engines.iter().map(|engine| engine.key).zip(0..).collect(),
            engines,
            answers: Vec::new(),
            scheduler: way.pace.map(ResumeScheduler::new),
            waiters: HashMap::new(),
            held: VecDeque::new(),
            version: SlotMap::<VersionKey, ()>::with_key().insert(()),
            timeouts: learned(&mut rng, way),
            rng,
            struck: false,
            fault_at: 0,
            calm: u64::MAX,
        }
    }

    pub(super) fn run(mut self) -> Seen {
        for _ in 0..self.engines.len() * STREAMS {
            self.open(true);
        }
        self.after(FAULT_US, Act::Fault);
        self.after(FAULT_US, Act::Arrive);
        while let Some(Reverse((at, _, id))) = self.queue.pop() {
            self.now = at;
            if at > END_US || at > self.calm.saturating_add(CALM_US) {
                break;
            }
            if self.calm == u64::MAX && self.struck && self.settled() {
                self.calm = at;
            }
            if let Some(act) = self.acts.remove(&id) {
                self.act(act);
            }
        }
        self.seen()
    }

    /// Whether every answer that the fault hit has gone on.
    fn settled(&self) -> bool {
        self.turn.is_multiple_of(1024)
            && self.now > FAULT_US + 3_000_000
            && self
                .answers
                .iter()
                .all(|answer| !answer.hit || answer.resumed || answer.over)
    }

    fn seen(&self) -> Seen {
        let mut seen = Seen::default();
        for answer in &self.answers {
            if !answer.hit {
                let list = if answer.born > 0 {
                    &mut seen.first
                } else {
                    &mut seen.others
                };
                list.extend((answer.longest > 0).then_some(answer.longest as f64 / 1000.0));
                continue;
            }
            if answer.resumed {
                seen.resumed.push(answer.longest as f64 / 1000.0);
                let delivered = f64::from(answer.shown.max(1));
                let tokens = answer.prompt + u64::from(answer.shown);
                seen.read.push((tokens * PREFILL_US) as f64 / 1000.0);
                seen.extra.push(answer.generated as f64 / delivered);
            } else {
                seen.lost += 1;
            }
        }
        seen
    }

    fn after(&mut self, delay: u64, act: Act) {
        self.turn += 1;
        let id = self.turn as usize;
        self.acts.insert(id, act);
        self.queue.push(Reverse((self.now + delay, self.turn, id)));
    }

    fn instant(&self) -> Instant {
        self.base + Duration::from_micros(self.now)
    }

    /// Opens an answer; one of the first population is in the middle of its length.
    fn open(&mut self, first: bool) {
        let length = self.length(if first { LONG_SHARE.1 } else { LONG_SHARE.0 });
        let at = self.answers.len();
        let request = self.request(at);
        let mut out = Vec::new();
        let driver = DriverId::random(&mut self.rng);
        let limits = limits();
        let codec = codec(&request);
        let now = self.instant();
        let generation = Generation::new(request, limits, codec, driver, now, &mut out);
        self.answers.push(Answer {
            generation,
            prompt: self.rng.random_range(PROMPT.0..PROMPT.1),
            length: if first { u32::MAX } else { length },
            shown: 0,
            id: String::new(),
            last: self.now,
            hit: false,
            resumed: false,
            longest: 0,
            born: if first { 0 } else { self.now },
            generated: 0,
            record: None,
            granted: None,
            over: false,
            down: false,
            conn: 0,
        });
        if first {
            self.begun(at, length);
        } else {
            self.apply(at, out);
        }
    }

    /// Lets an answer be at a place in its middle, at an engine of its own.
    fn begun(&mut self, at: usize, shown: u32) {
        let engine = at % self.engines.len();
        let input = Input::Chosen(ChosenTarget {
            target: engine.to_string().as_str().into(),
            version: "v1".into(),
            timeouts: self.timeouts(at),
        });
        let mut out = Vec::new();
        let now = self.instant();
        let answer = &mut self.answers[at];
        answer.generation.step(now, input, &mut out);
        let sequence = answer.generation.sequence();
        let attempt = sequence
            .map(|sequence| sequence.attempt())
            .unwrap_or_default();
        for position in 0..shown {
            let event = Event::Frame(frame(at, attempt, position));
            let input = Input::Event(FIRST_LINK, event);
            answer.generation.step(now, input, &mut out);
        }
        answer.generation.step(now, Input::Tick, &mut out);
        for effect in out {
            match effect {
                Effect::PutRecord(record) => answer.record = Some(record),
                Effect::Emit(emit) => answer.id = emit.resume_token.to_string(),
                _ => {}
            }
        }
        answer.shown = shown;
        answer.generated = u64::from(shown);
        self.engines[engine].streams.push(Written {
            answer: at,
            attempt,
            first: 0,
            next: shown,
            unread: 0,
            reader: Some((FIRST_LINK, shown)),
            silent: false,
        });
        self.wake(engine);
    }

    fn length(&mut self, long: f64) -> u32 {
        let long = self.rng.random_bool(long);
        let mean = if long { LONG_MEAN } else { SHORT_MEAN };
        let drawn = -mean * (1.0 - self.rng.random::<f64>()).ln();
        drawn.clamp(1.0, LONGEST) as u32
    }

    fn request(&self, at: usize) -> Request {
        Request {
            key: format!("r{at}").as_str().into(),
            body_digest: Digest::of(b"body"),
            seed: at as u64,
            max_tokens: 1_000_000,
            mode: DeliveryMode::Streamed,
            deadline: self.base + Duration::from_secs(600),
            instance: "a".into(),
        }
    }

    fn act(&mut self, act: Act) {
        match act {
            Act::Step(engine) => self.step(engine),
            Act::Input(answer, conn, input) if self.answers[answer].conn == conn => {
                self.input(answer, input);
            }
            Act::Input(..) => {}
            Act::Tick(answer) => {
                let due = self.answers[answer].generation.next_tick();
                if due.is_some_and(|due| due <= self.instant()) {
                    self.input(answer, Input::Tick);
                }
            }
            Act::Fault => self.strike(),
            Act::Arrive => {
                if self.now > FAULT_US + ARRIVE_US {
                    return;
                }
                self.open(false);
                self.after(ARRIVAL_US / self.engines.len() as u64, Act::Arrive);
            }
            Act::Reconnect(answer) => self.reconnect(answer),
        }
    }
}

/// The records of the answers that are open already are at the keepers.
fn limits() -> GenerationLimits {
    GenerationLimits {
        record_delay: Duration::ZERO,
        ..GenerationLimits::default()
    }
}

fn codec(request: &Request) -> ResumeTokenCodec {
    request.resume_token_codec(&ResumeTokenKey::new([7; 32]))
}

fn number(target: &TargetName) -> usize {
    target.as_str().parse().unwrap_or(0)
}

fn token_of(answer: usize, position: u32) -> TokenId {
    TokenId((answer as u32).wrapping_mul(0x9e37_79b9) ^ position.wrapping_mul(0x85eb_ca6b))
}

fn frame(answer: usize, attempt: Attempt, position: u32) -> Frame {
    Frame {
        request: format!("r{answer}").as_str().into(),
        attempt,
        version: "v1".into(),
        position: Position(position),
        token: token_of(answer, position),
        text: "word".into(),
    }
}

/// The timeouts after 10,000 gaps of a healthy engine, or a fixed one.
fn learned(rng: &mut StdRng, way: Way) -> Timeouts {
    let mut estimator = TimeoutEstimator::new(TimeoutLimits::default());
    for _ in 0..10_000 {
        let gap = rng.random_range(GAP_US.0..GAP_US.1);
        estimator.observe(Duration::from_micros(gap + WIRE_US));
    }
    let timeouts = estimator.timeouts(0);
    match way.timeout {
        Some(gap) => Timeouts {
            token_gap: gap,
            first_token: gap,
            no_progress: gap,
            ..timeouts
        },
        None => timeouts,
    }
}
