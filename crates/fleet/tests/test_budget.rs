//! Rate limits on bytes sent.

use std::time::Duration;

use celerypond_fleet::{Brake, EntryKind, Gossip, GossipSettings};
use celerypond_types::Revision;
use rstest::rstest;

use crate::simulation::{instance_name, Simulation};

/// The time that the simulation runs before entries are changed.
const WARM_UP: Duration = Duration::from_secs(40);
/// The time for which all instances change large entries, in seconds.
const OVERLOAD_SECONDS: u64 = 20;

/// Runs `n` instances that all change large entries every second, then adds a brake at one of them.
/// Returns the time that the brake takes to reach all others.
fn run_overloaded(n: usize, seed: u64) -> (Simulation, Duration) {
    let mut simulation = Simulation::new(n, GossipSettings::default(), seed);
    simulation.update_all_lists();
    for index in 0..n {
        simulation
            .node(index)
            .set_group((0..n).map(instance_name).collect());
    }
    simulation.run(WARM_UP);
    for second in 0..OVERLOAD_SECONDS {
        for index in 0..n {
            let value = vec![second as u8; 300].into_boxed_slice();
            for kind in [EntryKind::TargetLoad, EntryKind::LoadSummary] {
                simulation
                    .node(index)
                    .set_entry(kind, "", value.clone())
                    .unwrap();
            }
        }
        simulation.run(Duration::from_secs(1));
    }
    let brake = Brake {
        revision: Revision(1),
        version: "v2".into(),
    };
    let start = simulation.now;
    simulation.node(n / 2).add_brake(brake.clone());
    simulation.send_urgent(n / 2);
    let everywhere = |simulation: &Simulation| {
        simulation.all_instances(|g: &Gossip| g.facts().has_brake(&brake))
    };
    assert!(simulation.run_until(Duration::from_secs(10), everywhere));
    let time = simulation.now - start;
    (simulation, time)
}

// Guards against a brake that waits behind load reports while every instance has more to send than its
// budget allows, so that the faulty version keeps getting traffic. Brakes are pushed immediately at
// every hop.
#[rstest]
#[case(1)]
#[case(2)]
#[case(3)]
fn brake_is_not_delayed_and_rate_limit_holds_under_overload(#[case] seed: u64) {
    let (simulation, time) = run_overloaded(40, seed);
    assert!(time < Duration::from_secs(1), "{time:?}");
    let limit = GossipSettings::default().bytes_per_second;
    let first = WARM_UP.as_secs();
    for sent in &simulation.bytes_sent {
        let total: u64 = sent
            .range(first..first + OVERLOAD_SECONDS)
            .map(|s| s.1)
            .sum();
        let mean = total / OVERLOAD_SECONDS;
        assert!(mean < limit * 11 / 10, "{mean} bytes a second");
        let most = sent.range(first..).map(|s| *s.1).max().unwrap();
        assert!(most < 3 * limit, "{most} bytes in a second");
    }
}
