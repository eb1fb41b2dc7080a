//! Tests for the parsing and validation of bundles.

use celerypond_bundle::Bundle;
use rstest::rstest;
use serde_json::{json, Value};

const DEMO: &str = include_str!("../../../examples/demo.json");

fn errors(change: impl FnOnce(&mut Value)) -> Vec<String> {
    let mut value: Value = serde_json::from_str(DEMO).unwrap();
    change(&mut value);
    let errors = Bundle::parse(&value.to_string()).expect_err("the bundle has an error");
    errors.iter().map(ToString::to_string).collect()
}

#[rstest]
#[case::demo(DEMO)]
#[case::holding(include_str!("../../../examples/holding.json"))]
#[case::harrowgate(include_str!("../../../examples/harrowgate.json"))]
fn example_bundles_are_accepted_and_keep_their_digest(#[case] text: &str) {
    let bundle = Bundle::parse(text).unwrap();
    let reparsed = Bundle::parse(&serde_json::to_string(&bundle).unwrap()).unwrap();
    assert_eq!(bundle.digest(), reparsed.digest());
}

#[test]
fn text_that_is_not_json_gives_one_error() {
    let errors = Bundle::parse("{\"format\":").unwrap_err();
    assert_eq!(errors.len(), 1);
    assert!(errors[0]
        .to_string()
        .starts_with("$: found text that is not JSON"));
}

#[test]
fn schema_violations_and_semantic_errors_are_reported_in_one_run() {
    let errors = errors(|bundle| {
        bundle["targets"][0]["kind"] = json!("enginee");
        bundle["targets"][1]["colour"] = json!(1);
        bundle["targets"][2]["address"] = json!("engine.example:80");
        bundle["models"][0]["base"] = json!("v9");
        bundle["models"][0]["versions"][0]["targets"][1] = json!("engine-9");
        bundle["models"][0]["shares"] = json!([{"version": "v1", "percent": 0}]);
        bundle["accounts"][0]["key_digest"] = json!("12");
        bundle["services"][0]
            .as_object_mut()
            .unwrap()
            .remove("deadline_ms");
    });
    assert_eq!(
        errors,
        [
            "services[0].deadline_ms: found nothing, expected the field `deadline_ms`",
            "targets[0].kind: found \"enginee\", expected one of \"engine\", \"service\"",
            "targets[1].colour: found a field, expected no field `colour`",
            "targets[2].address: found a value of another form, \
             expected a value that can be read: invalid socket address syntax",
            "accounts[0].key_digest: found a value of another form, \
             expected a value that can be read: 64 hexadecimal digits, found 2 characters",
            "models[0].versions[0].targets[1]: found \"engine-9\", \
             expected the name of an engine of this document",
            "models[0].base: found \"v9\", \
             expected the name of a version of the model of this document",
            "models[0].shares[0].percent: found 0, expected a number from 1 to 100",
        ]
    );
}

#[rstest]
#[case::format("/format", json!(2), "format: found 2, expected format 1")]
#[case::empty_name("/targets/0/name", json!(""), "targets[0].name: found \"\", expected 1 to 63")]
#[case::slash("/targets/0/name", json!("a/b"), "targets[0].name: found \"a/b\", expected 1 to 63")]
#[case::same_name("/targets/0/name", json!("engine-2"), "targets[1].name: found \"engine-2\"")]
#[case::same_address(
    "/targets/0/address", json!("127.0.0.1:7202"),
    "targets[1].address: found \"127.0.0.1:7202\", expected a value that no other entry has"
)]
#[case::no_port("/targets/0/address", json!("127.0.0.1:0"), "targets[0].address: found 0")]
#[case::service_as_engine(
    "/models/0/versions/0/targets/0", json!("desk-1"),
    "models[0].versions[0].targets[0]: found \"desk-1\", expected the name of an engine"
)]
#[case::no_targets("/services/0/targets", json!([]), "services[0].targets: found []")]
#[case::method("/services/0/calls/0/method", json!("post"), "services[0].calls[0].method")]
#[case::path("/services/0/calls/0/path", json!("x"), "services[0].calls[0].path")]
#[case::code("/services/0/not_run_codes", json!([200]), "services[0].not_run_codes[0]: found 200")]
#[case::deadline("/models/0/deadline_ms", json!(0), "models[0].deadline_ms: found 0")]
#[case::negative("/models/0/deadline_ms", json!(-1), "models[0].deadline_ms: found -1")]
#[case::no_rate("/accounts/0/requests_per_s", json!(0), "accounts[0].requests_per_s: found 0")]
#[case::empty_key(
    "/accounts/0/key_digest",
    json!("e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855"),
    "accounts[0].key_digest"
)]
#[case::share_of_base(
    "/models/0/shares", json!([{"version":"v1","percent":60},{"version":"v1","percent":60}]),
    "models[0].shares[0].version: found \"v1\", expected a version other than the base"
)]
fn invalid_value_is_reported(
    #[case] pointer: &str,
    #[case] invalid: Value,
    #[case] expected: &str,
) {
    let errors = errors(|bundle| match bundle.pointer_mut(pointer) {
        Some(value) => *value = invalid,
        None => {
            let (parent, field) = pointer.rsplit_once('/').unwrap();
            bundle.pointer_mut(parent).unwrap()[field] = invalid;
        }
    });
    assert!(
        errors.iter().any(|error| error.starts_with(expected)),
        "{errors:#?}"
    );
}

#[test]
fn invalid_target_is_not_reported_again_where_it_is_referenced() {
    let errors = errors(|bundle| bundle["targets"][0]["kind"] = json!(7));
    assert_eq!(errors.len(), 1, "{errors:#?}");
}
