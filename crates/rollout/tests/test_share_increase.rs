//! Share increases between two configurations of a model.

use celerypond_bundle::{Bundle, Model, Share, Version};
use celerypond_rollout::share_increases;

use crate::test_operation::bundle;

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
fn only_increases_of_versions_other_than_the_base_need_stages() {
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
        let found = share_increases(Some(&model(base, percent)), &model(next_base, next_percent));
        let shares = found.first().map(|found| (found.from_ppm, found.to_ppm));
        assert_eq!(
            shares, wanted,
            "{base} {percent} to {next_base} {next_percent}"
        );
        assert!(found
            .iter()
            .all(|found| found.candidate.version.as_str() == "v2" && found.engines == 2));
    }
    assert!(share_increases(None, &model("v1", 50)).is_empty());
}

// One bundle moved all traffic from v1 to v2 by a share, and the next one, without v1, moves it to
// v3. With v1 as the base, requests that v3 does not take would be refused for lack of an engine,
// and v3 would be compared with a version without traffic.
#[test]
fn base_is_the_configured_version_with_most_traffic() {
    let moved = model("v1", 100);
    let next = Model {
        versions: vec![version("v2"), version("v3")],
        shares: vec![Share {
            version: "v3".into(),
            percent: 100,
        }],
        ..model("v2", 0)
    };
    assert_eq!(share_increases(Some(&moved), &next)[0].base, "v2".into());
    // A candidate that already has most of the traffic is not its own base.
    let most = model("v1", 60);
    assert_eq!(
        share_increases(Some(&most), &model("v1", 100))[0].base,
        "v1".into()
    );
}
