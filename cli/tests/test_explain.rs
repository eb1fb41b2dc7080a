//! The story of a request.

use celerypond_cli::{explain, ExplainError, Source};
use rstest::rstest;

const FIRST: &str = r#"{"time":"2026-01-01T00:00:01.000Z","level":"WARN","message":"store lost","kind":"servers/"}
{"time":"2026-01-01T00:00:02.000Z","level":"INFO","message":"attempt ended","request":"r1","target":"i-7","ended":"Broken"}
{"time":"2026-01-01T00:00:02.001Z","level":"WARN","message":"answered","request":"r1","status":502,"why":"Failed"}
{"time":"2026-01-01T00:00:02.002Z","level":"INFO","message":"answered","request":"r2","status":200,"target":"i-8"}
not a line of ours
{"time":"2026-01-01T00:00:09.000Z","level":"INFO","message":"store regained","kind":"servers/"}
"#;

const SECOND: &str = r#"   1.0 b {"time":"2026-01-01T00:00:01.500Z","level":"INFO","message":"stopping"}
   2.0 b {"time":"2026-01-01T00:00:02.500Z","level":"INFO","message":"answered","request":"r3","status":200,"target":"i-8"}
"#;

fn sources() -> [Source<'static>; 2] {
    [
        Source {
            name: "a",
            text: FIRST,
        },
        Source {
            name: "all",
            text: SECOND,
        },
    ]
}

#[test]
fn a_request_is_told_with_what_its_instance_knew() {
    let story = explain("r1", &sources()).unwrap();
    let messages: Vec<&str> = story
        .lines
        .iter()
        .map(|line| line.message.as_str())
        .collect();
    assert_eq!(messages, ["store lost", "attempt ended", "answered"]);
    assert_eq!(
        story.cause,
        "answered with 502 by the instance: Failed; the last attempt, at i-7, ended Broken"
    );
}

#[test]
fn collected_lines_name_their_instance() {
    let story = explain("r3", &sources()).unwrap();
    assert!(story.lines.iter().all(|line| line.instance == "b"));
    assert_eq!(story.lines[0].message, "stopping");
}

#[test]
fn a_request_that_no_line_names_is_said_to_be_unknown() {
    let error = explain("r9", &sources()).unwrap_err();
    assert_eq!(error, ExplainError::Unknown("r9".to_owned()));
}

#[rstest]
#[case::left(
    r#"{"time":"2026-01-01T00:00:02.000Z","message":"caller left its stream","request":"r","events":4}"#,
    "its caller left after 4 events"
)]
#[case::broken(
    r#"{"time":"2026-01-01T00:00:02.000Z","message":"stream goes on","request":"r","failed":"Some(Failed)"}"#,
    "the stream was broken off: Some(Failed)"
)]
#[case::no_end(
    r#"{"time":"2026-01-01T00:00:02.000Z","message":"engine began","request":"r","target":"i-7"}"#,
    "no answer is told of: its caller left, or the instance died"
)]
fn each_kind_of_end_has_its_cause(#[case] text: &str, #[case] cause: &str) {
    let story = explain("r", &[Source { name: "a", text }]).unwrap();
    assert_eq!(story.cause, cause);
}
