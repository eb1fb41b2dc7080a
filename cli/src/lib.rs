//! A client library for callers and operators of celerypond, and the analysis of its log files.
//!
//! Nothing in this library reads or writes the terminal; that is left to the binary.

mod client;
mod completion;
mod connection;
mod error;
mod explain;
mod outcomes;
mod service_call;

pub use client::{Client, EntryPoint, EntryPoints};
pub use completion::{CompletionRequest, CompletionStream, CompletionSummary, Token};
pub use error::{ApiError, ClientError};
pub use explain::{explain, ExplainError, Explanation, LogLine, LogSource};
pub use outcomes::{count_outcomes, Outcome, OutcomeCount};
pub use service_call::{Response, ServiceCall};
