//! Logs, counters and spans.
