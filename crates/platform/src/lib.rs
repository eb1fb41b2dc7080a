//! Client of the platform: objects, instance list, weight store.
//!
//! A [`Protocol`] holds the forms of a store; those of the project's own are in
//! `docs/design/wire.md`. Decision crates do not depend on the client: they
//! give effects such as "create this object", and the daemon carries them out with it.

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
pub use client::{Client, Settings};
pub use error::PlatformError;
pub use instances::{Instance, InstanceList, Presence, Target};
pub use object::{Change, Changes, Listing, Object, Version};
pub use protocol::{Call, EncodedCall, Protocol, Response, VersionedValue};
pub use transfer_progress::TransferProgress;
pub use write_outcome::WriteOutcome;
