//! What became of the requests of a time, counted from the log lines of instances.

use std::collections::BTreeMap;

use serde::Serialize;

use crate::{explain::lines, Line, Source};

/// What became of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Fate {
    /// A target's answer was passed on, whole as far as is known.
    Answered,
    /// The target answered that it failed.
    FailedAtTarget,
    /// It was refused and has not run.
    Refused,
    /// It was refused as the time left was too short to serve it.
    TooLate,
    /// It failed and may have run.
    Failed,
    /// Its time was over.
    TimeOver,
    /// The stream was broken off.
    BrokenOff,
    /// The caller left.
    CallerLeft,
    /// It has no last line: the instance died, or lines are missing.
    NoEnd,
}

/// The requests that had one fate within a part of the time.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Loss {
    /// Seconds from the first line to the begin of the part.
    pub from_s: u64,
    /// What became of them.
    pub fate: Fate,
    /// How many they are.
    pub count: usize,
    /// One of them, to be explained.
    pub example: String,
}

/// Counts what became of requests, by the moment of their first line.
///
/// # Examples
///
/// ```
/// use celerypond_cli::{losses, Fate, Source};
///
/// let text = r#"{"time":"2026-01-01T00:00:00.000Z","message":"answered","request":"r1","status":503,"why":"NoTarget"}"#;
/// let losses = losses(&[Source { name: "a", text }], 2);
/// assert_eq!((losses[0].fate, losses[0].count), (Fate::Refused, 1));
/// ```
pub fn losses(sources: &[Source<'_>], part_s: u64) -> Vec<Loss> {
    let mut all: Vec<Line> = sources.iter().flat_map(lines).collect();
    all.sort_by_key(Line::at_ms);
    let begin = all.first().map_or(0, Line::at_ms);
    let mut requests: BTreeMap<&str, Vec<&Line>> = BTreeMap::new();
    for line in &all {
        if let Some(request) = line.value("request") {
            requests.entry(request).or_default().push(line);
        }
    }
    let part_ms = i64::try_from(part_s.max(1) * 1_000).unwrap_or(i64::MAX);
    let mut losses: BTreeMap<(i64, Fate), Loss> = BTreeMap::new();
    for (request, own) in requests {
        let part = (own[0].at_ms() - begin) / part_ms;
        let fate = fate(&own);
        let loss = losses.entry((part, fate)).or_insert_with(|| Loss {
            from_s: u64::try_from(part * part_ms / 1_000).unwrap_or_default(),
            fate,
            count: 0,
            example: request.to_owned(),
        });
        loss.count += 1;
    }
    losses.into_values().collect()
}

fn fate(own: &[&Line]) -> Fate {
    let last = |message: &str| own.iter().rev().find(|line| line.message == message);
    if last("stream complete").is_some() {
        return Fate::Answered;
    }
    if last("caller left its stream").is_some() {
        return Fate::CallerLeft;
    }
    let is_broken = |message: &str| {
        let failed = last(message).and_then(|line| line.value("failed"));
        failed.is_some_and(|failed| failed != "None")
    };
    if is_broken("stream goes on") || is_broken("stream moved") {
        return Fate::BrokenOff;
    }
    let Some(answered) = last("answered") else {
        return Fate::NoEnd;
    };
    let status = answered.values.get("status").and_then(|n| n.as_u64());
    match (status, answered.value("target"), answered.value("why")) {
        (Some(200..=299), Some(_), _) if last("engine began").is_some() => Fate::NoEnd,
        (Some(500..), Some(_), _) => Fate::FailedAtTarget,
        (_, Some(_), _) => Fate::Answered,
        (_, None, Some("TooLate")) => Fate::TooLate,
        (Some(503), None, _) => Fate::Refused,
        (Some(504), None, _) => Fate::TimeOver,
        _ => Fate::Failed,
    }
}
