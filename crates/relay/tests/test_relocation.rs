//! Where streams run on once their prompts were read.

use std::time::Duration;

use celerypond_relay::{PlacementKey, RemainingEvents, Targets};
use celerypond_types::TargetKey;
use rstest::rstest;
use tokio::time::Instant;

use crate::fixture::{home, key, three_data_centres, Wanted, TOKENS};

/// A step of the model.
const STEP: Duration = Duration::from_millis(20);
/// How long an engine reads a prompt.
const READING_MS: f64 = 1_200.0;
/// How long an answer takes at an engine that does nothing else.
const RUNNING_MS: f64 = 4_000.0;
/// How many times as slow a stream is beside the reading of a prompt.
const BESIDE: f64 = 8.0;

/// Adds a stream as a request does that has its place there.
fn add(targets: &mut Targets, at: TargetKey, part: u64) -> PlacementKey {
    targets.get_mut(at).unwrap().open_requests += 1;
    targets
        .add_stream(at, part, TOKENS, Instant::now())
        .unwrap()
}

/// Adds a stream whose prompt was read.
fn add_running(targets: &mut Targets, at: TargetKey, part: u64) -> PlacementKey {
    let place = add(targets, at, part);
    targets.record_prompt_read(at, place);
    place
}

fn remove(targets: &mut Targets, at: TargetKey, place: PlacementKey) {
    targets.get_mut(at).unwrap().open_requests -= 1;
    targets.remove_stream(at, place);
}

/// A stream of the model.
struct Stream {
    at: TargetKey,
    place: PlacementKey,
    part: u64,
    read_ms: f64,
    run_ms: f64,
    took_ms: f64,
    moves: usize,
}

/// What came of the streams of a model.
struct Outcome {
    /// The mean time from arrival to end.
    mean_ms: f64,
    /// Moves for each stream.
    moves: f64,
}

/// Replays prompts that arrive at the same gaps at `each` engines in each of three data centres. An
/// engine reads one prompt at a time, and what runs beside it is eight times as slow.
fn replay(each: u8, gap: Duration, does_move: bool) -> Outcome {
    let mut targets = three_data_centres(each);
    let wanted = Wanted::new();
    let begin = Instant::now();
    let mut open: Vec<Stream> = Vec::new();
    let mut done: Vec<(f64, usize)> = Vec::new();
    let steps = Duration::from_secs(40).as_millis() / STEP.as_millis();
    let every = gap.as_millis() / STEP.as_millis();
    for step in 0..steps {
        let now = begin + STEP * u32::try_from(step).unwrap();
        if step % every == 0 {
            let part = (step as u64 + 1) * 7_919;
            let at = targets.select(&wanted.stream(part), now).unwrap().key;
            let place = add(&mut targets, at, part);
            open.push(Stream {
                at,
                place,
                part,
                read_ms: READING_MS,
                run_ms: RUNNING_MS,
                took_ms: 0.0,
                moves: 0,
            });
        }
        advance(&mut targets, &mut open);
        if does_move {
            for stream in open.iter_mut().filter(|stream| stream.read_ms <= 0.0) {
                relocate(&mut targets, &wanted, stream, now);
            }
        }
        open.retain(|stream| {
            let is_over = stream.run_ms <= 0.0;
            if is_over {
                remove(&mut targets, stream.at, stream.place);
                done.push((stream.took_ms, stream.moves));
            }
            !is_over
        });
    }
    let count = done.len() as f64;
    Outcome {
        mean_ms: done.iter().map(|(took, _)| took).sum::<f64>() / count,
        moves: done.iter().map(|(_, moves)| *moves as f64).sum::<f64>() / count,
    }
}

fn advance(targets: &mut Targets, open: &mut [Stream]) {
    let step_ms = STEP.as_secs_f64() * 1_000.0;
    let mut reading: Vec<TargetKey> = Vec::new();
    for stream in open.iter_mut().filter(|stream| stream.read_ms > 0.0) {
        if reading.contains(&stream.at) {
            continue;
        }
        reading.push(stream.at);
        stream.read_ms -= step_ms;
        if stream.read_ms <= 0.0 {
            targets.record_prompt_read(stream.at, stream.place);
        }
    }
    for stream in open.iter_mut() {
        stream.took_ms += step_ms;
        if stream.read_ms <= 0.0 {
            let is_beside = reading.contains(&stream.at);
            stream.run_ms -= if is_beside { step_ms / BESIDE } else { step_ms };
        }
    }
}

