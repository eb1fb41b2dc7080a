//! The processor time per token and the memory per open answer, measured on this machine.

use std::{fs, hint::black_box, time::Instant as Clock};

use celerypond_answer::{
    ChainDigest, ChosenTarget, ConnectionId, DeliveryMode, DriverId, Effect, Event, Frame,
    Generation, GenerationLimits, Input, KeeperRecord, Origin, Request, ResumeTokenKey, StreamId,
    TimeoutEstimator, TimeoutLimits, TokenSequence,
};
use celerypond_types::{Attempt, Digest, Position, TokenId};
use tokio::time::{Duration, Instant};

use crate::table::Row;

const TOKENS: u32 = 10_000;
const OPEN_ANSWERS: usize = 20_000;
const ANSWER_TOKENS: u32 = 344;
const TARGETS: usize = 2_000;
const PAGE_BYTES: f64 = 4096.0;

/// Runs the benchmarks.
pub(super) fn run(seeds: u64) -> Vec<Row> {
    let times = |work: fn() -> u64| (0..seeds).map(|_| nanoseconds_per_token(work)).collect();
    vec![
        Row::of(
            "cost of a token",
            "baseline: JSON parse alone",
            "ns",
            times(parse_frames),
        ),
        Row::of(
            "cost of a token",
            "chain: SHA-256",
            "ns",
            times(sha256_chain),
        ),
        Row::of(
            "cost of a token",
            "chain: rapidhash (chosen)",
            "ns",
            times(rapidhash_chain),
        ),
        Row::of("cost of a token", "splice", "ns", times(accept_tokens)),
        Row::of(
            "cost of a token",
            "whole generation with id",
            "ns",
            times(step_generation),
        ),
        Row::of(
            "memory of a target's gaps",
            "two windows",
            "B",
            vec![estimator_bytes()],
        ),
        Row::of(
            "bytes of a keeper record",
            "stub",
            "B",
            vec![record_bytes(0)],
        ),
        Row::of(
            "bytes of a keeper record",
            "with 64 tokens",
            "B",
            vec![record_bytes(64)],
        ),
        Row::of(
            "memory of an open answer",
            "344 tokens, streamed",
            "B",
            vec![answer_bytes()],
        ),
    ]
}

fn nanoseconds_per_token(work: fn() -> u64) -> f64 {
    let start = Clock::now();
    black_box(work());
    start.elapsed().as_nanos() as f64 / f64::from(TOKENS)
}

fn frame(position: u32) -> Frame {
    Frame {
        request: "order-1234567".into(),
        attempt: Attempt(0),
        version: "v1".into(),
        position: Position(position),
        token: TokenId(position.wrapping_mul(0x9e37_79b9)),
        text: "word ".into(),
    }
}

fn parse_frames() -> u64 {
    let data = serde_json::to_string(&frame(7)).unwrap_or_default();
    (0..TOKENS)
        .filter(|_| Event::parse(black_box(&data)).is_ok())
        .count() as u64
}

fn sha256_chain() -> u64 {
    let mut state = [0; 36];
    for token in 0..TOKENS {
        state[32..].copy_from_slice(&token.to_le_bytes());
        let digest = Digest::of(black_box(&state));
        state[..32].copy_from_slice(digest.as_bytes());
    }
    u64::from(state[0])
}

fn rapidhash_chain() -> u64 {
    (0..TOKENS)
        .fold(ChainDigest::default(), |digest, token| {
            digest.with(black_box(TokenId(token)))
        })
        .0
}

fn accept_tokens() -> u64 {
    let mut sequence = TokenSequence::new("order-1234567".into(), "v1".into(), Attempt(0), TOKENS);
    let mut frame = frame(0);
    for position in 0..TOKENS {
        frame.position = Position(position);
        black_box(sequence.accept(black_box(&frame)));
    }
    sequence.digest().0
}

