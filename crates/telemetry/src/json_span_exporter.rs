//! An exporter that writes spans as JSON lines.

use std::{
    collections::BTreeMap,
    time::{SystemTime, UNIX_EPOCH},
};

use opentelemetry::{trace::Status, SpanId};
use opentelemetry_sdk::{
    error::{OTelSdkError, OTelSdkResult},
    trace::{SpanData, SpanExporter},
};
use serde::Serialize;

use crate::output::Writer;

/// An exporter that writes each finished span as a line of JSON.
#[derive(Debug)]
pub struct JsonSpanExporter {
    writer: Writer,
}

#[derive(Serialize)]
struct SpanRecord<'a> {
    trace: String,
    span: String,
    #[serde(skip_serializing_if = "Option::is_none")]
    parent: Option<String>,
    name: &'a str,
    start_us: u128,
    duration_us: u128,
    #[serde(skip_serializing_if = "Option::is_none")]
    error: Option<&'a str>,
    fields: BTreeMap<&'a str, String>,
}

impl JsonSpanExporter {
    pub(crate) const fn new(writer: Writer) -> Self {
        Self { writer }
    }
}

impl SpanExporter for JsonSpanExporter {
    async fn export(&self, batch: Vec<SpanData>) -> OTelSdkResult {
        let mut bytes = Vec::new();
        for span in &batch {
            serde_json::to_writer(&mut bytes, &span_record(span))
                .map_err(|error| OTelSdkError::InternalFailure(error.to_string()))?;
            bytes.push(b'\n');
        }
        self.writer
            .write(&bytes)
            .map_err(|error| OTelSdkError::InternalFailure(error.to_string()))
    }
}

fn span_record(span: &SpanData) -> SpanRecord<'_> {
    let parent = span.parent_span_id;
    let duration = span.end_time.duration_since(span.start_time);
    SpanRecord {
        trace: span.span_context.trace_id().to_string(),
        span: span.span_context.span_id().to_string(),
        parent: (parent != SpanId::INVALID).then(|| parent.to_string()),
        name: &span.name,
        start_us: micros_since_epoch(span.start_time),
        duration_us: duration.unwrap_or_default().as_micros(),
        error: match &span.status {
            Status::Error { description } => Some(description),
            Status::Ok | Status::Unset => None,
        },
        fields: span
            .attributes
            .iter()
            .map(|pair| (pair.key.as_str(), pair.value.to_string()))
            .collect(),
    }
}

fn micros_since_epoch(time: SystemTime) -> u128 {
    time.duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_micros()
}
