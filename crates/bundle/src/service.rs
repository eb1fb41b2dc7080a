//! A plain service beside the model engines.

use celerypond_types::{ServiceName, TargetName};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// A plain service beside the model engines.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// The name, unique in the bundle.
    pub name: ServiceName,
    /// The targets that serve it, any of which may take any call.
    pub targets: Vec<TargetName>,
    /// Calls whose rule differs from that of their method.
    #[serde(default)]
    pub calls: Vec<Call>,
    /// The longest time a call may take, in milliseconds.
    pub deadline_ms: u64,
    /// Status codes by which this service proves that a call did not run.
    #[serde(default)]
    pub not_run_codes: Vec<u16>,
}

/// A call whose rule differs from that of its method.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Call {
    /// The HTTP method, in capitals.
    #[schemars(with = "String")]
    pub method: smol_str::SmolStr,
    /// The start of the path below the service.
    #[schemars(with = "String")]
    pub path: smol_str::SmolStr,
    /// Whether the call may be repeated.
    pub idempotent: bool,
}

impl Service {
    /// Returns whether a call may be repeated, by the longest rule that fits or else by its method.
    ///
    /// The default by method is that of RFC 9110, section 9.2.2.
    pub fn is_idempotent(&self, method: &str, path: &str) -> bool {
        self.calls
            .iter()
            .filter(|call| call.method == method && path.starts_with(call.path.as_str()))
            .max_by_key(|call| call.path.len())
            .map_or_else(
                || {
                    matches!(
                        method,
                        "GET" | "HEAD" | "OPTIONS" | "TRACE" | "PUT" | "DELETE"
                    )
                },
                |call| call.idempotent,
            )
    }
}
