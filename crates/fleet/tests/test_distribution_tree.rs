//! Distribution of changes of the store.

use std::collections::{HashMap, HashSet};

use celerypond_fleet::{Candidate, DistributionTree};
use celerypond_types::{DataCentre, InstanceName};
use rstest::rstest;

/// Instances in data centres of different sizes.
struct Fleet {
    instances: Vec<(InstanceName, DataCentre)>,
}

impl Fleet {
    fn new(n: usize) -> Self {
        let data_centre = |index: usize| match index % 10 {
            0..=4 => "east",
            5..=7 => "mid",
            _ => "west",
        };
        let named = (0..n).map(|index| {
            (
                format!("i{index}").as_str().into(),
                data_centre(index).into(),
            )
        });
        Self {
            instances: named.collect(),
        }
    }

    fn tree(&self) -> DistributionTree<'_> {
        let all = self.instances.iter();
        let all = all.map(|(name, data_centre)| Candidate { name, data_centre });
        DistributionTree::new(all.collect())
    }

    /// Returns the number of notifiers of each instance, and the highest number of recipients of one.
    fn notifier_counts(&self) -> (HashMap<&InstanceName, usize>, usize) {
        let tree = self.tree();
        let watchers: HashSet<_> = tree
            .watchers()
            .iter()
            .map(|candidate| candidate.name)
            .collect();
        let (mut notifiers, mut max_recipients) = (HashMap::new(), 0);
        for (name, _) in &self.instances {
            let recipients = tree.recipients_of(name, watchers.contains(name));
            max_recipients = max_recipients.max(recipients.len());
            for recipient in recipients {
                *notifiers.entry(recipient).or_default() += 1;
            }
        }
        (notifiers, max_recipients)
    }
}

// Each instance is notified of a change by two others, so that one of them may be cut off.
#[rstest]
fn each_instance_but_the_watchers_is_notified_by_two(
    #[values(3, 7, 71, 100, 101, 300, 904)] n: usize,
) {
    let fleet = Fleet::new(n);
    let tree = fleet.tree();
    let (notifiers, _) = fleet.notifier_counts();
    for (name, _) in &fleet.instances {
        if !tree
            .watchers()
            .iter()
            .any(|candidate| candidate.name == name)
        {
            assert_eq!(notifiers.get(name), Some(&2), "{name:?}");
        }
    }
}

// When the engines of a data centre die and start again, all instances request the changes from their
// notifiers. A 10 Mbit/s link can carry that to a few tens of instances.
#[rstest]
#[case(300, 75)]
#[case(904, 110)]
fn no_instance_notifies_more_than_its_link_can_carry(#[case] n: usize, #[case] limit: usize) {
    let (_, max_recipients) = Fleet::new(n).notifier_counts();
    assert!(
        max_recipients <= limit,
        "{max_recipients} recipients of one instance"
    );
}

// In a small fleet, an instance that is not notified watches the store itself and notifies the others.
#[test]
fn in_a_small_fleet_every_watching_instance_notifies_all() {
    let fleet = Fleet::new(7);
    let tree = fleet.tree();
    let is_watcher = |name: &InstanceName| {
        tree.watchers()
            .iter()
            .any(|candidate| candidate.name == name)
    };
    let other = fleet.instances.iter().find(|(name, _)| !is_watcher(name));
    let (name, _) = other.unwrap();
    assert_eq!(tree.recipients_of(name, false).len(), 0);
    assert_eq!(tree.recipients_of(name, true).len(), 6);
}

// When an instance dies, its recipients still have their other forwarder, and few instances change
// theirs.
#[test]
fn removal_of_an_instance_changes_few_recipients() {
    let mut fleet = Fleet::new(300);
    let pairs = |fleet: &Fleet| -> HashSet<(InstanceName, InstanceName)> {
        let tree = fleet.tree();
        let names = fleet.instances.iter().map(|(name, _)| name);
        let pairs = names.flat_map(|own| {
            let recipients = tree.recipients_of(own, false);
            recipients
                .into_iter()
                .map(|recipient| (own.clone(), recipient.clone()))
        });
        pairs.collect()
    };
    let before = pairs(&fleet);
    fleet.instances.remove(17);
    let changed = pairs(&fleet).symmetric_difference(&before).count();
    assert!(changed * 5 < before.len(), "{changed} of {}", before.len());
}
