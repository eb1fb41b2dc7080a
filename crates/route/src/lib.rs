//! Target selection, account rate limits, admission queueing, outlier ejection and retry budgets.
//!
//! All decisions are deterministic: the current time and the random number generator are passed in.
//! The request path reads one immutable [`RoutingView`]. Counters that change with every request
//! are atomics in [`TargetState`]s, which all views share.

mod account_limiter;
mod accounts;
mod admission_queue;
mod clock;
mod demand;
mod departure;
mod drain;
mod entry_points;
mod failure;
mod fair_queue;
mod hash;
mod hash_ring;
mod limit_share;
mod outlier;
mod pick;
mod pool;
mod prefix_cache;
mod retry;
mod start_rate;
mod target;
mod target_health;
mod target_state;
mod token_bucket;
mod view;

pub use account_limiter::AccountLimiter;
pub use accounts::{AccountEntry, Accounts};
pub use admission_queue::{AdmissionQueue, QueueLimits, QueuedRequest, Refusal};
pub use clock::Clock;
pub use demand::{quantize_rate, Demand, DemandMap};
pub use departure::{Availability, DepartureNotice, DepartureState, Origin, LIST_SETTLE_MS};
pub use drain::{
    Drain, DrainEffect, DrainStage, IDLE_CLOSE_MS, KEEP_ALIVE_MS, LEAVING_PROPAGATION_MS,
};
pub use entry_points::{select_entry_points, EntryPoint, ENTRY_POINTS_TTL};
pub use failure::{Attribution, Failure, RetryDecision};
pub use hash::hash;
pub use limit_share::{
    LimitShare, ShareAllocator, ShareInputs, CONTACT_TIMEOUT_MS, DEMAND_PROPAGATION_MS, IDLE_SHARE,
    INCREASE_DELAY_MS,
};
pub use outlier::{OutlierDetector, OutlierEffect, OutlierLimits};
pub use pick::{Choice, PickCriteria, PickError, PickReason};
pub use pool::{Pool, FULL_WEIGHT};
pub use prefix_cache::{CacheEvent, PrefixHolder, PrefixIndex, PrefixTracker};
pub use retry::{Backoff, RetryBudget};
pub use target::Target;
pub use target_state::{InFlight, PoolAverages, TargetState, LIVENESS_TTL_MS};
pub use token_bucket::{TokenBucket, BURST_MS};
pub use view::{Route, RoutingView, ServiceKey};
