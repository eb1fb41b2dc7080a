//! Non-idempotent calls, run at most once: a sharded append-only log of intents and results.
//!
//! A call with an idempotency key is recorded in the store before it is sent. Only the writer of
//! that record may send the call, and only once. A call without a key is sent once and never
//! retried.

mod batch;
mod batch_write;
mod call_key;
mod call_state;
mod effect;
mod failure;
mod log;
mod not_run_codes;
mod response;
mod schedule;
mod settings;
mod shard;
mod shard_state;
mod store_backoff;
mod stored_batch;
mod waiting_callers;

pub use batch::{BatchDecodeError, SequenceNumber, Slot, WriterId};
pub use call_key::{CallKey, RequestFingerprint};
pub use call_state::{FinishedCall, SentCall, UnsentCall};
pub use effect::{Answer, Call, CallId, Effect, ListReply, ReadReply, WriteReply};
pub use failure::{Failure, RetryDecision};
pub use not_run_codes::NotRunCodes;
pub use response::ServiceResponse;
pub use settings::Settings;
pub use shard::{Shard, ShardNumber};
