//! Counts the outcomes of requests over time from the log lines of instances.

use std::collections::BTreeMap;

use serde::Serialize;

use crate::{explain::parse_lines, LogLine, LogSource};

/// The outcome of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The response of a target was forwarded, completely as far as the lines show.
    Answered,
    /// The target responded with a 5xx status.
    FailedAtTarget,
    /// The instance refused it; it did not run.
    Refused,
    /// The instance refused it because too little time was left before its deadline.
    TooLate,
    /// It failed and may have run.
    Failed,
    /// Its deadline passed.
    TimeOver,
    /// The instance ended the stream early because of a failure.
    BrokenOff,
    /// The instance cut the connection because it ended or a task panicked.
    CutOff,
    /// The caller closed the connection.
    CallerLeft,
    /// There is no line about its end: the instance crashed, or lines are missing.
    NoEnd,
}

/// The number of requests with the same outcome whose first line is in the same interval.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct OutcomeCount {
    /// The start of the interval, in seconds since the first line of all files.
    pub from_s: u64,
    /// The outcome.
    pub fate: Outcome,
    /// The number of requests.
    pub count: usize,
    /// The id of one of the requests.
    pub example: String,
}

/// Counts requests by outcome and by the time of their first line, in intervals of `interval_s`
/// seconds.
///
/// # Examples
///
/// ```
/// use celerypond_cli::{count_outcomes, LogSource, Outcome};
///
/// let text = r#"{"time":"2026-01-01T00:00:00.000Z","message":"answered","request":"r1","status":503,"why":"NoTarget"}"#;
/// let counts = count_outcomes(&[LogSource { name: "a", text }], 2);
/// assert_eq!((counts[0].fate, counts[0].count), (Outcome::Refused, 1));
/// ```
pub fn count_outcomes(sources: &[LogSource<'_>], interval_s: u64) -> Vec<OutcomeCount> {
    let mut all: Vec<LogLine> = sources.iter().flat_map(parse_lines).collect();
    all.sort_by_key(LogLine::at_ms);
    let start_ms = all.first().map_or(0, LogLine::at_ms);
    let mut requests: BTreeMap<&str, Vec<&LogLine>> = BTreeMap::new();
    for line in &all {
        if let Some(request) = line.str_value("request") {
            requests.entry(request).or_default().push(line);
        }
    }
    let interval_ms = i64::try_from(interval_s.max(1) * 1_000).unwrap_or(i64::MAX);
    let mut counts: BTreeMap<(i64, Outcome), OutcomeCount> = BTreeMap::new();
    for (request, lines) in requests {
        let interval = (lines[0].at_ms() - start_ms) / interval_ms;
        let fate = outcome(&lines);
        let entry = counts
            .entry((interval, fate))
            .or_insert_with(|| OutcomeCount {
                from_s: u64::try_from(interval * interval_ms / 1_000).unwrap_or_default(),
                fate,
                count: 0,
                example: request.to_owned(),
            });
        entry.count += 1;
    }
    counts.into_values().collect()
}

fn outcome(lines: &[&LogLine]) -> Outcome {
    let last_line = |message: &str| {
        let mut lines = lines.iter().rev().filter(|line| !line.is_from_peer());
        lines.find(|line| line.message == message)
    };
    if last_line("stream complete").is_some() {
        return Outcome::Answered;
    }
    if last_line("request cut by this instance").is_some() {
        return Outcome::CutOff;
    }
    let has_left = |message: &str| last_line(message).is_some();
    if has_left("caller left its stream") || has_left("caller left its request") {
        return Outcome::CallerLeft;
    }
    if last_line("stream broken").is_some() {
        return Outcome::BrokenOff;
    }
    let has_failed = |message: &str| {
        let failure = last_line(message).and_then(|line| line.str_value("failed"));
        failure.is_some_and(|failure| failure != "None")
    };
    if has_failed("stream goes on") || has_failed("stream moved") {
        return Outcome::BrokenOff;
    }
    let Some(answered) = last_line("answered") else {
        return Outcome::NoEnd;
    };
    let status = answered.values.get("status").and_then(|n| n.as_u64());
    match (
        status,
        answered.str_value("target"),
        answered.str_value("why"),
    ) {
        (Some(200..=299), Some(_), _) if last_line("engine began").is_some() => Outcome::NoEnd,
        (Some(500..), Some(_), _) => Outcome::FailedAtTarget,
        (_, Some(_), _) => Outcome::Answered,
        (_, None, Some("TooLate")) => Outcome::TooLate,
        (Some(503), None, _) => Outcome::Refused,
        (Some(504), None, _) => Outcome::TimeOver,
        _ => Outcome::Failed,
    }
}
