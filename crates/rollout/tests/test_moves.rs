//! What a bundle changes in the shares.

use celerypond_bundle::{Bundle, Model, Share, Version};
use celerypond_rollout::moves;

use crate::test_desk::bundle;

fn version(name: &str) -> Version {
    Version {
        name: name.into(),
        weights: name.into(),
        targets: vec![
            format!("{name}-1").as_str().into(),
            format!("{name}-2").as_str().into(),
        ],
    }
}

pub(crate) fn model(base: &str, percent: u8) -> Model {
    let share = Share {
        version: "v2".into(),
        percent,
    };
    Model {
        name: "draft".into(),
        versions: vec![version("v1"), version("v2")],
        base: base.into(),
        shares: if percent > 0 { vec![share] } else { Vec::new() },
        adapters: Vec::new(),
        deadline_ms: 60_000,
        complete_within_s: 600,
    }
}

pub(crate) fn with_model(title: &str, base: &str, percent: u8) -> Bundle {
    Bundle {
        models: vec![model(base, percent)],
        ..bundle(title)
    }
}

#[test]
fn only_a_rise_of_a_version_that_is_not_the_base_is_made_in_stages() {
    let cases = [
        (("v1", 0), ("v1", 0), None),
        (("v1", 0), ("v1", 30), Some((0, 300_000))),
        (("v1", 30), ("v1", 100), Some((300_000, 1_000_000))),
        (("v1", 30), ("v1", 10), None),
        (("v1", 0), ("v2", 0), Some((0, 1_000_000))),
        (("v1", 100), ("v2", 0), None),
        (("v2", 0), ("v2", 50), None),
    ];
    for ((base, percent), (next_base, next_percent), wanted) in cases {
        let found = moves(Some(&model(base, percent)), &model(next_base, next_percent));
        let shares = found.first().map(|found| (found.from_ppm, found.to_ppm));
        assert_eq!(
            shares, wanted,
            "{base} {percent} to {next_base} {next_percent}"
        );
        assert!(found
            .iter()
            .all(|found| found.candidate.version.as_str() == "v2" && found.engines == 2));
    }
    assert!(moves(None, &model("v1", 50)).is_empty());
}
