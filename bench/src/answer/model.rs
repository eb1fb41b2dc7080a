//! A model of engines, callers and instances in virtual time, without sockets.
//!
//! An engine works in steps. A step takes one decode gap, plus the time to prefill one chunk for
//! each stream whose prompt and prefix aren't processed yet. All parameters of the model are the
//! constants below.

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

use super::policy::{Fault, Policy, TakeOverPolicy};

/// The number of engines when one fails, and when a third of them fail.
const ENGINES: (usize, usize) = (24, 30);
/// From 32,000 requests per second on 11,000 engines, with 344 tokens at 40 ms per token.
const STREAMS_PER_ENGINE: usize = 40;
const DECODE_GAP_US: (u64, u64) = (30_000, 52_000);
const PREFILL_TOKEN_US: u64 = 50;
const PREFILL_CHUNK_TOKENS: u64 = 512;
const PROMPT_TOKENS: (u64, u64) = (200, 1800);
const SHORT_MEAN_TOKENS: f64 = 100.0;
const LONG_MEAN_TOKENS: f64 = 2000.0;
/// The share of long answers among new ones (13 %), and among those open at any moment (three in
/// four, since they stay open longer).
const LONG_SHARE: (f64, f64) = (0.13, 0.75);
const MAX_TOKENS: f64 = 1500.0;
const NETWORK_DELAY_US: u64 = 1000;
const RECONNECT_US: u64 = 50_000;
const EJECTION_US: u64 = 2_000_000;
/// The ID that an answer gives its first connection.
const FIRST_CONNECTION: ConnectionId = ConnectionId(1);
const FAULT_AT_US: u64 = 500_000;
/// The time from the death of the engine to that of the instances.
const SECOND_FAULT_DELAY_US: u64 = 2_000_000;
/// How long after the fault new answers still arrive.
const ARRIVAL_PERIOD_US: u64 = 3_000_000;
/// How long a run continues after all answers hit by the fault have resumed.
const SETTLED_RUN_US: u64 = 500_000;
const RUN_LIMIT_US: u64 = 80_000_000;
/// The time between requests per engine, from 32,000 requests per second on 11,000 engines.
const ARRIVAL_INTERVAL_US: u64 = 11_000_000 / 32;

/// The measurements of one run.
#[derive(Default)]
pub(super) struct RunResults {
    /// The gap between the last token before the fault and the next one, for answers that it hit.
    pub(super) resume_gap_ms: Vec<f64>,
    /// The longest gap between two tokens after the fault, for answers that it didn't hit.
    pub(super) unaffected_gap_ms: Vec<f64>,
    /// The time to the first token of answers that arrived after the fault.
    pub(super) first_token_ms: Vec<f64>,
    /// The tokens generated per token delivered, for answers that the fault hit.
    pub(super) generated_per_delivered: Vec<f64>,
    /// The time to prefill the prompt and the delivered tokens alone, for answers the fault hit.
    pub(super) prefill_ms: Vec<f64>,
    /// Answers hit by the fault that failed, or hadn't resumed when the run ended.
    pub(super) lost: u64,
}

struct Engine {
    key: TargetKey,
    is_dead: bool,
    paused_until_us: u64,
    ejected_until_us: u64,
    is_stepping: bool,
    streams: Vec<EngineStream>,
}

/// One attempt at an answer, as an engine generates it.
struct EngineStream {
    answer_index: usize,
    attempt: Attempt,
    /// The position after the prefix that the attempt was started with.
    first_position: u32,
    next_position: u32,
    /// Tokens of the prompt and prefix that aren't prefilled yet.
    unread_tokens: u64,
    /// The connection that reads the stream, and the position that it is sent next.
    reader: Option<(ConnectionId, u32)>,
    /// Whether the engine generates tokens but sends none.
    is_silent: bool,
}

