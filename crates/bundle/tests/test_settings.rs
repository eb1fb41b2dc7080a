//! Tests for the parsing and validation of settings.

use celerypond_bundle::Settings;
use serde_json::{json, Value};

const EXAMPLE: &str = include_str!("../../../examples/settings.json");

#[test]
fn example_settings_are_accepted() {
    let settings = Settings::parse(EXAMPLE).unwrap();
    assert_eq!(settings.instance.as_str(), "entry-1");
    assert_eq!(settings.body_limit, 4 << 20);
}

#[test]
fn every_error_has_its_path() {
    let mut value: Value = serde_json::from_str(EXAMPLE).unwrap();
    value["instance"] = json!("");
    value["peer_address"] = value["address"].clone();
    value["platform"] = json!([]);
    value["threads"] = json!(0);
    let errors = Settings::parse(&value.to_string()).unwrap_err();
    let paths: Vec<&str> = errors.iter().map(|error| error.path.as_str()).collect();
    assert_eq!(paths, ["instance", "peer_address", "platform", "threads"]);
}

#[test]
fn unknown_and_missing_fields_are_reported_in_one_run() {
    let mut value: Value = serde_json::from_str(EXAMPLE).unwrap();
    value["log"] = json!({"colour": true});
    value["operators"][1]["name"] = json!("aigul");
    value.as_object_mut().unwrap().remove("address");
    let errors = Settings::parse(&value.to_string()).unwrap_err();
    let mut paths: Vec<&str> = errors.iter().map(|error| error.path.as_str()).collect();
    paths.sort_unstable();
    assert_eq!(paths, ["address", "log.colour", "operators[1].name"]);
}
