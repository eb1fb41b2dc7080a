//! Histories of concurrent calls under faults.

use std::time::Duration;

use rstest::rstest;

use crate::world::{Faults, World};

const NODES: usize = 3;
const FAULTY: Duration = Duration::from_secs(90);
/// Longer than any fault lasts and callers try, within the time that keys are remembered.
const REST: Duration = Duration::from_secs(20);
const SEEDS: u64 = 40;

const QUIET: Faults = Faults {
    lost_reply: 0.0,
    late_request: 0.0,
    false_down: 0.0,
    service: 0.0,
    outages: false,
    pauses: false,
    crashes: false,
    retention: Duration::from_secs(50),
    pause_ms: 15_000,
};
const STORE: Faults = Faults {
    lost_reply: 0.05,
    late_request: 0.05,
    false_down: 0.02,
    outages: true,
    ..QUIET
};
const ALL: Faults = Faults {
    service: 0.1,
    pauses: true,
    crashes: true,
    ..STORE
};

// Callers send the same key to several instances at once and try again elsewhere, up to three
// times, when they hear nothing, or not run, or unknown. Meanwhile the store goes down, loses
// replies, takes writes late and calls done writes undone; instances stop for seconds or die at any
// step; the service refuses, fails after it ran, or never answers. A key that runs twice, or runs
// though its callers were told not run, shows as a fault here.
#[rstest]
#[case::quiet(QUIET)]
#[case::store(STORE)]
#[case::pauses(Faults { pauses: true, ..STORE })]
#[case::service(Faults { service: 0.2, ..STORE })]
#[case::crashes(Faults { crashes: true, lost_reply: 0.02, ..QUIET })]
#[case::all(ALL)]
#[case::slots_used_again(Faults { retention: Duration::from_secs(28), pause_ms: 4000, ..ALL })]
fn a_key_runs_once_at_most_and_not_run_is_true(#[case] faults: Faults) {
    for seed in 0..SEEDS {
        let mut world = World::new(seed, NODES, FAULTY, faults);
        for second in 0..FAULTY.as_secs() {
            let at = Duration::from_millis(second * 1000 + seed * 13);
            let node = (second + seed) as usize;
            for copy in 0..1 + second as usize % 3 {
                let wait = at + Duration::from_millis(copy as u64 * 3);
                world.arrive(wait, (node + copy) % NODES, &format!("key-{second}"), 3);
            }
        }
        for second in FAULTY.as_secs() - 20..FAULTY.as_secs() {
            let node = second as usize % NODES;
            world.arrive(FAULTY + REST, node, &format!("key-{second}"), 0);
        }
        let healed = world.now + FAULTY + REST;
        world.run();
        let found = world.history.check();
        assert_eq!(
            found,
            Vec::<String>::new(),
            "seed {seed}: {}",
            world.summary()
        );
        let may_be_lost = faults.service > 0.0 || faults.crashes;
        let found = world.history.check_after(healed, may_be_lost);
        assert_eq!(found, Vec::<String>::new(), "seed {seed}");
        assert!(
            world.history.executions.len() > 20,
            "seed {seed}: hardly a call ran"
        );
    }
}
