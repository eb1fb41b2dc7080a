//! What became of requests, by moment and reason.

use celerypond_cli::{losses, Fate, Source};

/// Lines of two instances. A stream is whole, one was cut by the loss of its instance, one came back too late, one was
/// broken off, a call failed at its target, and one was refused.
const FIRST: &str = r#"{"time":"2026-01-01T00:00:00.000Z","level":"INFO","message":"started"}
{"time":"2026-01-01T00:00:00.100Z","level":"INFO","message":"engine began","request":"whole","target":"i-1","status":200}
{"time":"2026-01-01T00:00:00.101Z","level":"INFO","message":"answered","request":"whole","status":200,"target":"i-1"}
{"time":"2026-01-01T00:00:00.900Z","level":"INFO","message":"engine began","request":"cut","target":"i-1","status":200}
{"time":"2026-01-01T00:00:00.901Z","level":"INFO","message":"answered","request":"cut","status":200,"target":"i-1"}
{"time":"2026-01-01T00:00:04.000Z","level":"INFO","message":"stream complete","request":"whole","events":140}
"#;
const SECOND: &str = r#"not a line of ours
{"time":"2026-01-01T00:00:02.500Z","level":"INFO","message":"too late to be served","request":"late","left_ms":900}
{"time":"2026-01-01T00:00:02.501Z","level":"WARN","message":"answered","request":"late","status":503,"why":"TooLate"}
{"time":"2026-01-01T00:00:02.600Z","level":"INFO","message":"answered","request":"bad","status":500,"target":"i-9"}
{"time":"2026-01-01T00:00:02.700Z","level":"WARN","message":"answered","request":"no-1","status":503,"why":"NoTarget"}
{"time":"2026-01-01T00:00:02.800Z","level":"WARN","message":"answered","request":"no-2","status":503,"why":"Stopping"}
{"time":"2026-01-01T00:00:05.000Z","level":"INFO","message":"answered","request":"broken","status":200,"target":"i-1"}
{"time":"2026-01-01T00:00:06.000Z","level":"INFO","message":"stream goes on","request":"broken","failed":"Some(Expired)"}
"#;

#[test]
fn requests_are_counted_by_moment_and_fate() {
    let sources = [
        Source {
            name: "a",
            text: FIRST,
        },
        Source {
            name: "b",
            text: SECOND,
        },
    ];
    let losses = losses(&sources, 2);
    let rows: Vec<(u64, Fate, usize)> = losses
        .iter()
        .map(|loss| (loss.from_s, loss.fate, loss.count))
        .collect();
    assert_eq!(
        rows,
        [
            (0, Fate::Answered, 1),
            (0, Fate::NoEnd, 1),
            (2, Fate::FailedAtTarget, 1),
            (2, Fate::Refused, 2),
            (2, Fate::TooLate, 1),
            (4, Fate::BrokenOff, 1),
        ]
    );
    assert_eq!(losses[1].example, "cut");
}

#[test]
fn no_lines_have_no_losses() {
    assert!(losses(&[], 2).is_empty());
}
