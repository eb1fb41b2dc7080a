//! Runs the tests of the crate.

mod test_logs;
mod test_metrics;
mod test_spans;
mod test_trace_context;
