//! Who tells whom what the store says.

use std::collections::{HashMap, HashSet};

use celerypond_fleet::{Candidate, DistributionTree};
use celerypond_types::{DataCentre, InstanceName};
use rstest::rstest;

/// Instances in data centres of different size.
struct Fleet {
    instances: Vec<(InstanceName, DataCentre)>,
}

impl Fleet {
    fn new(n: usize) -> Self {
        let home = |at: usize| match at % 10 {
            0..=4 => "east",
            5..=7 => "mid",
            _ => "west",
        };
        let named = (0..n).map(|at| (format!("i{at}").as_str().into(), home(at).into()));
        Self {
            instances: named.collect(),
        }
    }

    fn tree(&self) -> DistributionTree<'_> {
        let all = self.instances.iter();
        let all = all.map(|(name, data_centre)| Candidate { name, data_centre });
        DistributionTree::new(all.collect())
    }

    /// Returns by how many each instance is told, and how many the busiest tells.
    fn told(&self) -> (HashMap<&InstanceName, usize>, usize) {
        let tree = self.tree();
        let watchers: HashSet<_> = tree.watchers().iter().map(|one| one.name).collect();
        let (mut told, mut most) = (HashMap::new(), 0);
        for (name, _) in &self.instances {
            let heirs = tree.recipients_of(name, watchers.contains(name));
            most = most.max(heirs.len());
            for heir in heirs {
                *told.entry(heir).or_default() += 1;
            }
        }
        (told, most)
    }
}

/// A change reaches all instances, each by two ways, so that one of them may be cut off.
#[rstest]
fn each_instance_but_the_watchers_is_told_by_two(#[values(3, 7, 71, 100, 101, 300, 904)] n: usize) {
    let fleet = Fleet::new(n);
    let tree = fleet.tree();
    let (told, _) = fleet.told();
    for (name, _) in &fleet.instances {
        if !tree.watchers().iter().any(|one| one.name == name) {
            assert_eq!(told.get(name), Some(&2), "{name:?}");
        }
    }
}

/// A data centre's engines die and start again, and all instances ask those that told them for what
/// changed. One link of 10 Mbit/s carries that to some tens.
#[rstest]
#[case(300, 75)]
#[case(904, 110)]
fn nobody_tells_more_than_its_link_carries(#[case] n: usize, #[case] limit: usize) {
    let (_, most) = Fleet::new(n).told();
    assert!(most <= limit, "{most} are told by one");
}

/// In a small fleet an instance that hears of no watcher watches for itself, and tells the others.
#[test]
fn in_a_small_fleet_whoever_watches_tells_all() {
    let fleet = Fleet::new(7);
    let tree = fleet.tree();
    let is_watcher = |name: &InstanceName| tree.watchers().iter().any(|one| one.name == name);
    let other = fleet.instances.iter().find(|(name, _)| !is_watcher(name));
    let (name, _) = other.unwrap();
    assert_eq!(tree.recipients_of(name, false).len(), 0);
    assert_eq!(tree.recipients_of(name, true).len(), 6);
}

/// One instance dies. Those that it told hear from the other teller; few others are told anew.
#[test]
fn few_are_told_by_others_when_one_dies() {
    let mut fleet = Fleet::new(300);
    let pairs = |fleet: &Fleet| -> HashSet<(InstanceName, InstanceName)> {
        let tree = fleet.tree();
        let names = fleet.instances.iter().map(|(name, _)| name);
        let told = names.flat_map(|own| {
            let heirs = tree.recipients_of(own, false);
            heirs.into_iter().map(|heir| (own.clone(), heir.clone()))
        });
        told.collect()
    };
    let before = pairs(&fleet);
    fleet.instances.remove(17);
    let changed = pairs(&fleet).symmetric_difference(&before).count();
    assert!(changed * 5 < before.len(), "{changed} of {}", before.len());
}
