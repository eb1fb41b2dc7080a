//! Plain services.

use celerypond_types::{ServiceName, TargetName};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// A plain service: an HTTP service that is not a model engine.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// The name, unique in the bundle.
    pub name: ServiceName,
    /// The targets that serve it. Each of them can handle any call.
    pub targets: Vec<TargetName>,
    /// Rules for calls whose idempotency differs from the default of their method.
    #[serde(default)]
    pub calls: Vec<Call>,
    /// The maximum duration of a call, in milliseconds.
    pub deadline_ms: u64,
    /// The status codes that the service returns only for calls that it did not run.
    #[serde(default)]
    pub not_run_codes: Vec<u16>,
}

/// A rule for calls whose idempotency differs from the default of their method.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Call {
    /// The HTTP method, in upper case.
    #[schemars(with = "String")]
    pub method: smol_str::SmolStr,
    /// The prefix of the path, relative to the service.
    #[schemars(with = "String")]
    pub path: smol_str::SmolStr,
    /// Whether the call is idempotent, so that it may be retried.
    pub idempotent: bool,
}

impl Service {
    /// Returns whether a call is idempotent.
    ///
    /// The matching rule with the longest path prefix decides. Without one, the method decides as
    /// defined in RFC 9110, section 9.2.2.
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
