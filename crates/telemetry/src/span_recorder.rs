//! Recording of spans, one for each hop of a request.

use error_stack::{Report, ResultExt as _};
use opentelemetry::{
    trace::{TraceContextExt as _, TracerProvider as _},
    Context,
};
use opentelemetry_sdk::trace::{Sampler, SdkTracerProvider};
use serde::{Deserialize, Serialize};
use thiserror::Error;
use tracing::{level_filters::LevelFilter, Span, Subscriber};
use tracing_opentelemetry::OpenTelemetrySpanExt as _;
use tracing_subscriber::{filter::Targets, layer::SubscriberExt as _, Layer as _};

use crate::{JsonSpanExporter, Output, TraceContext};

/// The prefix of the modules whose spans are recorded. Libraries open spans for the same work,
/// which would duplicate those of this project.
const OWN_MODULES: &str = "celerypond";

/// The output of spans and the share of traces that are recorded.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SpanSettings {
    /// The output to which finished spans are written.
    pub output: Output,
    /// The share of new traces that are recorded, from 0 to 1. If a caller sends a trace context,
    /// its sampling decision applies instead.
    pub share: f64,
}

/// An error of recording spans.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum SpanError {
    /// The output cannot be opened.
    #[error("the span output cannot be opened")]
    Output,
    /// The process already has a subscriber.
    #[error("a span subscriber is already set")]
    AlreadySet,
    /// The last spans could not be written.
    #[error("the last spans could not be written")]
    Shutdown,
}

/// A recorder of spans. Call [`SpanRecorder::shutdown`] before the process exits, otherwise the
/// last spans are lost.
#[derive(Debug)]
pub struct SpanRecorder {
    provider: SdkTracerProvider,
}

impl SpanRecorder {
    /// Starts a recorder.
    ///
    /// # Errors
    ///
    /// Returns [`SpanError::Output`] if the output cannot be opened.
    pub fn new(settings: &SpanSettings) -> Result<Self, Report<SpanError>> {
        let writer = settings.output.open().change_context(SpanError::Output)?;
        let sampler = Sampler::TraceIdRatioBased(settings.share);
        let provider = SdkTracerProvider::builder()
            .with_sampler(Sampler::ParentBased(Box::new(sampler)))
            .with_batch_exporter(JsonSpanExporter::new(writer))
            .build();
        Ok(Self { provider })
    }

    /// Returns a subscriber that records the spans of this project.
    pub fn subscriber(&self) -> impl Subscriber + Send + Sync + use<> {
        let layer = tracing_opentelemetry::layer()
            .with_tracer(self.provider.tracer(OWN_MODULES))
            .with_location(false)
            .with_threads(false)
            .with_target(false)
            .with_tracked_inactivity(false)
            .with_filter(Targets::new().with_target(OWN_MODULES, LevelFilter::INFO));
        tracing_subscriber::registry().with(layer)
    }

    /// Installs the subscriber of the process.
    ///
    /// # Errors
    ///
    /// Returns [`SpanError::AlreadySet`] if the process already has a subscriber.
    pub fn install(&self) -> Result<(), Report<SpanError>> {
        tracing::subscriber::set_global_default(self.subscriber())
            .change_context(SpanError::AlreadySet)
    }

    /// Writes the remaining spans and joins the exporter thread.
    ///
    /// # Errors
    ///
    /// Returns [`SpanError::Shutdown`] if the remaining spans cannot be written.
    pub fn shutdown(self) -> Result<(), Report<SpanError>> {
        self.provider.shutdown().change_context(SpanError::Shutdown)
    }
}

/// Opens a span for a hop of a request.
///
/// `name` is the kind of the hop, such as `front`, `peer` or `target`. `parent` is the trace
/// context received with the request. Without it, the span is a child of the current span, or the
/// root of a new trace. Use [`tracing::Instrument`] to run a future inside the span, and
/// [`TraceContext::from_span`] to propagate its context.
pub fn hop(name: &'static str, parent: Option<TraceContext>) -> Span {
    let span = tracing::info_span!("hop", otel.name = name);
    if let Some(parent) = parent {
        let context = Context::new().with_remote_span_context(parent.into());
        // This fails only for a span that is not recorded, which does not need a parent.
        let _ = span.set_parent(context);
    }
    span
}

impl TraceContext {
    /// Returns the context of an open span, which is sent along to the next hop.
    pub fn from_span(span: &Span) -> Option<Self> {
        Self::from_span_context(span.context().span().span_context())
    }
}
