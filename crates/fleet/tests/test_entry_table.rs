//! Entries that are lost or arrive out of order, limits on entries, and merging of facts.

use celerypond_fleet::{EntryError, EntryKind, EntryTable, Facts, GossipSettings, Item, Origin};
use rand::{rngs::SmallRng, Rng as _, SeedableRng as _};
use rstest::rstest;
use std::time::Duration;

use crate::simulation::Simulation;

fn item(key: u8, value: u8) -> Item {
    Item {
        kind: EntryKind::EvidenceSummary,
        key: format!("k{key}").as_str().into(),
        value: Box::new([value]),
    }
}

// Changes entries of one instance while a third of the messages are lost, so that pushes arrive with
// gaps before them. Guards against a receiver that takes a push to include all earlier changes and
// never requests the missing ones: it would use outdated evidence forever.
#[rstest]
fn changes_of_lost_pushes_are_requested_again(#[values(1, 2, 3, 4, 5, 6, 7, 8)] seed: u64) {
    let mut simulation = Simulation::new(9, GossipSettings::default(), seed);
    let mut rng = SmallRng::seed_from_u64(seed);
    simulation.update_all_lists();
    simulation.run(Duration::from_secs(5));
    simulation.loss_rate = 0.35;
    for _ in 0..200 {
        let key = rng.random_range(0..12);
        let node = simulation.node(0);
        if rng.random_bool(0.2) {
            node.clear_entry(EntryKind::EvidenceSummary, &format!("k{key}"));
        } else {
            let item = item(key, rng.random());
            node.set_entry(item.kind, &item.key, item.value).unwrap();
        }
        simulation.run(Duration::from_millis(100));
    }
    simulation.run(Duration::from_secs(40));
    let entries = |table: &EntryTable| -> Vec<(Origin, Item)> {
        let items = table.items(EntryKind::EvidenceSummary);
        let mut items: Vec<_> = items.map(|(origin, item)| (origin, item.clone())).collect();
        items.sort_by(|a, b| a.1.key.cmp(&b.1.key));
        items
    };
    let own = entries(simulation.node(0).entries());
    assert!(!own.is_empty());
    assert!(simulation.all_instances(|gossip| entries(gossip.entries()) == own));
}

#[test]
fn cleared_slots_are_reused() {
    let mut table = EntryTable::default();
    for index in 0..10_000_u32 {
        let key = format!("rollout-{index}");
        let item = Item {
            kind: EntryKind::Evidence,
            key: key.as_str().into(),
            value: Box::new([1]),
        };
        table.set(Origin(1), item).unwrap();
        if index >= 3 {
            let old = format!("rollout-{}", index - 3);
            table.clear(Origin(1), EntryKind::Evidence, &old).unwrap();
        }
    }
    assert_eq!(table.items(EntryKind::Evidence).count(), 3);
}

#[test]
fn full_class_and_oversized_value_are_rejected() {
    let mut table = EntryTable::default();
    let full = (0..=u8::MAX).find_map(|key| table.set(Origin(1), item(key, 0)).err());
    assert_eq!(full, Some(EntryError::ClassFull));
    let oversized = Item {
        value: vec![0; 2_000].into(),
        ..item(0, 0)
    };
    assert_eq!(
        table.set(Origin(2), oversized),
        Err(EntryError::ValueTooLong(2_000))
    );
}

#[test]
fn facts_converge_in_any_order_beyond_the_maximum_number_of_brakes() {
    use celerypond_fleet::Brake;
    use celerypond_types::Revision;
    use rand::seq::SliceRandom as _;

    let mut brakes: Vec<Brake> = (0..200)
        .map(|index| Brake {
            revision: Revision(index / 2),
            version: format!("v{}", index % 2).as_str().into(),
        })
        .collect();
    let mut rng = SmallRng::seed_from_u64(4);
    let mut fingerprints: Vec<u64> = (0..20)
        .map(|_| {
            brakes.shuffle(&mut rng);
            let mut facts = Facts::default();
            for brake in &brakes {
                facts.add_brake(brake.clone());
            }
            facts.fingerprint()
        })
        .collect();
    fingerprints.dedup();
    assert_eq!(fingerprints.len(), 1);
}
