//! Choice of a target, account limits, admission, ejection, retry budget.
//!
//! All decisions are functions of their input: the time is passed in, and so is the generator of
//! random numbers. The request path reads one [`RoutingView`]; counts that change with every request are
//! atomics in [`TargetState`]s, which all views share.

mod accounts;
mod bucket;
mod budget;
mod cache;
mod clock;
mod demand;
mod departure;
mod drain;
mod ejector;
mod entries;
mod failure;
mod gauge;
mod hash;
mod health;
mod lane;
mod meter;
mod pace;
mod pick;
mod pool;
mod queue;
mod ring;
mod share;
mod target;
mod view;

pub use accounts::{AccountEntry, Accounts};
pub use bucket::{TokenBucket, BURST_MS};
pub use budget::{Backoff, RetryBudget};
pub use cache::{CacheEvent, PrefixHolder, PrefixIndex, PrefixTracker};
pub use clock::Clock;
pub use demand::{quantize_rate, Demand, DemandMap};
pub use departure::{Availability, DepartureNotice, DepartureState, Origin, LIST_SETTLE_MS};
pub use drain::{
    Drain, DrainEffect, DrainStage, IDLE_CLOSE_MS, KEEP_ALIVE_MS, LEAVING_PROPAGATION_MS,
};
pub use ejector::{OutlierDetector, OutlierEffect, OutlierLimits};
pub use entries::{select_entry_points, EntryPoint, ENTRY_POINTS_TTL};
pub use failure::{Attribution, Failure, RetryDecision};
pub use gauge::{InFlight, PoolAverages, TargetState, LIVENESS_TTL_MS};
pub use hash::hash;
pub use meter::AccountLimiter;
pub use pick::{Choice, PickCriteria, PickError, PickReason};
pub use pool::{Pool, FULL_WEIGHT};
pub use queue::{AdmissionQueue, QueueLimits, QueuedRequest, Refusal};
pub use share::{
    LimitShare, ShareAllocator, ShareInputs, CONTACT_TIMEOUT_MS, DEMAND_PROPAGATION_MS, IDLE_SHARE,
    INCREASE_DELAY_MS,
};
pub use target::Target;
pub use view::{Route, RoutingView, ServiceKey};
