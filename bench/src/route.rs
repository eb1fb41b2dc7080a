//! Benchmarks of the `route` crate: overload, herding, prefix affinity, retry rules, rate limits
//! and the cost of picking a target.
//!
//! Most are simulations of small queueing models in virtual time, driven by a seed. Only `cost`
//! measures real time and memory.

mod affinity;
mod classes;
mod cost;
mod fleet;
mod herding;
mod limits;
mod overload;

use crate::table::Row;

/// Runs the benchmarks.
pub(crate) fn run(seeds: u64) -> Vec<Row> {
    // Memory comes first: it must run before anything has freed memory that could be reused.
    let mut rows = cost::memory();
    rows.extend(overload::run(seeds));
    rows.extend(herding::run(seeds));
    rows.extend(affinity::run(seeds));
    rows.extend(classes::run(seeds));
    rows.extend(limits::run(seeds));
    rows.extend(cost::run());
    rows
}
