//! Tests for the diff of bundles.

use celerypond_bundle::{diff, Bundle};

const DEMO: &str = include_str!("../../../examples/demo.json");

#[test]
fn changes_identify_entries_by_name() {
    let before = Bundle::parse(DEMO).unwrap();
    let mut after = before.clone();
    after.models[0].deadline_ms = 5;
    after.accounts.remove(0);
    after.targets.reverse();
    let lines: Vec<String> = diff(&before, &after)
        .iter()
        .map(ToString::to_string)
        .collect();
    assert_eq!(
        lines,
        [
            "- accounts[showroom].key_digest: \"c96cd1614535a35aec0b27a305e3e746c19933fb4723ecab0c9b8c19bb3ab863\"",
            "- accounts[showroom].name: \"showroom\"",
            "- accounts[showroom].priority: \"interactive\"",
            "- accounts[showroom].requests_per_s: 100",
            "- accounts[showroom].tokens_per_s: 100000",
            "- accounts[showroom].weight: 1",
            "~ models[drafts].deadline_ms: 60000 -> 5",
        ]
    );
}
