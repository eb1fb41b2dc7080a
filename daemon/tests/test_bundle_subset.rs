//! The part of the targets of a bundle that one instance sends work to.

use celerypond_bundle::Bundle;
use celerypond_daemon::bundle_subset::restrict_to_group;
use celerypond_fleet::Subset;
use celerypond_types::{InstanceName, TargetName};
use rstest::rstest;

fn bundle(engines: usize) -> Bundle {
    let mut bundle = Bundle::parse(include_str!("../../examples/demo.json")).unwrap();
    let template = bundle.targets[0].clone();
    let name = |at: usize| TargetName::new(format!("engine-{at}"));
    bundle
        .targets
        .retain(|target| target.name.as_str() == "desk-1");
    bundle
        .targets
        .extend((0..engines).map(|at| celerypond_bundle::Target {
            name: name(at),
            ..template.clone()
        }));
    bundle.models[0].versions[0].targets = (0..engines).map(name).collect();
    bundle
}

fn instances(count: usize) -> Vec<InstanceName> {
    (0..count)
        .map(|at| InstanceName::new(format!("i{at}")))
        .collect()
}

// All instances together must use every engine, none may use many more than its part, and a service with
// one target must keep it at every instance.
#[rstest]
#[case::today(7, 40, 40)]
#[case::more(200, 2_500, 400)]
#[case::full(900, 11_000, 500)]
fn groups_cover_all_engines(
    #[case] count: usize,
    #[case] engines: usize,
    #[case] max_targets: usize,
) {
    let bundle = bundle(engines);
    let names: Vec<TargetName> = bundle
        .targets
        .iter()
        .map(|target| target.name.clone())
        .collect();
    let all = instances(count);
    let mut covered = std::collections::HashSet::new();
    for instance_name in &all {
        let subset = Subset::of(instance_name, &all, &names);
        let subset_bundle = restrict_to_group(&bundle, &subset.targets);
        let used_targets = &subset_bundle.models[0].versions[0].targets;
        assert!(
            used_targets.len() >= 8 && used_targets.len() <= max_targets,
            "{instance_name} uses {} engines",
            used_targets.len()
        );
        assert_eq!(
            subset_bundle.services[0].targets,
            bundle.services[0].targets
        );
        assert!(subset_bundle.target(&"desk-1".into()).is_some());
        covered.extend(used_targets.iter().cloned());
        if covered.len() == engines {
            break;
        }
    }
    assert_eq!(covered.len(), engines);
}
