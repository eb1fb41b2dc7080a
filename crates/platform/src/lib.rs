//! Client of the platform: objects, instance list, weight store.
//!
//! A [`Dialect`] holds the forms of a store; those of the project's own are in
//! `docs/design/wire.md`. Decision crates do not depend on the client: they
//! give effects such as "create this object", and the daemon carries them out with it.

mod budget;
mod client;
mod dialect;
mod error;
mod instances;
mod object;
mod own;
mod path;
mod pool;
mod received;
mod settled;

pub use budget::{Budget, CallKind, Rates};
pub use client::{Client, Settings};
pub use dialect::{Answer, Call, Dialect, Encoded, Held};
pub use error::PlatformError;
pub use instances::{Instance, InstanceList, Presence, Target};
pub use object::{Change, Changes, Listing, Object, Version};
pub use received::Received;
pub use settled::Settled;
