//! JSON Schemas of bundles and settings.

use serde_json::Value;

use crate::{Bundle, Settings};

/// Returns the JSON Schema of bundles.
pub fn bundle_schema() -> Value {
    schemars::schema_for!(Bundle).to_value()
}

/// Returns the JSON Schema of settings.
pub fn settings_schema() -> Value {
    schemars::schema_for!(Settings).to_value()
}
