//! Who is live, who leaves, and which run of an instance counts.

use std::time::Duration;

use celerypond_fleet::{EntryKind, Event, GossipSettings, Incarnation, MemberState};
use rstest::rstest;

use crate::mesh::{listed, name, Mesh};

const SECOND: Duration = Duration::from_secs(1);

fn fleet(n: usize, seed: u64) -> Mesh {
    let settings = GossipSettings {
        forget_after: 60 * SECOND,
        ..GossipSettings::default()
    };
    let mut mesh = Mesh::new(n, settings, seed);
    mesh.run(15 * SECOND);
    mesh
}

fn state(mesh: &Mesh, of: usize) -> Vec<Option<MemberState>> {
    let nodes = mesh.nodes.iter().enumerate();
    nodes
        .filter(|(at, _)| *at != of)
        .filter_map(|(_, node)| node.as_ref())
        .map(|node| node.membership().by_name(&name(of)).map(|m| m.state()))
        .collect()
}

fn are_all(mesh: &Mesh, of: usize, expected: MemberState) -> bool {
    state(mesh, of).iter().all(|s| *s == Some(expected))
}

// An instance is paused for half a minute: it gets no new callers meanwhile. When it goes on, it
// hears that it is held to be dead, contradicts, and is used again everywhere.
#[rstest]
fn a_paused_instance_is_suspected_and_returns(#[values(1, 2, 3, 4)] seed: u64) {
    let mut mesh = fleet(9, seed);
    mesh.pause(4, true);
    assert!(mesh.run_until(15 * SECOND, |m| are_all(m, 4, MemberState::Suspected)));
    mesh.run(15 * SECOND);
    mesh.pause(4, false);
    assert!(mesh.run_until(20 * SECOND, |m| are_all(m, 4, MemberState::Live)));
}

// An instance loses all its connections and so sees every other one as dead, then gets them back.
// If it spread what it saw, callers would be sent away from a healthy fleet.
#[rstest]
fn an_instance_that_is_cut_off_accuses_nobody(#[values(1, 2, 3, 4)] seed: u64) {
    let mut mesh = fleet(12, seed);
    mesh.side[5] = 1;
    mesh.run(40 * SECOND);
    for node in mesh.nodes.iter_mut().flatten() {
        node.take_events();
    }
    mesh.side[5] = 0;
    mesh.run(30 * SECOND);
    assert!(are_all(&mesh, 5, MemberState::Live));
    for (at, node) in mesh.nodes.iter_mut().flatten().enumerate() {
        let events = node.take_events();
        let suspected = |event: &Event| matches!(event, Event::Suspected(of) if *of != name(5));
        assert!(!events.iter().any(suspected), "{at}: {events:?}");
    }
}

// An instance says that it leaves. The platform's list is seconds behind and still has it as live;
// a caller sent there now would have its request cut off by the stop.
#[rstest]
fn a_leaving_word_holds_for_the_run_whatever_the_list_says(#[values(1, 2, 3)] seed: u64) {
    let mut mesh = fleet(9, seed);
    mesh.node(2).announce_leaving();
    mesh.push(2);
    assert!(mesh.run_until(3 * SECOND, |m| are_all(m, 2, MemberState::Leaving)));
    for _ in 0..10 {
        mesh.list_all();
        assert!(are_all(&mesh, 2, MemberState::Leaving));
        mesh.run(SECOND);
    }
    mesh.boot(2, 2);
    assert!(mesh.run_until(20 * SECOND, |m| are_all(m, 2, MemberState::Live)));
}

// An instance is replaced by a run that begins its sequence numbers again at 1. Peers hold entries
// of the old run with higher numbers; these must go and the new ones must be taken.
#[rstest]
fn a_new_run_takes_the_place_of_the_old_one(#[values(1, 2, 3)] seed: u64) {
    let mut mesh = fleet(7, seed);
    for value in 0..50 {
        mesh.node(3)
            .set_entry(EntryKind::LoadSummary, "old", Box::new([value]))
            .unwrap();
    }
    mesh.run(10 * SECOND);
    mesh.boot(3, 2);
    mesh.node(3)
        .set_entry(EntryKind::LoadSummary, "new", Box::new([1]))
        .unwrap();
    mesh.run(20 * SECOND);
    for node in mesh.nodes.iter().flatten() {
        let items = node.entries().items(EntryKind::LoadSummary);
        let keys: Vec<&str> = items.map(|(_, item)| item.key.as_str()).collect();
        assert_eq!(keys, ["new"]);
    }
}

// The clock of a replaced instance is behind that of its old run, so its run has a lower ordinal.
// Peers would refuse it for ever, and the fleet would be one instance short with nothing failing.
#[test]
fn a_run_whose_clock_went_back_takes_a_later_ordinal() {
    let mut mesh = fleet(7, 1);
    mesh.boot(3, 5);
    mesh.run(10 * SECOND);
    mesh.boot(3, 2);
    mesh.run(20 * SECOND);
    assert!(mesh.node(3).take_events().contains(&Event::Renumbered));
    assert_eq!(mesh.node(3).identity().incarnation, Incarnation(6));
    let run = mesh.node(3).origin();
    for (at, node) in mesh.nodes.iter().flatten().enumerate() {
        let member = node.membership().by_name(&name(3));
        assert!(at == 3 || member.unwrap().origin == Some(run));
    }
}

// An instance dies for good. Peers drop it at slightly different times, and one that still has it
// must not bring it back to one that has dropped it.
#[rstest]
fn a_dead_instance_is_forgotten_and_stays_so(#[values(1, 2, 3)] seed: u64) {
    let mut mesh = fleet(9, seed);
    mesh.kill(4);
    mesh.run(100 * SECOND);
    for _ in 0..200 {
        assert!(state(&mesh, 4).iter().all(Option::is_none));
        mesh.run(SECOND);
    }
}

#[test]
fn a_listed_instance_that_never_answered_is_suspected_until_it_does() {
    let mut mesh = fleet(3, 1);
    mesh.nodes.push(None);
    mesh.side.push(0);
    mesh.sent.push(Default::default());
    mesh.list_all();
    assert_eq!(
        mesh.node(0).membership().by_name(&name(3)).unwrap().name,
        listed(3).name
    );
    mesh.run(20 * SECOND);
    assert!(are_all(&mesh, 3, MemberState::Suspected));
}
