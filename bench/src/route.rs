//! Measures of the `route` crate: overload, herding, affinity and the cost of a choice.
//!
//! The models are small queueing models in virtual time, driven by a seed; only the cost of a
//! choice and of a refusal is real time.

mod affinity;
mod classes;
mod cost;
mod fleet;
mod herding;
mod limits;
mod overload;

use crate::table::Row;

/// Takes the measures.
pub(crate) fn run(seeds: u64) -> Vec<Row> {
    let mut rows = cost::memory();
    rows.extend(overload::run(seeds));
    rows.extend(herding::run(seeds));
    rows.extend(affinity::run(seeds));
    rows.extend(classes::run(seeds));
    rows.extend(limits::run(seeds));
    rows.extend(cost::run());
    rows
}
