//! Choice of a target, account limits, admission, ejection, retry budget.
//!
//! All decisions are functions of their input: the time is passed in, and so is the generator of
//! random numbers. The request path reads one [`View`]; counts that change with every request are
//! atomics in [`Gauge`]s, which all views share.

mod cache;
mod clock;
mod gauge;
mod hash;
mod pick;
mod pool;
mod ring;
mod target;
mod view;

pub use cache::{CacheIndex, Holder};
pub use clock::Clock;
pub use gauge::{Gauge, InFlight, FRESH_MS, FULL_WEIGHT};
pub use hash::hash;
pub use pick::{Ask, Choice, PickError, Reason};
pub use pool::Pool;
pub use target::Target;
pub use view::{Route, ServiceKey, View};
