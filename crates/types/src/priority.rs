//! Priorities of requests.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// The priority of a request. The order of the variants is the order of service.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
    JsonSchema,
)]
#[serde(rename_all = "snake_case")]
pub enum Priority {
    /// A user is waiting, for a few seconds at most.
    #[default]
    Interactive,
    /// A long draft, which may be delayed.
    Draft,
}
