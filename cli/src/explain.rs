//! The story of one request, joined from the log lines of several instances.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};
use thiserror::Error;

/// How long before a request what happened may still explain it.
const BEFORE_MS: i64 = 3_000;
/// Messages that may explain what became of any request of their instance.
const CONTEXT: [&str; 8] = [
    "store lost",
    "store regained",
    "configuration in force",
    "started",
    "stopping",
    "stopped",
    "lines left out, more than the bound",
    "lines left out, the reader is slow",
];

/// Why no story can be told.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum ExplainError {
    /// No line names the request.
    #[error("no line names the request {0}")]
    Unknown(String),
}

/// The lines of one instance.
#[derive(Clone, Copy, Debug)]
pub struct Source<'a> {
    /// The name of the instance or of its file.
    pub name: &'a str,
    /// The lines, of which those that are no JSON are passed over.
    pub text: &'a str,
}

/// One line of a log.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Line {
    /// When it was written, as the line says.
    pub time: String,
    /// The instance that wrote it.
    pub instance: String,
    /// What happened.
    pub message: String,
    /// The inputs and the outcome.
    pub values: Map<String, Value>,
    #[serde(skip)]
    at_ms: i64,
}

/// The story of one request.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Story {
    /// The id of the request.
    pub request: String,
    /// What became of it and why.
    pub cause: String,
    /// Its lines, and those of its instances and targets that may explain them, in order of time.
    pub lines: Vec<Line>,
}

#[derive(Deserialize)]
struct Form {
    time: String,
    message: String,
    #[serde(flatten)]
    values: Map<String, Value>,
}

/// Joins the lines that tell of a request.
///
/// # Errors
///
/// Fails with [`ExplainError::Unknown`].
///
/// # Examples
///
/// ```
/// use celerypond_cli::{explain, Source};
///
/// let text = r#"{"time":"2026-01-01T00:00:00.000Z","message":"answered","request":"r1","status":200,"target":"t"}"#;
/// let story = explain("r1", &[Source { name: "a", text }]).unwrap();
/// assert_eq!(story.cause, "answered with 200 by t");
/// assert_eq!(story.lines[0].instance, "a");
/// ```
pub fn explain(request: &str, sources: &[Source<'_>]) -> Result<Story, ExplainError> {
    let all: Vec<Line> = sources.iter().flat_map(lines).collect();
    let own: Vec<&Line> = all.iter().filter(|line| line.is_of(request)).collect();
    let (Some(first), Some(last)) = (
        own.iter().map(|line| line.at_ms).min(),
        own.iter().map(|line| line.at_ms).max(),
    ) else {
        return Err(ExplainError::Unknown(request.to_owned()));
    };
    let instances: BTreeSet<&str> = own.iter().map(|line| line.instance.as_str()).collect();
    let targets: BTreeSet<&str> = own.iter().filter_map(|line| line.value("target")).collect();
    let explains = |line: &Line| {
        let is_near = (first - BEFORE_MS..=last).contains(&line.at_ms);
        let is_here = instances.contains(line.instance.as_str());
        is_near && is_here && line.is_context(&targets)
    };
    let is_wanted = |line: &&Line| line.is_of(request) || explains(line);
    let mut lines: Vec<Line> = all.iter().filter(is_wanted).cloned().collect();
    lines.sort_by_key(|line| line.at_ms);
    Ok(Story {
        request: request.to_owned(),
        cause: cause(&own),
        lines,
    })
}

impl Line {
    pub(crate) const fn at_ms(&self) -> i64 {
        self.at_ms
    }

    fn is_of(&self, request: &str) -> bool {
        self.value("request") == Some(request)
    }

    fn is_context(&self, targets: &BTreeSet<&str>) -> bool {
        if self.values.contains_key("request") {
            return false;
        }
        let is_of_target = || {
            let text = Value::Object(self.values.clone()).to_string();
            targets.iter().any(|target| text.contains(target))
        };
        CONTEXT.contains(&self.message.as_str()) || is_of_target()
    }

    pub(crate) fn value(&self, name: &str) -> Option<&str> {
        self.values.get(name)?.as_str()
    }
}

/// Reads the lines of a source. What stands before the JSON of a line may end with the name of the
/// instance, as where the lines of several are collected.
pub(crate) fn lines<'a>(source: &'a Source<'_>) -> impl Iterator<Item = Line> + 'a {
    source.text.lines().filter_map(|text| {
        let (before, json) = text.split_at(text.find('{')?);
        let form: Form = serde_json::from_str(json).ok()?;
        let at = humantime::parse_rfc3339(&form.time).ok()?;
        let at = at.duration_since(std::time::UNIX_EPOCH).ok()?;
        let instance = before.split_whitespace().last().unwrap_or(source.name);
        Some(Line {
            time: form.time,
            instance: instance.to_owned(),
            message: form.message,
            values: form.values,
            at_ms: i64::try_from(at.as_millis()).ok()?,
        })
    })
}

fn cause(own: &[&Line]) -> String {
    let last = |message: &str| own.iter().rev().find(|line| line.message == message);
    let ended = last("attempt ended").map(|line| {
        let target = line.value("target").unwrap_or("a target");
        let how = line.value("ended").unwrap_or("in a way that is not told");
        format!("; the last attempt, at {target}, ended {how}")
    });
    let ended = ended.unwrap_or_default();
    if let Some(left) = last("caller left its stream") {
        let events = left
            .values
            .get("events")
            .map_or(0, |n| n.as_u64().unwrap_or(0));
        return format!("its caller left after {events} events{ended}");
    }
    let broken = own.iter().rev().find(|line| {
        line.message == "stream goes on" && line.value("failed").is_some_and(|how| how != "None")
    });
    if let Some(broken) = broken {
        let how = broken.value("failed").unwrap_or_default();
        return format!("the stream was broken off: {how}{ended}");
    }
    let Some(answered) = last("answered") else {
        return format!("no answer is told of: its caller left, or the instance died{ended}");
    };
    let status = answered.values.get("status").map(Value::to_string);
    let status = status.unwrap_or_else(|| "no status".to_owned());
    match (answered.value("target"), answered.value("why")) {
        (Some(target), _) => format!("answered with {status} by {target}"),
        (None, Some(why)) => format!("answered with {status} by the instance: {why}{ended}"),
        (None, None) => format!("answered with {status}{ended}"),
    }
}
