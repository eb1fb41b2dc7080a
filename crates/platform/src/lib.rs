//! Client for the platform's object store, instance list and weight store.
//!
//! A [`Protocol`] describes the HTTP protocol of an object store. The native one is specified in
//! `docs/design/wire.md`. The crates that make decisions do not use the client themselves. They
//! return effects such as "create this object", and the daemon uses the client to execute them.

mod call_budget;
mod client;
mod error;
mod instances;
mod native;
mod object;
mod path;
mod pool;
mod protocol;
mod transfer_progress;
mod write_outcome;

pub use call_budget::{CallBudget, CallKind, Rates};
pub use client::{Client, ClientSettings};
pub use error::PlatformError;
pub use instances::{Instance, InstanceList, Presence, Target};
pub use object::{Change, Changes, Listing, Object, Version};
pub use protocol::{Call, EncodedCall, Protocol, Response, VersionedValue};
pub use transfer_progress::TransferProgress;
pub use write_outcome::WriteOutcome;
