//! Logs, counters and spans.
//!
//! Counters come first: lines are written only for changes of state, and spans only for hops of
//! sampled requests.

mod counter;
mod exporter;
mod gauge;
mod histogram;
mod log_rate_limiter;
mod logs;
mod metric_list;
mod metrics;
mod non_blocking_writer;
mod output;
mod spans;
mod trace_context;

pub use counter::Counter;
pub use exporter::JsonExporter;
pub use gauge::Gauge;
pub use histogram::{Histograms, Latency};
pub use log_rate_limiter::LogRateLimiter;
pub use logs::{LogError, LogFormat, LogSettings};
pub use metrics::{Metrics, MetricsError};
pub use non_blocking_writer::{NonBlockingWriter, WriterGuard};
pub use output::{Output, OutputError};
pub use spans::{hop, SpanError, SpanSettings, Spans};
pub use trace_context::{TraceContext, TraceContextError};
