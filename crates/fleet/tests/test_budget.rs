//! Bounds on bytes.

use std::time::Duration;

use celerypond_fleet::{Brake, EntryKind, Gossip, GossipSettings};
use celerypond_types::Revision;
use rstest::rstest;

use crate::simulation::{instance_name, Simulation};

const WARM: Duration = Duration::from_secs(40);
const FLOOD_SECONDS: u64 = 20;

/// Runs instances that all change large entries every second, and returns the time that a brake
/// then takes to reach all of them.
fn flood(n: usize, seed: u64) -> (Simulation, Duration) {
    let mut simulation = Simulation::new(n, GossipSettings::default(), seed);
    simulation.update_all_lists();
    for at in 0..n {
        simulation
            .node(at)
            .set_group((0..n).map(instance_name).collect());
    }
    simulation.run(WARM);
    for second in 0..FLOOD_SECONDS {
        for at in 0..n {
            let value = vec![second as u8; 300].into_boxed_slice();
            for kind in [EntryKind::TargetLoad, EntryKind::LoadSummary] {
                simulation
                    .node(at)
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
        simulation.all_instances(|g: &Gossip| g.facts().is_braked(&brake))
    };
    assert!(simulation.run_until(Duration::from_secs(10), everywhere));
    let time = simulation.now - start;
    (simulation, time)
}

// Every instance has more to tell in a second than its budget lets through. Callers see nothing of
// it, but a brake tripped now must not queue behind load reports: the bad version would go on
// getting traffic. It is pushed at once at every hop instead of waiting for the round.
#[rstest]
#[case(1)]
#[case(2)]
#[case(3)]
fn a_brake_passes_a_flood_and_bytes_stay_bounded(#[case] seed: u64) {
    let (simulation, time) = flood(40, seed);
    assert!(time < Duration::from_secs(1), "{time:?}");
    let limit = GossipSettings::default().bytes_per_second;
    let first = WARM.as_secs();
    for sent in &simulation.bytes_sent {
        let total: u64 = sent.range(first..first + FLOOD_SECONDS).map(|s| s.1).sum();
        let mean = total / FLOOD_SECONDS;
        assert!(mean < limit * 11 / 10, "{mean} bytes a second");
        let most = sent.range(first..).map(|s| *s.1).max().unwrap();
        assert!(most < 3 * limit, "{most} bytes in a second");
    }
}
