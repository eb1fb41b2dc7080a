//! All integration tests of this crate, in one binary.

mod test_logs;
mod test_metrics;
mod test_panics;
mod test_span_recorder;
mod test_trace_context;
