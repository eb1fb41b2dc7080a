//! Engines divided among groups of instances.

use celerypond_relay::{Change, Group, Presence};
use tokio::time::Instant;

use crate::fixture::{engine, three_data_centres, Wanted, TOKENS};

const GROUPS: usize = 4;

/// Streams of four groups arrive, and groups hear nothing of each other. If all used the same engines in one
/// order, two prompts of different groups would meet while other engines are idle.
#[test]
fn prompts_of_groups_that_hear_nothing_of_each_other_do_not_meet() {
    let now = Instant::now();
    let wanted = Wanted::new();
    let mut readings = std::collections::HashMap::new();
    for own in 0..GROUPS {
        let mut targets = three_data_centres(60);
        targets.group = Group {
            index: own,
            count: GROUPS,
        };
        for part in 0..20_u64 {
            let pick = targets
                .select(&wanted.stream(part * 4 + own as u64), now)
                .unwrap();
            targets.add_stream(pick.key, part, TOKENS, now);
            let spot = targets.get(pick.key).unwrap().address_hash;
            *readings.entry(spot).or_insert(0) += 1;
        }
    }
    assert_eq!(readings.len(), 20 * GROUPS);
}

/// Nearly all engines of a group leave. Its streams go to engines of other groups; they are not refused.
#[test]
fn a_group_without_engines_uses_those_of_others() {
    let now = Instant::now();
    let mut targets = three_data_centres(12);
    let group = Group {
        index: 2,
        count: GROUPS,
    };
    targets.group = group;
    let own: Vec<_> = targets
        .iter()
        .filter(|(_, target)| group.contains(target.address_hash))
        .collect();
    let left: Vec<_> = own.iter().map(|(_, target)| target.entry.clone()).collect();
    assert!(!left.is_empty());
    for entry in left {
        let leaving = Presence::Leaving;
        targets.apply(
            &Change::Is(celerypond_relay::TargetEntry {
                presence: leaving,
                ..entry
            }),
            now,
        );
    }
    let wanted = Wanted::new();
    let pick = targets.select(&wanted.stream(1), now).unwrap();
    assert!(!group.contains(targets.get(pick.key).unwrap().address_hash));
    assert!(!pick.is_doubtful);
}

/// An engine starts again under another name. It stays with its group, or its prompts would be sought by
/// others than those who sent them.
#[test]
fn an_engine_that_starts_again_stays_in_its_group() {
    let now = Instant::now();
    let mut targets = three_data_centres(12);
    let before: Vec<u64> = targets
        .iter()
        .map(|(_, target)| target.address_hash)
        .collect();
    targets.apply(&Change::Is(engine("east", 3, 2)), now);
    let after = targets.iter().map(|(_, target)| target.address_hash);
    assert!(after.into_iter().all(|spot| before.contains(&spot)));
}

/// An instance dies, and its caller comes to one of another group with the same prompt. That one was told where
/// the prompt was sent, so it is asked there, though the engine belongs to the other group.
#[test]
fn a_retry_at_another_group_goes_to_the_engine_that_has_read_its_prompt() {
    let now = Instant::now();
    let wanted = Wanted::new();
    let mut all: Vec<_> = (0..GROUPS).map(|_| three_data_centres(20)).collect();
    for (own, targets) in all.iter_mut().enumerate() {
        targets.group = Group {
            index: own,
            count: GROUPS,
        };
    }
    let want = wanted.stream(77);
    let first = all[0].select(&want, now).unwrap().key;
    all[0].add_stream(first, 77, TOKENS, now).unwrap();
    let notes = all[0].take_prompt_locations();
    let hash = all[0].get(first).unwrap().name_hash;
    for other in &mut all[1..] {
        other.merge_prompt_locations(&notes, now);
        let pick = other.select(&want, now).unwrap();
        assert_eq!(other.get(pick.key).unwrap().name_hash, hash);
    }
    assert!(all[0].take_prompt_locations().is_empty());
}

/// The store is away, and a thousand engines die and start again; one instance finds them all by their own word.
/// A list that named them all would not fit into a datagram, and the instance's streams would seem ended.
#[test]
fn a_list_stays_short_where_a_thousand_engines_were_found_again() {
    let now = Instant::now();
    let mut targets = three_data_centres(250);
    let dead: Vec<u64> = targets.iter().map(|(_, target)| target.name_hash).collect();
    for (n, hash) in dead.into_iter().enumerate() {
        let name = format!("i-found-{n}").as_str().into();
        assert!(targets.add_restarted_engine(hash, &name, now));
    }
    let list = targets.placements(1, 1, None, now);
    assert!(celerypond_relay::encode(&list).len() < 8 << 10);
}
