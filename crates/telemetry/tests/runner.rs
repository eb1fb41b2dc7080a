//! Runs the tests of the crate.

mod test_logs;
mod test_metrics;
mod test_span_recorder;
mod test_trace_context;
