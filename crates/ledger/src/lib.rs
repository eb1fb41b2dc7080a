//! Calls that may not be repeated: a sharded append log of intents and results.
//!
//! A call with a key is recorded in the store before it is sent, and only the writer of that record
//! may send it, once. A call without a key is sent once and never again.

mod batch;
mod book;
mod call_key;
mod call_state;
mod callers;
mod effect;
mod failure;
mod flight;
mod health;
mod log;
mod not_run_codes;
mod response;
mod schedule;
mod settings;
mod shard;
mod stored;

pub use batch::{BatchDecodeError, SequenceNumber, Slot, WriterId};
pub use call_key::{CallKey, RequestFingerprint};
pub use call_state::{FinishedCall, SentCall, UnsentCall};
pub use effect::{Answer, Call, CallId, Effect, ListReply, ReadReply, WriteReply};
pub use failure::{Failure, RetryDecision};
pub use not_run_codes::NotRunCodes;
pub use response::ServiceResponse;
pub use settings::Settings;
pub use shard::{Shard, ShardNumber};
