//! Explains what became of one request from the log lines of several instances.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};
use thiserror::Error;

/// How long before the first line of a request an event may still have affected it.
const CONTEXT_BEFORE_MS: i64 = 3_000;
/// Messages of events that may affect any request of the same instance.
const CONTEXT_MESSAGES: [&str; 10] = [
    "store lost",
    "store regained",
    "configuration in force",
    "cool-down of a target began",
    "cool-down of a target ended",
    "started",
    "stopping",
    "stopped",
    "lines left out, more than the bound",
    "lines left out, the reader is slow",
];

/// Why a request cannot be explained.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum ExplainError {
    /// No log line has the id of the request.
    #[error("no line names the request {0}")]
    UnknownRequest(String),
}

/// A log file, usually of one instance.
#[derive(Clone, Copy, Debug)]
pub struct LogSource<'a> {
    /// The name of the instance or of the file.
    pub name: &'a str,
    /// The log lines. Lines that are not in the JSON format of the instances are skipped.
    pub text: &'a str,
}

/// A log line.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct LogLine {
    /// The time of the line as written there, in RFC 3339 format.
    pub time: String,
    /// The instance that wrote it.
    pub instance: String,
    /// The message, which identifies the event.
    pub message: String,
    /// All other fields of the line.
    pub values: Map<String, Value>,
    #[serde(skip)]
    at_ms: i64,
}

/// What became of one request.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Explanation {
    /// The id of the request.
    pub request: String,
    /// The outcome of the request and its cause.
    pub cause: String,
    /// The lines of the request, and nearby lines about its instances and targets, ordered by time.
    pub lines: Vec<LogLine>,
}

#[derive(Deserialize)]
struct RawLine {
    time: String,
    message: String,
    #[serde(flatten)]
    values: Map<String, Value>,
}