struct Answer {
    generation: Generation,
    prompt_tokens: u64,
    length_tokens: u32,
    delivered_tokens: u32,
    resume_token: String,
    last_token_us: u64,
    hit_by_fault: bool,
    resumed: bool,
    longest_gap_us: u64,
    /// Zero for an answer that is open when the run begins.
    arrived_us: u64,
    generated_tokens: u64,
    record: Option<KeeperRecord>,
    granted_target: Option<TargetKey>,
    is_finished: bool,
    is_disconnected: bool,
    /// Counts the instances that the answer has lost; inputs for an earlier one are discarded.
    connection_epoch: u32,
}

enum SimEvent {
    EngineStep(usize),
    Input(usize, u32, Input),
    Tick(usize),
    Fault,
    Arrival,
    Reconnect(usize),
}

pub(super) struct Model {
    policy: Policy,
    fault: Fault,
    now_us: u64,
    last_event_id: u64,
    epoch: Instant,
    /// The time, sequence number and ID of each scheduled event.
    queue: BinaryHeap<Reverse<(u64, u64, usize)>>,
    events: HashMap<usize, SimEvent>,
    engines: Vec<Engine>,
    engine_by_key: HashMap<TargetKey, usize>,
    answers: Vec<Answer>,
    scheduler: Option<ResumeScheduler>,
    waiters: HashMap<WaiterKey, usize>,
    /// New answers that are held back while resumes wait.
    waiting_new: VecDeque<usize>,
    version: VersionKey,
    timeouts: Timeouts,
    rng: StdRng,
    fault_injected: bool,
    /// The time of the last fault.
    last_fault_us: u64,
    /// The time at which all answers hit by the fault had resumed; `u64::MAX` until then.
    settled_at_us: u64,
}

impl Model {
    pub(super) fn new(policy: Policy, fault: Fault, seed: u64) -> Self {
        let mut keys = SlotMap::<TargetKey, ()>::with_key();
        let count = if fault.hits_third_of_engines() {
            ENGINES.1
        } else {
            ENGINES.0
        };
        let engines: Vec<Engine> = (0..count)
            .map(|_| Engine {
                key: keys.insert(()),
                is_dead: false,
                paused_until_us: 0,
                ejected_until_us: 0,
                is_stepping: false,
                streams: Vec::new(),
            })
            .collect();
        let mut rng = StdRng::seed_from_u64(seed);
        Self {
            policy,
            fault,
            now_us: 0,
            last_event_id: 0,
            epoch: Instant::now(),
            queue: BinaryHeap::new(),
            events: HashMap::new(),
            engine_by_key: engines.iter().map(|engine| engine.key).zip(0..).collect(),
            engines,
            answers: Vec::new(),
            scheduler: policy.resume_limits.map(ResumeScheduler::new),
            waiters: HashMap::new(),
            waiting_new: VecDeque::new(),
            version: SlotMap::<VersionKey, ()>::with_key().insert(()),
            timeouts: timeouts_for(&mut rng, policy),
            rng,
            fault_injected: false,
            last_fault_us: 0,
            settled_at_us: u64::MAX,
        }
    }

    pub(super) fn run(mut self) -> RunResults {
        for _ in 0..self.engines.len() * STREAMS_PER_ENGINE {
            self.open_answer(true);
        }
        self.schedule(FAULT_AT_US, SimEvent::Fault);
        self.schedule(FAULT_AT_US, SimEvent::Arrival);
        while let Some(Reverse((at_us, _, id))) = self.queue.pop() {
            self.now_us = at_us;
            if at_us > RUN_LIMIT_US || at_us > self.settled_at_us.saturating_add(SETTLED_RUN_US) {
                break;
            }
            if self.settled_at_us == u64::MAX && self.fault_injected && self.is_settled() {
                self.settled_at_us = at_us;
            }
            if let Some(event) = self.events.remove(&id) {
                self.handle_event(event);
            }
        }
        self.results()
    }

    /// Whether every answer hit by the fault has resumed or ended. Checked every 1024 events.
    fn is_settled(&self) -> bool {
        self.last_event_id.is_multiple_of(1024)
            && self.now_us > FAULT_AT_US + 3_000_000
            && self
                .answers
                .iter()
                .all(|answer| !answer.hit_by_fault || answer.resumed || answer.is_finished)
    }

