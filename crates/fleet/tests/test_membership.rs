//! States of members, and runs of one instance that follow each other.

use std::time::Duration;

use celerypond_fleet::{EntryKind, Event, GossipSettings, Incarnation, MemberState};
use rstest::rstest;

use crate::simulation::{instance_name, listed_member, Simulation};

const SECOND: Duration = Duration::from_secs(1);

/// Starts `n` instances and runs them until they know each other.
fn started_fleet(n: usize, seed: u64) -> Simulation {
    let settings = GossipSettings {
        forget_after: 60 * SECOND,
        ..GossipSettings::default()
    };
    let mut simulation = Simulation::new(n, settings, seed);
    simulation.run(15 * SECOND);
    simulation
}

/// Returns the states of an instance as seen by all others.
fn states_of(simulation: &Simulation, of: usize) -> Vec<Option<MemberState>> {
    let nodes = simulation.nodes.iter().enumerate();
    nodes
        .filter(|(index, _)| *index != of)
        .filter_map(|(_, node)| node.as_ref())
        .map(|node| {
            node.membership()
                .by_name(&instance_name(of))
                .map(|m| m.state())
        })
        .collect()
}

fn are_all(simulation: &Simulation, of: usize, expected: MemberState) -> bool {
    states_of(simulation, of)
        .iter()
        .all(|s| *s == Some(expected))
}

// Pauses an instance for half a minute, during which it must be suspected. When it resumes, it learns of
// the claims about it, refutes them, and must be live again everywhere.
#[rstest]
fn paused_instance_is_suspected_and_returns(#[values(1, 2, 3, 4)] seed: u64) {
    let mut simulation = started_fleet(9, seed);
    simulation.set_paused(4, true);
    assert!(simulation.run_until(15 * SECOND, |m| are_all(m, 4, MemberState::Suspected)));
    simulation.run(15 * SECOND);
    simulation.set_paused(4, false);
    assert!(simulation.run_until(20 * SECOND, |m| are_all(m, 4, MemberState::Live)));
}

// Guards against an instance that loses all its connections, suspects all others, and spreads that when
// it is connected again. Callers would be directed away from a healthy fleet.
#[rstest]
fn isolated_instance_makes_no_claims_about_others(#[values(1, 2, 3, 4)] seed: u64) {
    let mut simulation = started_fleet(12, seed);
    simulation.partition[5] = 1;
    simulation.run(40 * SECOND);
    for node in simulation.nodes.iter_mut().flatten() {
        node.take_events();
    }
    simulation.partition[5] = 0;
    simulation.run(30 * SECOND);
    assert!(are_all(&simulation, 5, MemberState::Live));
    for (index, node) in simulation.nodes.iter_mut().flatten().enumerate() {
        let events = node.take_events();
        let suspected =
            |event: &Event| matches!(event, Event::Suspected(of) if *of != instance_name(5));
        assert!(!events.iter().any(suspected), "{index}: {events:?}");
    }
}

// Guards against an announcement of leaving that is overridden by the platform's list, which lags behind
// by seconds and still shows the instance as live. Requests sent to it would be cut off when it stops.
#[rstest]
fn leaving_announcement_holds_for_the_run_whatever_the_list_shows(#[values(1, 2, 3)] seed: u64) {
    let mut simulation = started_fleet(9, seed);
    simulation.node(2).announce_leaving();
    simulation.send_urgent(2);
    assert!(simulation.run_until(3 * SECOND, |m| are_all(m, 2, MemberState::Leaving)));
    for _ in 0..10 {
        simulation.update_all_lists();
        assert!(are_all(&simulation, 2, MemberState::Leaving));
        simulation.run(SECOND);
    }
    simulation.start_instance(2, 2);
    assert!(simulation.run_until(20 * SECOND, |m| are_all(m, 2, MemberState::Live)));
}

// Replaces an instance by a run that starts again with sequence number 1. Peers hold entries of the
// previous run with higher numbers, which must be replaced by the new ones.
#[rstest]
fn new_run_replaces_the_previous_one(#[values(1, 2, 3)] seed: u64) {
    let mut simulation = started_fleet(7, seed);
    for value in 0..50 {
        simulation
            .node(3)
            .set_entry(EntryKind::LoadSummary, "old", Box::new([value]))
            .unwrap();
    }
    simulation.run(10 * SECOND);
    simulation.start_instance(3, 2);
    simulation
        .node(3)
        .set_entry(EntryKind::LoadSummary, "new", Box::new([1]))
        .unwrap();
    simulation.run(20 * SECOND);
    for node in simulation.nodes.iter().flatten() {
        let items = node.entries().items(EntryKind::LoadSummary);
        let keys: Vec<&str> = items.map(|(_, item)| item.key.as_str()).collect();
        assert_eq!(keys, ["new"]);
    }
}

// Guards against a run that peers ignore forever, because its clock is behind that of the previous run
// and so its number is lower. The fleet would lack an instance without any visible failure.
#[test]
fn run_whose_clock_was_set_back_takes_a_higher_number() {
    let mut simulation = started_fleet(7, 1);
    simulation.start_instance(3, 5);
    simulation.run(10 * SECOND);
    simulation.start_instance(3, 2);
    simulation.run(20 * SECOND);
    assert!(simulation
        .node(3)
        .take_events()
        .contains(&Event::Renumbered));
    assert_eq!(simulation.node(3).identity().incarnation, Incarnation(6));
    let run = simulation.node(3).origin();
    for (index, node) in simulation.nodes.iter().flatten().enumerate() {
        let member = node.membership().by_name(&instance_name(3));
        assert!(index == 3 || member.unwrap().origin == Some(run));
    }
}

// Guards against a dead instance that never disappears. Peers remove it at slightly different times, and
// one that still has it must not restore it at one that has removed it.
#[rstest]
fn dead_instance_is_removed_for_good(#[values(1, 2, 3)] seed: u64) {
    let mut simulation = started_fleet(9, seed);
    simulation.kill(4);
    simulation.run(100 * SECOND);
    for _ in 0..200 {
        assert!(states_of(&simulation, 4).iter().all(Option::is_none));
        simulation.run(SECOND);
    }
}

#[test]
fn listed_instance_that_never_responded_is_suspected() {
    let mut simulation = started_fleet(3, 1);
    simulation.nodes.push(None);
    simulation.partition.push(0);
    simulation.bytes_sent.push(Default::default());
    simulation.update_all_lists();
    assert_eq!(
        simulation
            .node(0)
            .membership()
            .by_name(&instance_name(3))
            .unwrap()
            .name,
        listed_member(3).name
    );
    simulation.run(20 * SECOND);
    assert!(are_all(&simulation, 3, MemberState::Suspected));
}
