//! Fenced orders to engines.
//!
//! [`Reconciler`] is a pure state machine for one shard of engines: it holds the shard's lease, compares
//! what the bundle wants with what the engines report, and says which orders to send and until when
//! each may be sent.

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