    fn results(&self) -> RunResults {
        let mut results = RunResults::default();
        for answer in &self.answers {
            if !answer.hit_by_fault {
                let samples = if answer.arrived_us > 0 {
                    &mut results.first_token_ms
                } else {
                    &mut results.unaffected_gap_ms
                };
                samples.extend(
                    (answer.longest_gap_us > 0).then_some(answer.longest_gap_us as f64 / 1000.0),
                );
                continue;
            }
            if answer.resumed {
                results
                    .resume_gap_ms
                    .push(answer.longest_gap_us as f64 / 1000.0);
                let delivered = f64::from(answer.delivered_tokens.max(1));
                let tokens = answer.prompt_tokens + u64::from(answer.delivered_tokens);
                results
                    .prefill_ms
                    .push((tokens * PREFILL_TOKEN_US) as f64 / 1000.0);
                results
                    .generated_per_delivered
                    .push(answer.generated_tokens as f64 / delivered);
            } else {
                results.lost += 1;
            }
        }
        results
    }

    fn schedule(&mut self, delay: u64, event: SimEvent) {
        self.last_event_id += 1;
        let id = self.last_event_id as usize;
        self.events.insert(id, event);
        self.queue
            .push(Reverse((self.now_us + delay, self.last_event_id, id)));
    }

    fn now_instant(&self) -> Instant {
        self.epoch + Duration::from_micros(self.now_us)
    }

    /// Opens an answer. An initial one has some of its tokens already, and doesn't end.
    fn open_answer(&mut self, is_initial: bool) {
        let tokens = self.draw_length(if is_initial {
            LONG_SHARE.1
        } else {
            LONG_SHARE.0
        });
        let answer_index = self.answers.len();
        let request = self.request(answer_index);
        let mut effects = Vec::new();
        let driver = DriverId::random(&mut self.rng);
        let limits = limits();
        let codec = codec(&request);
        let now = self.now_instant();
        let generation = Generation::new(request, limits, codec, driver, now, &mut effects);
        self.answers.push(Answer {
            generation,
            prompt_tokens: self.rng.random_range(PROMPT_TOKENS.0..PROMPT_TOKENS.1),
            length_tokens: if is_initial { u32::MAX } else { tokens },
            delivered_tokens: 0,
            resume_token: String::new(),
            last_token_us: self.now_us,
            hit_by_fault: false,
            resumed: false,
            longest_gap_us: 0,
            arrived_us: if is_initial { 0 } else { self.now_us },
            generated_tokens: 0,
            record: None,
            granted_target: None,
            is_finished: false,
            is_disconnected: false,
            connection_epoch: 0,
        });
        if is_initial {
            self.start_mid_answer(answer_index, tokens);
        } else {
            self.apply_effects(answer_index, effects);
        }
    }

    /// Puts an answer into the state after `delivered` tokens, on an engine chosen round-robin.
    fn start_mid_answer(&mut self, answer_index: usize, delivered: u32) {
        let engine = answer_index % self.engines.len();
        let input = Input::Chosen(ChosenTarget {
            target: engine.to_string().as_str().into(),
            version: "v1".into(),
            timeouts: self.timeouts_of(answer_index),
        });
        let mut effects = Vec::new();
        let now = self.now_instant();
        let answer = &mut self.answers[answer_index];
        answer.generation.step(now, input, &mut effects);
        let sequence = answer.generation.sequence();
        let attempt = sequence
            .map(|sequence| sequence.attempt())
            .unwrap_or_default();
        for position in 0..delivered {
            let event = Event::Frame(frame(answer_index, attempt, position));
            let input = Input::Event(FIRST_CONNECTION, event);
            answer.generation.step(now, input, &mut effects);
        }
        answer.generation.step(now, Input::Tick, &mut effects);
        for effect in effects {
            match effect {
                Effect::PutRecord(record) => answer.record = Some(record),
                Effect::Emit(emit) => answer.resume_token = emit.resume_token.to_string(),
                _ => {}
            }
        }
        answer.delivered_tokens = delivered;
        answer.generated_tokens = u64::from(delivered);
        self.engines[engine].streams.push(EngineStream {
            answer_index,
            attempt,
            first_position: 0,
            next_position: delivered,
            unread_tokens: 0,
            reader: Some((FIRST_CONNECTION, delivered)),
            is_silent: false,
        });
        self.schedule_step(engine);
    }