/// Explains a request by the lines that have its id and the lines of related events.
///
/// # Errors
///
/// Fails with [`ExplainError::UnknownRequest`] if no line has its id.
///
/// # Examples
///
/// ```
/// use celerypond_cli::{explain, LogSource};
///
/// let text = r#"{"time":"2026-01-01T00:00:00.000Z","message":"answered","request":"r1","status":200,"target":"t"}"#;
/// let explanation = explain("r1", &[LogSource { name: "a", text }]).unwrap();
/// assert_eq!(explanation.cause, "answered with 200 by t");
/// assert_eq!(explanation.lines[0].instance, "a");
/// ```
pub fn explain(request: &str, sources: &[LogSource<'_>]) -> Result<Explanation, ExplainError> {
    let all: Vec<LogLine> = sources.iter().flat_map(parse_lines).collect();
    let request_lines: Vec<&LogLine> = all
        .iter()
        .filter(|line| line.has_request_id(request))
        .collect();
    let (Some(first_ms), Some(last_ms)) = (
        request_lines.iter().map(|line| line.at_ms).min(),
        request_lines.iter().map(|line| line.at_ms).max(),
    ) else {
        return Err(ExplainError::UnknownRequest(request.to_owned()));
    };
    let instances: BTreeSet<&str> = request_lines
        .iter()
        .map(|line| line.instance.as_str())
        .collect();
    let targets: BTreeSet<&str> = request_lines
        .iter()
        .filter_map(|line| line.str_value("target"))
        .collect();
    let is_related = |line: &LogLine| {
        let is_near = (first_ms - CONTEXT_BEFORE_MS..=last_ms).contains(&line.at_ms);
        let is_same_instance = instances.contains(line.instance.as_str());
        is_near && is_same_instance && line.is_context(&targets)
    };
    let is_included = |line: &&LogLine| line.has_request_id(request) || is_related(line);
    let mut lines: Vec<LogLine> = all.iter().filter(is_included).cloned().collect();
    lines.sort_by_key(|line| line.at_ms);
    Ok(Explanation {
        request: request.to_owned(),
        cause: cause(&request_lines),
        lines,
    })
}

impl LogLine {
    pub(crate) const fn at_ms(&self) -> i64 {
        self.at_ms
    }

    fn has_request_id(&self, request: &str) -> bool {
        self.str_value("request") == Some(request)
    }

    /// Returns whether the line is about the end of a request at an instance that relayed it for
    /// another one, which is not the end for the caller.
    pub(crate) fn is_from_peer(&self) -> bool {
        self.values.get("from_peer").and_then(Value::as_bool) == Some(true)
    }

    fn is_context(&self, targets: &BTreeSet<&str>) -> bool {
        if self.values.contains_key("request") {
            return false;
        }
        let mentions_target = || {
            let text = Value::Object(self.values.clone()).to_string();
            targets.iter().any(|target| text.contains(target))
        };
        CONTEXT_MESSAGES.contains(&self.message.as_str()) || mentions_target()
    }

    pub(crate) fn str_value(&self, name: &str) -> Option<&str> {
        self.values.get(name)?.as_str()
    }
}

/// Parses the lines of a log file.
///
/// In a file with the lines of several instances, each line has a prefix before the JSON object.
/// The last word of the prefix is the name of the instance.
pub(crate) fn parse_lines<'a>(source: &'a LogSource<'_>) -> impl Iterator<Item = LogLine> + 'a {
    source.text.lines().filter_map(|text| {
        let (prefix, json) = text.split_at(text.find('{')?);
        let raw: RawLine = serde_json::from_str(json).ok()?;
        let at = humantime::parse_rfc3339(&raw.time).ok()?;
        let at = at.duration_since(std::time::UNIX_EPOCH).ok()?;
        let instance = prefix.split_whitespace().last().unwrap_or(source.name);
        Some(LogLine {
            time: raw.time,
            instance: instance.to_owned(),
            message: raw.message,
            values: raw.values,
            at_ms: i64::try_from(at.as_millis()).ok()?,
        })
    })
}

fn cause(request_lines: &[&LogLine]) -> String {
    let last_line = |message: &str| {
        request_lines
            .iter()
            .rev()
            .filter(|line| !line.is_from_peer())
            .find(|line| line.message == message)
    };
    let attempt = last_line("attempt ended").map(|line| {
        let target = line.str_value("target").unwrap_or("a target");
        let end = line
            .str_value("ended")
            .unwrap_or("in a way that is not told");
        format!("; the last attempt, at {target}, ended {end}")
    });
    let attempt = attempt.unwrap_or_default();
    let events = |line: &LogLine| line.values.get("events").and_then(Value::as_u64);
    if let Some(line) = last_line("caller left its stream") {
        let events = events(line).unwrap_or(0);
        return format!("its caller left after {events} events{attempt}");
    }
    if last_line("caller left its request").is_some() {
        return format!("its caller left before the response{attempt}");
    }
    if let Some(line) = last_line("request cut by this instance") {
        let cause = line.str_value("cause").unwrap_or("unknown");
        let events = events(line).unwrap_or(0);
        return format!("its instance cut it off after {events} events: {cause}{attempt}");
    }
    if let Some(line) = last_line("stream broken") {
        let cause = line.str_value("cause").unwrap_or("unknown");
        let events = events(line).unwrap_or(0);
        return format!("the stream was broken off after {events} events: {cause}{attempt}");
    }
    let broken = request_lines.iter().rev().find(|line| {
        line.message == "stream goes on"
            && line
                .str_value("failed")
                .is_some_and(|failure| failure != "None")
    });
    if let Some(broken) = broken {
        let failure = broken.str_value("failed").unwrap_or_default();
        return format!("the stream was broken off: {failure}{attempt}");
    }
    let Some(answered) = last_line("answered") else {
        return format!("no answer is told of: its caller left, or the instance died{attempt}");
    };
    let status = answered.values.get("status").map(Value::to_string);
    let status = status.unwrap_or_else(|| "no status".to_owned());
    match (answered.str_value("target"), answered.str_value("why")) {
        (Some(target), _) => format!("answered with {status} by {target}"),
        (None, Some(why)) => format!("answered with {status} by the instance: {why}{attempt}"),
        (None, None) => format!("answered with {status}{attempt}"),
    }
}
