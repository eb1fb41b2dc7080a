//! Who is live, who leaves, and which run of an instance counts.

use std::time::Duration;

use celerypond_fleet::{EntryKind, Event, GossipSettings, Incarnation, MemberState};
use rstest::rstest;

use crate::simulation::{instance_name, listed_member, Simulation};

const SECOND: Duration = Duration::from_secs(1);

fn fleet(n: usize, seed: u64) -> Simulation {
    let settings = GossipSettings {
        forget_after: 60 * SECOND,
        ..GossipSettings::default()
    };
    let mut simulation = Simulation::new(n, settings, seed);
    simulation.run(15 * SECOND);
    simulation
}

fn state(simulation: &Simulation, of: usize) -> Vec<Option<MemberState>> {
    let nodes = simulation.nodes.iter().enumerate();
    nodes
        .filter(|(at, _)| *at != of)
        .filter_map(|(_, node)| node.as_ref())
        .map(|node| {
            node.membership()
                .by_name(&instance_name(of))
                .map(|m| m.state())
        })
        .collect()
}

fn are_all(simulation: &Simulation, of: usize, expected: MemberState) -> bool {
    state(simulation, of).iter().all(|s| *s == Some(expected))
}

// An instance is paused for half a minute: it gets no new callers meanwhile. When it goes on, it
// hears that it is held to be dead, contradicts, and is used again everywhere.
#[rstest]
fn a_paused_instance_is_suspected_and_returns(#[values(1, 2, 3, 4)] seed: u64) {
    let mut simulation = fleet(9, seed);
    simulation.set_paused(4, true);
    assert!(simulation.run_until(15 * SECOND, |m| are_all(m, 4, MemberState::Suspected)));
    simulation.run(15 * SECOND);
    simulation.set_paused(4, false);
    assert!(simulation.run_until(20 * SECOND, |m| are_all(m, 4, MemberState::Live)));
}

// An instance loses all its connections and so sees every other one as dead, then gets them back.
// If it spread what it saw, callers would be sent away from a healthy fleet.
#[rstest]
fn an_instance_that_is_cut_off_accuses_nobody(#[values(1, 2, 3, 4)] seed: u64) {
    let mut simulation = fleet(12, seed);
    simulation.partition[5] = 1;
    simulation.run(40 * SECOND);
    for node in simulation.nodes.iter_mut().flatten() {
        node.take_events();
    }
    simulation.partition[5] = 0;
    simulation.run(30 * SECOND);
    assert!(are_all(&simulation, 5, MemberState::Live));
    for (at, node) in simulation.nodes.iter_mut().flatten().enumerate() {
        let events = node.take_events();
        let suspected =
            |event: &Event| matches!(event, Event::Suspected(of) if *of != instance_name(5));
        assert!(!events.iter().any(suspected), "{at}: {events:?}");
    }
}

// An instance says that it leaves. The platform's list is seconds behind and still has it as live;
// a caller sent there now would have its request cut off by the stop.
#[rstest]
fn a_leaving_word_holds_for_the_run_whatever_the_list_says(#[values(1, 2, 3)] seed: u64) {
    let mut simulation = fleet(9, seed);
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

// An instance is replaced by a run that begins its sequence numbers again at 1. Peers hold entries
// of the old run with higher numbers; these must go and the new ones must be taken.
#[rstest]
fn a_new_run_takes_the_place_of_the_old_one(#[values(1, 2, 3)] seed: u64) {
    let mut simulation = fleet(7, seed);
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

// The clock of a replaced instance is behind that of its old run, so its run has a lower ordinal.
// Peers would refuse it for ever, and the fleet would be one instance short with nothing failing.
#[test]
fn a_run_whose_clock_went_back_takes_a_later_ordinal() {
    let mut simulation = fleet(7, 1);
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
    for (at, node) in simulation.nodes.iter().flatten().enumerate() {
        let member = node.membership().by_name(&instance_name(3));
        assert!(at == 3 || member.unwrap().origin == Some(run));
    }
}

// An instance dies for good. Peers drop it at slightly different times, and one that still has it
// must not bring it back to one that has dropped it.
#[rstest]
fn a_dead_instance_is_forgotten_and_stays_so(#[values(1, 2, 3)] seed: u64) {
    let mut simulation = fleet(9, seed);
    simulation.kill(4);
    simulation.run(100 * SECOND);
    for _ in 0..200 {
        assert!(state(&simulation, 4).iter().all(Option::is_none));
        simulation.run(SECOND);
    }
}

#[test]
fn a_listed_instance_that_never_answered_is_suspected_until_it_does() {
    let mut simulation = fleet(3, 1);
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