fn relocate(targets: &mut Targets, wanted: &Wanted, stream: &mut Stream, now: Instant) {
    let ahead = RemainingEvents {
        events: stream.run_ms / 35.0,
    };
    let want = wanted.stream(stream.part);
    let Some(better) = targets.better_engine(stream.at, &want, ahead, now) else {
        return;
    };
    remove(targets, stream.at, stream.place);
    stream.at = better.key;
    stream.place = add_running(targets, better.key, stream.part);
    stream.moves += 1;
}

/// Prompts arrive so fast that two fifths of 24 engines read at any moment, or, after a data centre was
/// lost, three fifths of sixteen. Streams that stay where they were read meet other prompts; streams that move
/// are nearly as fast as alone, and each moves about once.
#[rstest]
#[case::all_engines(8, 160)]
#[case::a_third_lost(5, 160)]
fn streams_that_leave_reading_engines_are_done_sooner(#[case] each: u8, #[case] gap_ms: u64) {
    let gap = Duration::from_millis(gap_ms);
    let alone = READING_MS + RUNNING_MS;
    let stays = replay(each, gap, false);
    let moves = replay(each, gap, true);
    assert!(moves.mean_ms < stays.mean_ms * 0.95, "{}", stays.mean_ms);
    assert!(moves.mean_ms < alone * 1.1, "{}", moves.mean_ms);
    assert!(moves.moves < 1.6, "{}", moves.moves);
}

/// Few prompts arrive, so there are engines for all. A stream runs where it was read, and nothing is
/// copied.
#[test]
fn streams_stay_where_engines_are_free() {
    let calm = replay(8, Duration::from_millis(900), true);
    assert!(calm.moves < 0.1, "{}", calm.moves);
    assert!(calm.mean_ms < (READING_MS + RUNNING_MS) * 1.02);
}

/// Two engines, one with a stream at which a prompt arrives.
fn beside_a_prompt() -> (Targets, TargetKey) {
    let mut targets = three_data_centres(1);
    let at = key(&targets, "east-0-1");
    add_running(&mut targets, at, 1);
    add(&mut targets, at, 2);
    (targets, at)
}

/// A prompt comes to the engine of a stream. The stream leaves, and does not come back when it is
/// asked again where it is: two engines must not pass streams to and fro.
#[test]
fn a_stream_leaves_a_prompt_and_stays_where_it_went() {
    let (targets, at) = beside_a_prompt();
    let (wanted, now) = (Wanted::new(), Instant::now());
    let want = wanted.stream(1);
    let better = targets.better_engine(at, &want, RemainingEvents::default(), now);
    let to = better.unwrap().key;
    assert_ne!(to, at);
    let next = targets.better_engine(to, &want, RemainingEvents::default(), now);
    assert_eq!(next, None);
}

/// A stream is nearly done when a prompt comes. It would be done before a move pays.
#[test]
fn a_stream_that_is_nearly_done_stays() {
    let (targets, at) = beside_a_prompt();
    let ahead = RemainingEvents { events: 2.0 };
    let wanted = Wanted::new();
    let better = targets.better_engine(at, &wanted.stream(1), ahead, Instant::now());
    assert_eq!(better, None);
}

/// An engine turns slow in the middle of streams. They leave it; where all are so slow, they stay.
#[test]
fn streams_leave_a_slow_engine() {
    let now = Instant::now();
    let mut targets = three_data_centres(1);
    let wanted = Wanted::new();
    let at = key(&targets, "east-0-1");
    add_running(&mut targets, at, 1);
    for name in ["east-0-1", "mid-0-1", "west-0-1"] {
        let key = key(&targets, name);
        targets.record_event_time(key, 100.0, now);
    }
    let all_slow = targets.better_engine(at, &wanted.stream(1), RemainingEvents::default(), now);
    assert_eq!(all_slow, None);
    let fast = key(&targets, "mid-0-1");
    targets.record_event_time(fast, 30.0, now);
    let better = targets.better_engine(at, &wanted.stream(1), RemainingEvents::default(), now);
    assert_eq!(better.map(|better| better.key), Some(fast));
}

/// The only engines that read nothing have no memory left. A stream that moved there would have another one
/// preempted.
#[test]
fn a_stream_does_not_move_where_memory_is_short() {
    let (mut targets, at) = beside_a_prompt();
    let now = Instant::now();
    for name in ["mid-0-1", "west-0-1"] {
        let full = key(&targets, name);
        for part in 10..18 {
            add_running(&mut targets, full, part);
        }
    }
    let wanted = Wanted::new();
    let better = targets.better_engine(at, &wanted.stream(1), RemainingEvents::default(), now);
    assert_eq!(better.map(|better| home(&targets, better.key)), None);
}
