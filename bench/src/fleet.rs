//! Measures of the `fleet` crate.

use crate::table::Row;

/// Takes the measures.
pub(crate) fn run(_seeds: u64) -> Vec<Row> {
    Vec::new()
}
