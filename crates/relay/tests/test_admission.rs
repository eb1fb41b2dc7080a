//! Which streams can still be served.

use std::time::Duration;

use celerypond_relay::{PromptPart, StreamRequest, Targets};
use rand::{rngs::SmallRng, Rng as _, SeedableRng as _};
use rstest::rstest;
use tokio::time::Instant;

use crate::fixture::{key, three_data_centres, Wanted};

const PROMPT: u64 = 5_200;
/// What an engine reads in a millisecond.
const RATE: f64 = 4.4;
const EVENT_MS: f64 = 29.0;

/// Knows answers of 85 to 190 events, and how fast engines read and run.
fn experienced() -> Targets {
    let mut targets = three_data_centres(2);
    let service = celerypond_types::ServiceName::new("writer");
    let now = Instant::now();
    for events in (85..=190).step_by(3) {
        targets.history.record_event_count(&service, events);
        targets
            .history
            .record_reading(&service, PROMPT, PROMPT as f64 / RATE);
    }
    let at = key(&targets, "east-0-1");
    targets.record_event_time(at, EVENT_MS as f32, now);
    targets
}

fn is_admitted(targets: &Targets, part: u64, last: u64, left: Duration) -> bool {
    let asks = StreamRequest {
        prompt_tokens: PROMPT,
        last_event: last,
        time_left: left,
    };
    let wanted = Wanted::new();
    let needs = targets.time_needed(&wanted.stream(part), &asks, Instant::now());
    needs.is_none_or(|needs| needs.fits_within(left))
}

/// All instances lose their power. Callers notice after most of their time and ask again, with a part of the
/// answer or without. Of a thousand of them, those that are refused would not have been served by the
/// fastest engine, but for a few whose answers are short; and most of those that are let in would be.
#[test]
fn callers_that_come_back_late_are_refused_only_where_no_engine_would_do() {
    let targets = experienced();
    let mut rng = SmallRng::seed_from_u64(1);
    let (mut refused, mut wrongly, mut let_in, mut in_vain) = (0, 0, 0, 0);
    for part in 0..1_000 {
        let events: u64 = rng.random_range(85..=190);
        let last = rng.random_range(0..events);
        let left_ms = rng.random_range(0.0..7_000.0);
        let takes_ms = PROMPT as f64 / RATE + (events - last) as f64 * EVENT_MS;
        let left = Duration::from_secs_f64(left_ms / 1_000.0);
        let is_served = takes_ms <= left_ms;
        if is_admitted(&targets, part, last, left) {
            let_in += 1;
            in_vain += u32::from(!is_served);
        } else {
            refused += 1;
            wrongly += u32::from(is_served);
        }
    }
    assert!(refused > 300 && let_in > 300, "{refused} {let_in}");
    assert!(wrongly * 20 < refused, "{wrongly} of {refused}");
    assert!(in_vain * 4 < let_in, "{in_vain} of {let_in}");
}

/// A caller comes back to an engine that has read its prompt. Nothing is read, so it has time enough.
#[test]
fn a_prompt_that_was_read_needs_no_time() {
    let mut targets = experienced();
    let left = Duration::from_millis(900);
    assert!(!is_admitted(&targets, 7, 80, left));
    let at = key(&targets, "mid-1-1");
    targets.add_stream(at, 7, PROMPT, Instant::now()).unwrap();
    assert!(is_admitted(&targets, 7, 80, left));
}

/// An instance that has just started knows nothing of the service, or too little. It refuses nobody for
/// lack of time.
#[rstest]
#[case::nothing_known(0)]
#[case::too_little_known(3)]
fn an_instance_without_experience_lets_all_in(#[case] answers: u64) {
    let mut targets = three_data_centres(2);
    let service = celerypond_types::ServiceName::new("writer");
    (0..answers).for_each(|_| targets.history.record_event_count(&service, 150));
    let at = key(&targets, "east-0-1");
    targets.record_event_time(at, EVENT_MS as f32, Instant::now());
    assert!(is_admitted(&targets, 1, 0, Duration::from_millis(10)));
}

/// All instances lost their power and do not know where prompts were read. An engine tells that it holds the
/// one of a caller, who then has time enough and is sent there. An engine that has dropped a part of it
/// does not count.
#[rstest]
#[case::holds_all(5_000, true)]
#[case::has_dropped_a_part(3_000, false)]
fn an_engine_that_holds_a_prompt_is_found(#[case] tokens: u64, #[case] is_found: bool) {
    let mut targets = experienced();
    let now = Instant::now();
    let wanted = Wanted::new();
    let part = PromptPart {
        id: 7,
        tokens: 5_000,
    };
    assert!(!targets.locate_part(part, now));
    let asked = targets.engines_to_query(&wanted.stream(part.id), now);
    assert_eq!(asked.len(), 6);
    let holds = PromptPart { tokens, ..part };
    targets.record_held_parts(asked[3], &[holds], now);
    assert_eq!(targets.locate_part(part, now), is_found);
    let left = Duration::from_millis(2_200);
    assert!(is_admitted(&targets, part.id, 80, left));
    assert_eq!(
        is_admitted(&targets, part.id, 80, Duration::from_millis(900)),
        is_found
    );
    let picked = targets.select(&wanted.stream(part.id), now).unwrap().key;
    assert_eq!(picked == asked[3], is_found);
}

/// Thirty callers come back at once. Each engine is asked once for all of them.
#[test]
fn engines_are_asked_once_for_all_that_come_back() {
    let mut targets = experienced();
    let now = Instant::now();
    let wanted = Wanted::new();
    let asked: usize = (0..30)
        .map(|part| targets.engines_to_query(&wanted.stream(part), now).len())
        .sum();
    assert_eq!(asked, 6);
    let later = now + Duration::from_secs(2);
    assert_eq!(targets.engines_to_query(&wanted.stream(1), later).len(), 6);
}
