//! Tests of the subcommands for bundles and settings.

use std::fs;

use rstest::rstest;

use crate::harness::{run, text};

const DEMO: &str = include_str!("../../examples/demo.json");

#[rstest]
#[case::demo("demo.json", &[])]
#[case::holding("holding.json", &[])]
#[case::harrowgate("harrowgate.json", &[])]
#[case::settings("settings.json", &["--settings"])]
fn examples_are_valid(#[case] file: &str, #[case] flags: &[&str]) {
    let path = format!("{}/../examples/{file}", env!("CARGO_MANIFEST_DIR"));
    let output = run(&[&["check", &path], flags].concat());
    assert_eq!(
        (output.status.code(), text(&output.stdout).as_str()),
        (Some(0), "")
    );
}

#[test]
fn check_prints_all_errors() {
    let directory = tempfile::tempdir().unwrap();
    let path = directory.path().join("bad.json");
    let invalid = DEMO
        .replace("\"title\"", "\"titel\"")
        .replace("\"base\": \"v1\"", "\"base\": \"v9\"");
    fs::write(&path, invalid).unwrap();
    let path = path.to_str().unwrap();
    let output = run(&["check", path]);
    let expected = [
        "title: found nothing, expected the field `title`",
        "titel: found a field, expected no field `titel`",
        "models[0].base: found \"v9\", expected the name of a version of the model of this document",
    ];
    let expected: String = expected
        .iter()
        .map(|line| format!("{path}: {line}\n"))
        .collect();
    assert_eq!(
        (output.status.code(), text(&output.stdout)),
        (Some(2), expected)
    );
    let errors: serde_json::Value =
        serde_json::from_slice(&run(&["--json", "check", path]).stdout).unwrap();
    assert_eq!(errors[2]["found"], "\"v9\"");
}

#[test]
fn diff_prints_the_entry_and_both_values() {
    let directory = tempfile::tempdir().unwrap();
    let [before, after] = ["before.json", "after.json"].map(|name| directory.path().join(name));
    fs::write(&before, DEMO).unwrap();
    fs::write(&after, DEMO.replace("60000", "50000")).unwrap();
    let output = run(&["diff", before.to_str().unwrap(), after.to_str().unwrap()]);
    assert_eq!(
        text(&output.stdout),
        "~ models[drafts].deadline_ms: 60000 -> 50000\n"
    );
}

#[rstest]
#[case::bundle("bundle", include_str!("../../docs/schema/bundle.json"))]
#[case::settings("settings", include_str!("../../docs/schema/settings.json"))]
fn schema_matches_the_published_file(#[case] kind: &str, #[case] published: &str) {
    assert_eq!(
        text(&run(&["schema", kind]).stdout).trim(),
        published.trim()
    );
}
