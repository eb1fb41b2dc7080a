//! Plans of takeovers.

use std::time::Duration;

use celerypond_answer::{
    ChainDigest, ConnectionId, DeliveryMode, DriverId, Effect, Generation, GenerationLimits, Input,
    KeeperRecord, Origin, Request, ResumeToken, ResumeTokenKey, StreamId, TakeOver, TakeOverError,
    Timeouts,
};
use celerypond_types::{Attempt, Digest, Position, TokenId};
use rstest::rstest;
use tokio::time::Instant;

/// The caller has the tokens 0 to 4, the last of them from engine 1, attempt 1.
fn token() -> ResumeToken {
    ResumeToken {
        origin: origin(1, "v1"),
        position: Position(5),
        digest: ChainDigest::of(&tokens(5)),
    }
}

fn tokens(count: u32) -> Vec<TokenId> {
    (0..count).map(TokenId).collect()
}

fn origin(number: u32, version: &str) -> Origin {
    Origin {
        attempt: Attempt(number),
        stream: StreamId {
            target: format!("e{number}").as_str().into(),
            attempt: Attempt(number),
        },
        version: version.into(),
        seed: 1,
    }
}

fn record(number: u32, version: &str, prefix: Vec<TokenId>) -> KeeperRecord {
    KeeperRecord {
        key: "r".into(),
        origin: origin(number, version),
        instance: "a".into(),
        digest: ChainDigest::of(&prefix),
        prefix,
        text: String::new(),
        remaining: 1000,
    }
}

fn plan(
    record: Option<KeeperRecord>,
    caller_tokens: &[TokenId],
) -> Result<TakeOver, TakeOverError> {
    let plan = TakeOver::plan(
        DriverId::new(1),
        Some(&token()),
        record.as_ref(),
        caller_tokens,
    );
    plan.map(Option::unwrap)
}

// A caller reconnects at another instance with its resume token. The stream and position that are
// read first decide whether the answer continues at once, is generated again, or can't be verified.
#[rstest]
#[case::keepers_lost(None, 1, None, 0)]
#[case::same_stream(Some(record(1, "v1", tokens(3))), 1, None, 3)]
#[case::driver_moved_on(Some(record(2, "v1", tokens(4))), 2, Some(1), 4)]
#[case::driver_was_ahead_of_the_caller(Some(record(2, "v1", tokens(9))), 2, Some(1), 5)]
#[case::record_of_another_sequence(Some(record(2, "v1", vec![TokenId(7); 9])), 1, None, 0)]
#[case::record_of_another_version(Some(record(2, "v2", tokens(4))), 1, None, 0)]
#[case::record_older_than_the_token(Some(record(0, "v1", tokens(4))), 1, None, 0)]
fn stream_and_position_to_resume_from(
    #[case] record: Option<KeeperRecord>,
    #[case] engine: u32,
    #[case] fallback: Option<u32>,
    #[case] known: u32,
) {
    let attempt = record.as_ref().map_or(Attempt(1), KeeperRecord::attempt);
    let plan = plan(record, &[]).unwrap();
    assert_eq!(plan.origin, origin(engine, "v1"));
    assert_eq!(plan.fallback, fallback.map(|engine| origin(engine, "v1")));
    assert_eq!(plan.prefix, tokens(known));
    assert!(plan.attempt > attempt.max(Attempt(1)));
}

#[rstest]
#[case::all(tokens(5), Ok(5))]
#[case::more_than_the_resume_token_covers(tokens(7), Ok(5))]
#[case::fewer(tokens(4), Err(TakeOverError::TokenMismatch))]
#[case::others(vec![TokenId(9); 5], Err(TakeOverError::TokenMismatch))]
fn tokens_sent_by_the_caller_must_match_its_resume_token(
    #[case] caller_tokens: Vec<TokenId>,
    #[case] expected: Result<u32, TakeOverError>,
) {
    let found = plan(None, &caller_tokens).map(|plan| plan.prefix);
    assert_eq!(found, expected.map(tokens));
}

// The engine of the later attempt is dead, but the engine of the caller's last token is alive.
// After the first connection fails, the caller's stream must be resumed before a new attempt is
// started.
#[test]
fn stream_of_the_caller_is_resumed_if_the_later_one_is_gone() {
    let now = Instant::now();
    let plan = plan(Some(record(2, "v1", tokens(4))), &[]).unwrap();
    let request = Request {
        key: "r".into(),
        body_digest: Digest::of(b"body"),
        seed: 1,
        max_tokens: 100,
        mode: DeliveryMode::Streamed,
        deadline: now + Duration::from_secs(60),
        instance: "b".into(),
    };
    let timeouts = Timeouts {
        first_token: Duration::from_secs(1),
        token_gap: Duration::from_secs(1),
        probe: Duration::from_secs(1),
        no_progress: Duration::from_secs(1),
    };
    let codec = request.resume_token_codec(&ResumeTokenKey::new([7; 32]));
    let limits = GenerationLimits::default();
    let mut out = Vec::new();
    let mut answer = Generation::take_over(request, limits, codec, plan, timeouts, now, &mut out);
    assert_eq!(resumed(&out), [("e2", 4)]);
    assert!(out.iter().any(
        |effect| matches!(effect, Effect::NotifyInstance(instance, _) if instance.as_str() == "a")
    ));
    out.clear();
    answer.step(now, Input::Closed(ConnectionId(1)), &mut out);
    assert_eq!(resumed(&out), [("e1", 0)]);
    assert!(!out
        .iter()
        .any(|effect| matches!(effect, Effect::ChooseTarget(_))));
}

fn resumed(out: &[Effect]) -> Vec<(&str, u32)> {
    let resumes = out.iter().filter_map(|effect| match effect {
        Effect::Resume { stream, from, .. } => Some((stream.target.as_str(), from.0)),
        _ => None,
    });
    resumes.collect()
}
