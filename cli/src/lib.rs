//! A client of celerypond for callers and operators, which knows nothing of the terminal.

mod client;
mod connection;
mod error;
mod explain;
mod generation;
mod losses;
mod service_call;

pub use client::{Client, Entries, EntryAddress};
pub use error::{ClientError, Problem};
pub use explain::{explain, ExplainError, Line, Source, Story};
pub use generation::{CompletionRequest, Ended, Generation, Token};
pub use losses::{losses, Fate, Loss};
pub use service_call::{Response, ServiceCall};
