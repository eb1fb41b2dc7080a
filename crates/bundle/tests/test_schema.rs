//! Tests for the published JSON Schemas.

use celerypond_bundle::{bundle_schema, settings_schema};
use rstest::rstest;
use serde_json::Value;

/// Run with `UPDATE_SCHEMAS=1` to regenerate the files.
#[rstest]
#[case::bundle("bundle.json", bundle_schema())]
#[case::settings("settings.json", settings_schema())]
fn published_schema_matches_the_code(#[case] name: &str, #[case] schema: Value) {
    let path = format!("{}/../../docs/schema/{name}", env!("CARGO_MANIFEST_DIR"));
    let text = serde_json::to_string_pretty(&schema).unwrap() + "\n";
    if std::env::var_os("UPDATE_SCHEMAS").is_some() {
        std::fs::write(&path, &text).unwrap();
    }
    assert_eq!(std::fs::read_to_string(&path).unwrap(), text);
    jsonschema::validator_for(&schema).unwrap();
}