fn step_generation() -> u64 {
    let (mut generation, now) = open_generation("order-1234567");
    let mut effects = Vec::new();
    for position in 0..TOKENS {
        let frame = Frame {
            attempt: generation
                .sequence()
                .map(TokenSequence::attempt)
                .unwrap_or_default(),
            ..frame(position)
        };
        generation.step(
            now,
            Input::Event(ConnectionId(1), Event::Frame(frame)),
            &mut effects,
        );
        black_box(&effects);
        effects.clear();
    }
    generation
        .sequence()
        .map_or(0, |sequence| sequence.digest().0)
}

fn open_generation(key: &str) -> (Generation, Instant) {
    let now = Instant::now();
    let request = Request {
        key: key.into(),
        body_digest: Digest::of(b"body"),
        seed: 1,
        max_tokens: TOKENS,
        mode: DeliveryMode::Streamed,
        deadline: now + Duration::from_secs(600),
        instance: "instance-1".into(),
    };
    let codec = request.resume_token_codec(&ResumeTokenKey::new([7; 32]));
    let limits = GenerationLimits::default();
    let mut effects: Vec<Effect> = Vec::new();
    let mut generation =
        Generation::new(request, limits, codec, DriverId::new(1), now, &mut effects);
    let chosen = ChosenTarget {
        target: "engine-1".into(),
        version: "v1".into(),
        timeouts: TimeoutEstimator::new(TimeoutLimits::default()).timeouts(0),
    };
    generation.step(now, Input::Chosen(chosen), &mut effects);
    (generation, now)
}

/// Returns the resident memory of one target's timeout estimator, averaged over [`TARGETS`].
fn estimator_bytes() -> f64 {
    let before = resident_bytes();
    let estimators: Vec<TimeoutEstimator> = (0..TARGETS).map(|_| filled_estimator()).collect();
    let after = resident_bytes();
    black_box(&estimators);
    (after - before) / TARGETS as f64
}

fn filled_estimator() -> TimeoutEstimator {
    let mut estimator = TimeoutEstimator::new(TimeoutLimits::default());
    for gap in 0..ANSWER_TOKENS * 20 {
        estimator.observe(Duration::from_millis(u64::from(gap % 400)));
    }
    estimator
}

/// Returns the encoded length of a keeper record whose prefix has `tokens` tokens.
fn record_bytes(tokens: u32) -> f64 {
    let prefix: Vec<TokenId> = (0..tokens).map(TokenId).collect();
    let record = KeeperRecord {
        key: "order-1234567".into(),
        origin: Origin {
            attempt: Attempt(0),
            stream: StreamId {
                target: "engine-1".into(),
                attempt: Attempt(0),
            },
            version: "v1".into(),
            seed: 1,
        },
        instance: "instance-1".into(),
        digest: ChainDigest::of(&prefix),
        prefix,
        text: String::new(),
        remaining: 60_000,
    };
    record.encode().len() as f64
}

/// Returns the resident memory of one open answer, averaged over [`OPEN_ANSWERS`]; 0 if the system
/// doesn't report it.
fn answer_bytes() -> f64 {
    let before = resident_bytes();
    let answers: Vec<Generation> = (0..OPEN_ANSWERS)
        .map(|index| generation_with_answer(&format!("order-{index:07}")))
        .collect();
    let after = resident_bytes();
    black_box(&answers);
    (after - before) / OPEN_ANSWERS as f64
}

fn generation_with_answer(key: &str) -> Generation {
    let (mut generation, now) = open_generation(key);
    let attempt = generation
        .sequence()
        .map(TokenSequence::attempt)
        .unwrap_or_default();
    let mut effects = Vec::new();
    for position in 0..ANSWER_TOKENS {
        let frame = Frame {
            request: key.into(),
            attempt,
            ..frame(position)
        };
        generation.step(
            now,
            Input::Event(ConnectionId(1), Event::Frame(frame)),
            &mut effects,
        );
        effects.clear();
    }
    generation
}

fn resident_bytes() -> f64 {
    let text = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text
        .split(' ')
        .nth(1)
        .and_then(|pages| pages.parse::<f64>().ok());
    pages.unwrap_or(0.0) * PAGE_BYTES
}
