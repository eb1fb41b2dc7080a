//! Choice of instances and division of the fleet into groups.

use std::collections::{BTreeMap, BTreeSet};

use celerypond_fleet::{choose_instances, Candidate, Subset};
use celerypond_types::{DataCentre, InstanceName, TargetName};
use rstest::rstest;

fn names(n: usize) -> Vec<InstanceName> {
    (0..n)
        .map(|index| format!("i{index}").as_str().into())
        .collect()
}

fn targets(n: usize) -> Vec<TargetName> {
    (0..n)
        .map(|index| format!("t{index}").as_str().into())
        .collect()
}

fn candidates<'a>(names: &'a [InstanceName], data_centres: &'a [DataCentre]) -> Vec<Candidate<'a>> {
    let pairs = names.iter().zip(data_centres.iter().cycle());
    pairs
        .map(|(name, data_centre)| Candidate { name, data_centre })
        .collect()
}

#[test]
fn two_chosen_instances_are_in_two_data_centres_and_change_only_if_one_is_removed() {
    let names = names(30);
    let data_centres = ["east", "west", "north"].map(DataCentre::from);
    let all = candidates(&names, &data_centres);
    let without: Vec<Candidate<'_>> = all
        .iter()
        .copied()
        .filter(|c| c.name != &names[4])
        .collect();
    for key in 0..500_u32 {
        let key = key.to_le_bytes();
        let before = choose_instances(&key, &all, 2);
        assert_ne!(before[0].data_centre, before[1].data_centre);
        let after = choose_instances(&key, &without, 2);
        if before.iter().all(|c| c.name != &names[4]) {
            assert_eq!(before, after);
        }
    }
}

#[test]
fn instances_of_one_data_centre_are_chosen_if_there_is_no_other() {
    let names = names(3);
    let data_centres = [DataCentre::from("east")];
    assert_eq!(
        choose_instances(b"k", &candidates(&names, &data_centres), 2).len(),
        2
    );
    assert_eq!(
        choose_instances(b"k", &candidates(&names, &data_centres), 5).len(),
        3
    );
}

#[rstest]
#[case::today(7, 40, 1, 40)]
#[case::middle(200, 500, 16, 32)]
#[case::planned(900, 11_000, 64, 172)]
fn groups_stay_small_and_every_target_has_two_watchers(
    #[case] instances: usize,
    #[case] target_count: usize,
    #[case] groups: usize,
    #[case] max_targets: usize,
) {
    let names = names(instances);
    let all = targets(target_count);
    let data_centres = ["east", "west", "north"].map(DataCentre::from);
    let mut watchers: BTreeMap<TargetName, usize> = BTreeMap::new();
    let group = Subset::of(&names[0], &names, &all);
    for own in &group.peers {
        let subset = Subset::of(own, &names, &all);
        assert_eq!(subset.groups, groups);
        assert!(subset.targets.len() <= max_targets);
        let peers = candidates(&subset.peers, &data_centres);
        for target in subset.watched_targets(own, &peers) {
            *watchers.entry(target).or_default() += 1;
        }
    }
    assert!(watchers.keys().eq(&BTreeSet::from_iter(group.targets)));
    assert!(watchers.values().all(|count| *count == 2));
}

#[test]
fn added_instance_moves_few_others() {
    let before = names(400);
    let after = names(401);
    let groups = |names: &[InstanceName]| -> Vec<usize> {
        let group_of = |own| Subset::of(own, names, &[]).group;
        before.iter().map(group_of).collect()
    };
    let pairs = groups(&before).into_iter().zip(groups(&after));
    let moved = pairs.filter(|(a, b)| a != b).count();
    assert!(moved <= 32, "{moved} moved");
}
