//! Client accounts.

use celerypond_types::{AccountName, Digest, Priority};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// A client account and its limits, which apply to the whole fleet.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Account {
    /// The name, unique in the bundle.
    pub name: AccountName,
    /// The SHA-256 digest of the API key that the account's callers send.
    pub key_digest: Digest,
    /// The maximum number of requests per second across the whole fleet.
    pub requests_per_s: u32,
    /// The maximum number of generated tokens per second across the whole fleet.
    pub tokens_per_s: u32,
    /// The weight of the account in fair queueing, relative to other accounts.
    #[serde(default = "default_weight")]
    pub weight: u32,
    /// The priority of requests that do not specify one.
    #[serde(default)]
    pub priority: Priority,
}

fn default_weight() -> u32 {
    1
}
