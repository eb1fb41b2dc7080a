//! Verdicts on single events.

use celerypond_answer::{Done, Event, FinishReason, Frame, TokenSequence, Verdict};
use celerypond_types::{Attempt, Position, TokenId};
use rstest::rstest;

fn frame(request: &str, attempt: u32, version: &str, position: u32, token: u32) -> Frame {
    Frame {
        request: request.into(),
        attempt: Attempt(attempt),
        version: version.into(),
        position: Position(position),
        token: TokenId(token),
        text: "t".into(),
    }
}

/// A sequence of at most 5 tokens, with the tokens 10 and 11, whose current attempt is 1.
fn sequence() -> TokenSequence {
    let mut sequence = TokenSequence::new("r".into(), "v1".into(), Attempt(0), 5);
    sequence.accept(&frame("r", 0, "v1", 0, 10));
    sequence.accept(&frame("r", 0, "v1", 1, 11));
    sequence.set_attempt(Attempt(1));
    sequence
}

const fn gap(found: u32) -> Verdict {
    Verdict::Gap {
        expected: Position(2),
        found: Position(found),
    }
}

const fn contradiction(position: u32) -> Verdict {
    Verdict::Contradiction {
        position: Position(position),
    }
}

// After failures of engines and connections, events may arrive late, twice, out of order, from an
// engine that was paused, or from another request. Only the next token of this answer may be
// accepted, since the caller can't tell a wrong token from a correct one.
#[rstest]
#[case::next_token(frame("r", 1, "v1", 2, 12), Verdict::Accepted)]
#[case::repeated_token(frame("r", 1, "v1", 1, 11), Verdict::Duplicate)]
#[case::other_token_at_an_earlier_position(frame("r", 1, "v1", 1, 99), contradiction(1))]
#[case::token_after_a_gap(frame("r", 1, "v1", 3, 13), gap(3))]
#[case::late_frame_of_an_old_attempt(
    frame("r", 0, "v1", 2, 12),
    Verdict::Superseded { attempt: Attempt(0) }
)]
#[case::frame_of_a_newer_driver(
    frame("r", 65_536, "v1", 2, 12),
    Verdict::Superseded { attempt: Attempt(65_536) }
)]
#[case::frame_of_another_request(frame("q", 1, "v1", 2, 12), Verdict::WrongRequest)]
#[case::frame_of_another_version(frame("r", 1, "v2", 2, 12), Verdict::WrongVersion)]
fn only_the_next_frame_of_this_answer_is_accepted(#[case] frame: Frame, #[case] verdict: Verdict) {
    let mut sequence = sequence();
    assert_eq!(sequence.accept(&frame), verdict);
    let expected = if verdict == Verdict::Accepted { 3 } else { 2 };
    assert_eq!(sequence.next(), Position(expected));
}

// The end event of a stream may arrive early or have a wrong length. An incomplete answer must
// never be taken for a complete one.
#[rstest]
#[case::complete("r", 1, 2, FinishReason::Stop, Verdict::Complete(FinishReason::Stop))]
#[case::tokens_missing("r", 1, 4, FinishReason::Stop, gap(4))]
#[case::shorter_than_received("r", 1, 1, FinishReason::Stop, contradiction(1))]
#[case::limit_not_reached("r", 1, 2, FinishReason::Length, contradiction(2))]
#[case::other_request("q", 1, 2, FinishReason::Stop, Verdict::WrongRequest)]
#[case::old_attempt("r", 0, 2, FinishReason::Stop, Verdict::Superseded { attempt: Attempt(0) })]
fn end_is_accepted_only_if_the_answer_is_complete(
    #[case] request: &str,
    #[case] attempt: u32,
    #[case] length: u32,
    #[case] reason: FinishReason,
    #[case] verdict: Verdict,
) {
    let done = Done {
        request: request.into(),
        attempt: Attempt(attempt),
        length: Position(length),
        reason,
    };
    assert_eq!(sequence().finish(&done), verdict);
}

#[rstest]
#[case::truncated(r#"{"request":"r","attempt":0,"version":"v","pos"#)]
#[case::without_position(r#"{"request":"r","attempt":0,"version":"v","token":1,"text":"t"}"#)]
#[case::end_without_length(r#"{"request":"r","attempt":0,"done":true,"reason":"stop"}"#)]
fn truncated_data_is_rejected(#[case] data: &str) {
    assert!(Event::parse(data).is_err());
}

#[test]
fn token_event_is_parsed() {
    let data = r#"{"request":"r","attempt":1,"version":"v1","position":2,"token":12,"text":"t"}"#;
    let event = Event::parse(data).unwrap();
    assert_eq!(event, Event::Frame(frame("r", 1, "v1", 2, 12)));
}
