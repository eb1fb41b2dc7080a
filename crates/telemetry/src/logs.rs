//! Log lines as text or JSON, using `log` and `fern`.

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

/// The minimum severity of log lines of libraries. Some libraries log a line for each call.
const MIN_LIBRARY_LEVEL: Level = Level::Warn;
/// The prefix of the modules of this project.
const OWN_MODULES: &str = "celerypond";

/// The module that opens spans. `tracing` logs a line for each span while no subscriber is
/// installed, and these lines are left out.
const SPAN_MODULE: &str = "celerypond_telemetry::span_recorder";

fn is_own(target: &str) -> bool {
    target.starts_with(OWN_MODULES) && target != SPAN_MODULE
}

/// The format of log lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogFormat {
    /// A line of text.
    #[default]
    Text,
    /// One JSON object per line.
    Json,
}

/// The level, format and output of log lines.
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
    /// The minimum severity of log lines.
    pub level: LevelFilter,
    /// The format of log lines.
    pub format: LogFormat,
    /// The output to which log lines are written.
    pub output: Output,
}

/// An error of setting up the logger.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum LogError {
    /// The output cannot be opened.
    #[error("the log output cannot be opened")]
    Output,
    /// The process already has a logger.
    #[error("a logger is already set")]
    AlreadySet,
}

#[derive(Serialize)]
struct LogLine<'a> {
    time: String,
    level: &'static str,
    /// The module that wrote the line. It is not named `target`, because lines about routing
    /// targets use that key.
    module: &'a str,
    message: String,
    /// The key-value pairs of the line.
    #[serde(flatten)]
    fields: Fields<'a>,
}

/// The key-value pairs of a line, in the order in which they were logged.
struct Fields<'a>(&'a dyn Source);

impl Serialize for Fields<'_> {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let mut map = serializer.serialize_map(None)?;
        let mut error = None;
        let _ = self.0.visit(&mut FieldWriter(&mut map, &mut error));
        match error {
            Some(error) => Err(error),
            None => map.end(),
        }
    }
}

struct FieldWriter<'a, M: SerializeMap>(&'a mut M, &'a mut Option<M::Error>);

impl<'kvs, M: SerializeMap> VisitSource<'kvs> for FieldWriter<'_, M> {
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
    /// Builds a logger without installing it.
    ///
    /// # Errors
    ///
    /// Returns [`LogError::Output`] if the output cannot be opened.
    pub fn dispatch(&self) -> Result<fern::Dispatch, Report<LogError>> {
        let writer = self.output.open().change_context(LogError::Output)?;
        Ok(self.base_dispatch().chain(sink(writer)))
    }

    fn base_dispatch(&self) -> fern::Dispatch {
        let format = self.format;
        fern::Dispatch::new()
            .level(self.level)
            .filter(|line| line.level() <= MIN_LIBRARY_LEVEL || is_own(line.target()))
            .format(move |out, message, record| match format {
                LogFormat::Text => out.finish(format_args!("{}", format_text(message, record))),
                LogFormat::Json => out.finish(format_args!("{}", format_json(message, record))),
            })
    }

    /// Installs a rate-limited logger for the process.
    ///
    /// A background thread writes the lines, so that logging does not block if their reader is
    /// slow. Dropping the returned guard waits until all lines are written,
    /// or for a bounded time.
    ///
    /// # Errors
    ///
    /// Returns [`LogError::Output`] if the output cannot be opened or the thread cannot be started,
    /// or [`LogError::AlreadySet`] if the process already has a logger.
    pub fn install_rate_limited(
        &self,
        limiter: &'static LogRateLimiter,
    ) -> Result<WriterGuard, Report<LogError>> {
        let output = self.output.open().change_context(LogError::Output)?;
        let (writer, guard) = NonBlockingWriter::start(output).change_context(LogError::Output)?;
        let sink = fern::Output::writer(Box::new(writer), "\n");
        self.base_dispatch()
            .filter(|line| limiter.allow(line.level(), Instant::now()))
            .chain(sink)
            .apply()
            .change_context(LogError::AlreadySet)?;
        Ok(guard)
    }

    /// Installs the logger of the process.
    ///
    /// # Errors
    ///
    /// Returns [`LogError::Output`] if the output cannot be opened, or [`LogError::AlreadySet`] if
    /// the process already has a logger.
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

fn timestamp() -> String {
    humantime::format_rfc3339_millis(SystemTime::now()).to_string()
}

fn format_text(message: &Arguments<'_>, record: &Record<'_>) -> String {
    format!(
        "{} {:<5} {}: {message}",
        timestamp(),
        record.level(),
        record.target()
    )
}

fn format_json(message: &Arguments<'_>, record: &Record<'_>) -> String {
    let line = LogLine {
        time: timestamp(),
        level: record.level().as_str(),
        module: record.target(),
        message: message.to_string(),
        fields: Fields(record.key_values()),
    };
    serde_json::to_string(&line).unwrap_or_default()
}