    fn draw_length(&mut self, long_share: f64) -> u32 {
        let is_long = self.rng.random_bool(long_share);
        let mean = if is_long {
            LONG_MEAN_TOKENS
        } else {
            SHORT_MEAN_TOKENS
        };
        let tokens = -mean * (1.0 - self.rng.random::<f64>()).ln();
        tokens.clamp(1.0, MAX_TOKENS) as u32
    }

    fn request(&self, answer_index: usize) -> Request {
        Request {
            key: format!("r{answer_index}").as_str().into(),
            body_digest: Digest::of(b"body"),
            seed: answer_index as u64,
            max_tokens: 1_000_000,
            mode: DeliveryMode::Streamed,
            deadline: self.epoch + Duration::from_secs(600),
            instance: "a".into(),
        }
    }

    fn handle_event(&mut self, event: SimEvent) {
        match event {
            SimEvent::EngineStep(engine) => self.step_engine(engine),
            SimEvent::Input(answer_index, connection_epoch, input)
                if self.answers[answer_index].connection_epoch == connection_epoch =>
            {
                self.handle_input(answer_index, input);
            }
            SimEvent::Input(..) => {}
            SimEvent::Tick(answer_index) => {
                let due = self.answers[answer_index].generation.next_tick();
                if due.is_some_and(|due| due <= self.now_instant()) {
                    self.handle_input(answer_index, Input::Tick);
                }
            }
            SimEvent::Fault => self.inject_fault(),
            SimEvent::Arrival => {
                if self.now_us > FAULT_AT_US + ARRIVAL_PERIOD_US {
                    return;
                }
                self.open_answer(false);
                self.schedule(
                    ARRIVAL_INTERVAL_US / self.engines.len() as u64,
                    SimEvent::Arrival,
                );
            }
            SimEvent::Reconnect(answer_index) => self.reconnect(answer_index),
        }
    }
}

/// No record delay, so that the keepers have the records of the answers open at the start.
fn limits() -> GenerationLimits {
    GenerationLimits {
        record_delay: Duration::ZERO,
        ..GenerationLimits::default()
    }
}

fn codec(request: &Request) -> ResumeTokenCodec {
    request.resume_token_codec(&ResumeTokenKey::new([7; 32]))
}

fn engine_index(target: &TargetName) -> usize {
    target.as_str().parse().unwrap_or(0)
}

fn token_at(answer: usize, position: u32) -> TokenId {
    TokenId((answer as u32).wrapping_mul(0x9e37_79b9) ^ position.wrapping_mul(0x85eb_ca6b))
}

fn frame(answer: usize, attempt: Attempt, position: u32) -> Frame {
    Frame {
        request: format!("r{answer}").as_str().into(),
        attempt,
        version: "v1".into(),
        position: Position(position),
        token: token_at(answer, position),
        text: "word".into(),
    }
}

/// Returns the timeouts learned from 10,000 gaps of a healthy engine, or the policy's fixed ones.
fn timeouts_for(rng: &mut StdRng, policy: Policy) -> Timeouts {
    let mut estimator = TimeoutEstimator::new(TimeoutLimits::default());
    for _ in 0..10_000 {
        let gap = rng.random_range(DECODE_GAP_US.0..DECODE_GAP_US.1);
        estimator.observe(Duration::from_micros(gap + NETWORK_DELAY_US));
    }
    let timeouts = estimator.timeouts(0);
    match policy.fixed_timeout {
        Some(gap) => Timeouts {
            token_gap: gap,
            first_token: gap,
            no_progress: gap,
            ..timeouts
        },
        None => timeouts,
    }
}
