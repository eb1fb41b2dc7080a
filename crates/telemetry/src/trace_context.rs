//! The W3C `traceparent` header.

use std::{fmt, str::FromStr};

use opentelemetry::trace::{SpanContext, SpanId, TraceFlags, TraceId, TraceState};
use thiserror::Error;

const VERSION_LEN: usize = 2;
const TRACE_LEN: usize = 32;
const SPAN_LEN: usize = 16;
const FLAGS_LEN: usize = 2;
const TOTAL_LEN: usize = VERSION_LEN + TRACE_LEN + SPAN_LEN + FLAGS_LEN + 3;
const SAMPLED: u8 = 1;
const INVALID_VERSION: u8 = 0xff;

/// The trace that a request belongs to and the span that sent it.
///
/// # Examples
///
/// ```
/// use celerypond_telemetry::TraceContext;
///
/// let text = "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01";
/// let context: TraceContext = text.parse().unwrap();
/// assert!(context.sampled);
/// assert_eq!(context.to_string(), text);
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct TraceContext {
    /// The trace ID, which is never 0.
    pub trace: u128,
    /// The ID of the sending span, which is never 0.
    pub span: u64,
    /// Whether the sender records this trace.
    pub sampled: bool,
}

/// An error of parsing a `traceparent` header.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum TraceContextError {
    /// The header is too short, or too long for its version.
    #[error("expected 55 characters, found {0}")]
    Length(usize),
    /// The fields are not separated by dashes.
    #[error("expected a dash at {0}")]
    Separator(usize),
    /// A field contains a character other than a lower-case hexadecimal digit.
    #[error("expected lower-case hexadecimal digits in the field at {0}")]
    Digit(usize),
    /// The version is `ff`, which is reserved.
    #[error("version ff is reserved")]
    Version,
    /// The trace ID or the span ID is zero.
    #[error("the trace ID and the span ID must not be zero")]
    Zero,
}

impl FromStr for TraceContext {
    type Err = TraceContextError;

    fn from_str(text: &str) -> Result<Self, TraceContextError> {
        let bytes = text.as_bytes();
        if bytes.len() < TOTAL_LEN {
            return Err(TraceContextError::Length(bytes.len()));
        }
        let mut offset = 0;
        let version = parse_field(bytes, &mut offset, VERSION_LEN)? as u8;
        let trace = parse_field(bytes, &mut offset, TRACE_LEN)?;
        let span = parse_field(bytes, &mut offset, SPAN_LEN)? as u64;
        let flags = parse_field(bytes, &mut offset, FLAGS_LEN)? as u8;
        if version == INVALID_VERSION {
            return Err(TraceContextError::Version);
        }
        // Later versions may append fields, which are ignored. Version 0 may not.
        if version == 0 && bytes.len() != TOTAL_LEN {
            return Err(TraceContextError::Length(bytes.len()));
        }
        if trace == 0 || span == 0 {
            return Err(TraceContextError::Zero);
        }
        Ok(Self {
            trace,
            span,
            sampled: flags & SAMPLED == SAMPLED,
        })
    }
}

fn parse_field(bytes: &[u8], offset: &mut usize, len: usize) -> Result<u128, TraceContextError> {
    let start = *offset;
    let end = start + len;
    let mut value = 0;
    for byte in &bytes[start..end] {
        let digit = match byte {
            b'0'..=b'9' => byte - b'0',
            b'a'..=b'f' => byte - b'a' + 10,
            _ => return Err(TraceContextError::Digit(start)),
        };
        value = value << 4 | u128::from(digit);
    }
    if bytes.get(end).is_some_and(|byte| *byte != b'-') {
        return Err(TraceContextError::Separator(end));
    }
    *offset = end + 1;
    Ok(value)
}

impl fmt::Display for TraceContext {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let flags = u8::from(self.sampled) * SAMPLED;
        write!(f, "00-{:032x}-{:016x}-{flags:02x}", self.trace, self.span)
    }
}

impl From<TraceContext> for SpanContext {
    fn from(context: TraceContext) -> Self {
        let flags = TraceFlags::default().with_sampled(context.sampled);
        Self::new(
            TraceId::from(context.trace),
            SpanId::from(context.span),
            flags,
            true,
            TraceState::NONE,
        )
    }
}

impl TraceContext {
    /// Converts an OpenTelemetry span context. Returns `None` if it is invalid, which is the case
    /// if spans are not recorded.
    pub fn from_span_context(context: &SpanContext) -> Option<Self> {
        context.is_valid().then(|| Self {
            trace: u128::from_be_bytes(context.trace_id().to_bytes()),
            span: u64::from_be_bytes(context.span_id().to_bytes()),
            sampled: context.is_sampled(),
        })
    }
}
