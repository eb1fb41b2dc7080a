//! A client account.

use celerypond_types::{AccountName, Digest, Priority};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// A client account and its limits over the whole fleet.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Account {
    /// The name, unique in the bundle.
    pub name: AccountName,
    /// The SHA-256 digest of the key that the account's callers send.
    pub key_digest: Digest,
    /// Requests a second over the whole fleet.
    pub requests_per_s: u32,
    /// Generated tokens a second over the whole fleet.
    pub tokens_per_s: u32,
    /// The account's part in fair queueing, relative to the others.
    #[serde(default = "one")]
    pub weight: u32,
    /// The priority of requests that name none.
    #[serde(default)]
    pub priority: Priority,
}

fn one() -> u32 {
    1
}
