//! Fenced orders to engines.
//!
//! An [`Order`] tells an engine to load or unload a version or to take a role. Engines are divided
//! into shards ([`Shard`]). Each shard has a lease in the store, and only the instance that holds
//! the lease sends orders to the engines of the shard.
//!
//! [`Reconciler`] is the state machine of one instance for one shard, without I/O of its own: it
//! acquires and renews the lease, compares the desired state of the bundle with the reports of the
//! engines, and returns the orders to send, each with the deadline by which it must be written.

mod lease;
mod lease_client;
mod load_limiter;
mod order;
mod reconciler;
mod settings;
mod shard;
mod stale_order_guard;

pub use lease::{Lease, LeaseError};
pub use lease_client::{LeaseClient, StoreCall, StoreReply};
pub use load_limiter::LoadLimiter;
pub use order::{DesiredState, EngineReport, Order};
pub use reconciler::{Effect, Input, Reconciler, SendOutcome};
pub use settings::OrderSettings;
pub use shard::Shard;
pub use stale_order_guard::StaleOrderGuard;
