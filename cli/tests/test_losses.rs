//! Tests of the counts of outcomes over time.

use celerypond_cli::{count_outcomes, LogSource, Outcome};

// The logs of two instances:
// - `whole`: a complete stream
// - `cut`: a stream without an end, because its instance crashed
// - `late`: a request refused because too little time was left before its deadline
// - `bad`: a call that failed at its target
// - `no-1`, `no-2`: requests refused by the instance
// - `broken`: a stream that the instance ended early
// - `moved`: a stream that the instance ended early after a move
// - `stopped`: a stream that the instance cut off at the end of its stop
// - `relayed`: a stream whose caller disconnected after the instance that relayed it had ended
// - `gone`: a request whose caller disconnected before the response
const LOG_A: &str = r#"{"time":"2026-01-01T00:00:00.000Z","level":"INFO","message":"started"}
{"time":"2026-01-01T00:00:00.100Z","level":"INFO","message":"engine began","request":"whole","target":"i-1","status":200}
{"time":"2026-01-01T00:00:00.101Z","level":"INFO","message":"answered","request":"whole","status":200,"target":"i-1"}
{"time":"2026-01-01T00:00:00.900Z","level":"INFO","message":"engine began","request":"cut","target":"i-1","status":200}
{"time":"2026-01-01T00:00:00.901Z","level":"INFO","message":"answered","request":"cut","status":200,"target":"i-1"}
{"time":"2026-01-01T00:00:04.000Z","level":"INFO","message":"stream complete","request":"whole","events":140}
"#;
const LOG_B: &str = r#"not a log line
{"time":"2026-01-01T00:00:02.500Z","level":"INFO","message":"too late to be served","request":"late","left_ms":900}
{"time":"2026-01-01T00:00:02.501Z","level":"WARN","message":"answered","request":"late","status":503,"why":"TooLate"}
{"time":"2026-01-01T00:00:02.600Z","level":"INFO","message":"answered","request":"bad","status":500,"target":"i-9"}
{"time":"2026-01-01T00:00:02.700Z","level":"WARN","message":"answered","request":"no-1","status":503,"why":"NoTarget"}
{"time":"2026-01-01T00:00:02.800Z","level":"WARN","message":"answered","request":"no-2","status":503,"why":"Stopping"}
{"time":"2026-01-01T00:00:05.000Z","level":"INFO","message":"answered","request":"broken","status":200,"target":"i-1"}
{"time":"2026-01-01T00:00:06.000Z","level":"INFO","message":"stream goes on","request":"broken","failed":"Some(Expired)"}
{"time":"2026-01-01T00:00:08.000Z","level":"WARN","message":"stream broken","request":"moved","events":7,"cause":"Failed"}
{"time":"2026-01-01T00:00:08.100Z","level":"WARN","message":"request cut by this instance","request":"stopped","cause":"instance ended"}
{"time":"2026-01-01T00:00:08.200Z","level":"INFO","message":"caller left its request","request":"gone","cause":"caller closed"}
{"time":"2026-01-01T00:00:08.300Z","level":"WARN","message":"request cut by this instance","request":"relayed","cause":"instance ended","from_peer":true}
{"time":"2026-01-01T00:00:09.000Z","level":"INFO","message":"caller left its stream","request":"relayed","cause":"caller closed","from_peer":false}
"#;

#[test]
fn requests_are_counted_by_interval_and_outcome() {
    let sources = [
        LogSource {
            name: "a",
            text: LOG_A,
        },
        LogSource {
            name: "b",
            text: LOG_B,
        },
    ];
    let counts = count_outcomes(&sources, 2);
    let rows: Vec<(u64, Outcome, usize)> = counts
        .iter()
        .map(|row| (row.from_s, row.fate, row.count))
        .collect();
    assert_eq!(
        rows,
        [
            (0, Outcome::Answered, 1),
            (0, Outcome::NoEnd, 1),
            (2, Outcome::FailedAtTarget, 1),
            (2, Outcome::Refused, 2),
            (2, Outcome::TooLate, 1),
            (4, Outcome::BrokenOff, 1),
            (8, Outcome::BrokenOff, 1),
            (8, Outcome::CutOff, 1),
            (8, Outcome::CallerLeft, 2),
        ]
    );
    assert_eq!(counts[1].example, "cut");
}

#[test]
fn empty_logs_give_no_counts() {
    assert!(count_outcomes(&[], 2).is_empty());
}
