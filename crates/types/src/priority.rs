//! How urgent a request is.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// How urgent a request is; the order of the variants is the order of service.
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
    /// A person waits a few seconds at most.
    #[default]
    Interactive,
    /// A long draft, which may wait a moment.
    Draft,
}
