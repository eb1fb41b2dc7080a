//! Spans, one for each hop of a request.

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

/// The prefix of the modules whose spans are recorded. Libraries open spans of their own, which
/// would stand twice beside ours.
const OWN_MODULES: &str = "celerypond";

/// Where spans go and how many are recorded.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SpanSettings {
    /// Where finished spans go.
    pub output: Output,
    /// The share of new traces that is recorded, from 0 to 1. A caller's own decision is kept.
    pub share: f64,
}

/// The ways in which recording spans may fail.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum SpanError {
    /// The output cannot be opened.
    #[error("the span output cannot be opened")]
    Output,
    /// The process has a subscriber already.
    #[error("a span subscriber is already set")]
    AlreadySet,
    /// The last spans could not be written.
    #[error("the last spans could not be written")]
    Shutdown,
}

/// The recorder of spans. The owner calls [`SpanRecorder::shutdown`] before the process ends.
#[derive(Debug)]
pub struct SpanRecorder {
    provider: SdkTracerProvider,
}

impl SpanRecorder {
    /// Starts the recorder.
    ///
    /// # Errors
    ///
    /// Fails with [`SpanError::Output`].
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
    /// Fails with [`SpanError::AlreadySet`].
    pub fn install(&self) -> Result<(), Report<SpanError>> {
        tracing::subscriber::set_global_default(self.subscriber())
            .change_context(SpanError::AlreadySet)
    }

    /// Writes what is still held and joins the writer's thread.
    ///
    /// # Errors
    ///
    /// Fails with [`SpanError::Shutdown`].
    pub fn shutdown(self) -> Result<(), Report<SpanError>> {
        self.provider.shutdown().change_context(SpanError::Shutdown)
    }
}

/// Opens the span of one hop.
///
/// `name` is the kind of the hop, such as `front`, `peer` or `target`. `parent` is the context that
/// came with the request; without one the span belongs to the current span, or starts a trace.
/// Use [`tracing::Instrument`] to run a future inside, and [`TraceContext::from_span`] to
/// send the context on.
pub fn hop(name: &'static str, parent: Option<TraceContext>) -> Span {
    let span = tracing::info_span!("hop", otel.name = name);
    if let Some(parent) = parent {
        let context = Context::new().with_remote_span_context(parent.into());
        // This fails only for a span that is not recorded, which has no use for a parent.
        let _ = span.set_parent(context);
    }
    span
}

impl TraceContext {
    /// Returns the context of an open span, to be sent with the next hop.
    pub fn from_span(span: &Span) -> Option<Self> {
        Self::from_span_context(span.context().span().span_context())
    }
}
