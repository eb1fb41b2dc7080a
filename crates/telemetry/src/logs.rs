//! Log lines, as text or JSON, by `log` and `fern`.

use std::{
    fmt::Arguments,
    time::{Instant, SystemTime},
};

use error_stack::{Report, ResultExt as _};
use log::{
    kv::{self, Key, Source, Value, VisitSource},
    Level, LevelFilter, Record,
};
use serde::{ser::SerializeMap, Deserialize, Serialize, Serializer};
use thiserror::Error;

use crate::{output::Writer, LogRateLimiter, NonBlockingWriter, Output, WriterGuard};

/// The least important lines of libraries that are kept; some write a line for each call.
const LIBRARIES: Level = Level::Warn;
/// The prefix of our modules.
const OWN_MODULES: &str = "celerypond";

/// The module that opens spans. Without a recorder of spans, each would be a line in the log.
const SPANS: &str = "celerypond_telemetry::span_recorder";

fn is_own(target: &str) -> bool {
    target.starts_with(OWN_MODULES) && target != SPANS
}

/// The form of a log line.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogFormat {
    /// A line of text.
    #[default]
    Text,
    /// A JSON object on one line.
    Json,
}

/// Where log lines go, which ones, and in what form.
///
/// # Examples
///
/// ```
/// use celerypond_telemetry::LogSettings;
///
/// let settings: LogSettings = serde_json::from_str(r#"{"format":"json"}"#).unwrap();
/// assert_eq!(settings.level, log::LevelFilter::Info);
/// ```
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LogSettings {
    /// The least severe level that is written.
    pub level: LevelFilter,
    /// The form of a line.
    pub format: LogFormat,
    /// Where lines go.
    pub output: Output,
}

/// The ways in which setting up logs may fail.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum LogError {
    /// The output cannot be opened.
    #[error("the log output cannot be opened")]
    Output,
    /// The process has a logger already.
    #[error("a logger is already set")]
    AlreadySet,
}

#[derive(Serialize)]
struct Line<'a> {
    time: String,
    level: &'static str,
    /// The module that wrote the line; `target` is left to lines about targets.
    module: &'a str,
    message: String,
    /// The inputs and the outcome of a decision, by name.
    #[serde(flatten)]
    fields: Fields<'a>,
}

/// The named values of a line, in the order in which the line gives them.
struct Fields<'a>(&'a dyn Source);

impl Serialize for Fields<'_> {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let mut map = serializer.serialize_map(None)?;
        let mut failed = None;
        let _ = self.0.visit(&mut Writing(&mut map, &mut failed));
        match failed {
            Some(error) => Err(error),
            None => map.end(),
        }
    }
}

struct Writing<'a, M: SerializeMap>(&'a mut M, &'a mut Option<M::Error>);

impl<'kvs, M: SerializeMap> VisitSource<'kvs> for Writing<'_, M> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), kv::Error> {
        self.0
            .serialize_entry(key.as_str(), &value)
            .map_err(|error| {
                *self.1 = Some(error);
                kv::Error::msg("a value cannot be written")
            })
    }
}

impl Default for LogSettings {
    fn default() -> Self {
        Self {
            level: LevelFilter::Info,
            format: LogFormat::Text,
            output: Output::Stderr,
        }
    }
}

impl LogSettings {
    /// Builds the logger without installing it.
    ///
    /// # Errors
    ///
    /// Fails with [`LogError::Output`].
    pub fn dispatch(&self) -> Result<fern::Dispatch, Report<LogError>> {
        let writer = self.output.open().change_context(LogError::Output)?;
        Ok(self.lines().chain(sink(writer)))
    }

    fn lines(&self) -> fern::Dispatch {
        let format = self.format;
        fern::Dispatch::new()
            .level(self.level)
            .filter(|line| line.level() <= LIBRARIES || is_own(line.target()))
            .format(move |out, message, record| match format {
                LogFormat::Text => out.finish(format_args!("{}", text(message, record))),
                LogFormat::Json => out.finish(format_args!("{}", json(message, record))),
            })
    }

    /// Installs the logger of the process with a bound on its volume; a thread of its own writes
    /// the lines, so nobody waits for their reader. The lines are written to the end when the
    /// returned value is dropped.
    ///
    /// # Errors
    ///
    /// Fails with [`LogError::Output`] or [`LogError::AlreadySet`].
    pub fn install_rate_limited(
        &self,
        limiter: &'static LogRateLimiter,
    ) -> Result<WriterGuard, Report<LogError>> {
        let output = self.output.open().change_context(LogError::Output)?;
        let (writer, thread) = NonBlockingWriter::start(output).change_context(LogError::Output)?;
        let sink = fern::Output::writer(Box::new(writer), "\n");
        self.lines()
            .filter(|line| limiter.allow(line.level(), Instant::now()))
            .chain(sink)
            .apply()
            .change_context(LogError::AlreadySet)?;
        Ok(thread)
    }

    /// Installs the logger of the process.
    ///
    /// # Errors
    ///
    /// Fails with [`LogError::Output`] or [`LogError::AlreadySet`].
    pub fn install(&self) -> Result<(), Report<LogError>> {
        self.dispatch()?
            .apply()
            .change_context(LogError::AlreadySet)
    }
}

fn sink(writer: Writer) -> fern::Output {
    match writer {
        Writer::Stderr => std::io::stderr().into(),
        Writer::Stdout => std::io::stdout().into(),
        Writer::File(file) => file.into(),
    }
}

fn now() -> String {
    humantime::format_rfc3339_millis(SystemTime::now()).to_string()
}

fn text(message: &Arguments<'_>, record: &Record<'_>) -> String {
    format!(
        "{} {:<5} {}: {message}",
        now(),
        record.level(),
        record.target()
    )
}

fn json(message: &Arguments<'_>, record: &Record<'_>) -> String {
    let line = Line {
        time: now(),
        level: record.level().as_str(),
        module: record.target(),
        message: message.to_string(),
        fields: Fields(record.key_values()),
    };
    serde_json::to_string(&line).unwrap_or_default()
}
