//! Logs, metrics and spans.
//!
//! Counters are the primary source of information. Log lines are written only for state changes,
//! and spans only for the hops of sampled requests.

mod counter;
mod gauge;
mod histogram;
mod json_span_exporter;
mod log_rate_limiter;
mod logs;
mod metric_list;
mod metrics;
mod non_blocking_writer;
mod output;
mod panics;
mod span_recorder;
mod trace_context;

pub use counter::Counter;
pub use gauge::Gauge;
pub use histogram::{Histograms, Latency};
pub use json_span_exporter::JsonSpanExporter;
pub use log_rate_limiter::LogRateLimiter;
pub use logs::{LogError, LogFormat, LogSettings};
pub use metrics::{Metrics, MetricsError};
pub use non_blocking_writer::{NonBlockingWriter, WriterGuard};
pub use output::{Output, OutputError};
pub use panics::{install_panic_hook, take_panics};
pub use span_recorder::{hop, SpanError, SpanRecorder, SpanSettings};
pub use trace_context::{TraceContext, TraceContextError};
