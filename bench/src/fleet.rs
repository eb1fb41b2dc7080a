//! Benchmarks of the `fleet` crate: gossip traffic, processor time, memory and the propagation of
//! urgent entries, by the number of instances.
//!
//! All instances run in this process, in virtual time, without sockets. Bytes are those of the
//! encoded messages with headers; processor time excludes network I/O.

use std::{fs, time::Duration};

use celerypond_fleet::{Candidate, EntryKind, Gossip, GossipSettings, Subset};
use celerypond_types::{DataCentre, InstanceName, Revision, TargetName};
use rand::{rngs::SmallRng, Rng as _, SeedableRng as _};
use simulation::Simulation;

use crate::table::Row;

#[expect(dead_code, reason = "the tests of the crate use the rest")]
#[path = "../../crates/fleet/tests/simulation.rs"]
mod simulation;

const SECOND: Duration = Duration::from_secs(1);

/// The virtual time before anything is measured; 900 instances that start at once need most of it
/// to discover each other.
const WARM_UP_SECONDS: u64 = 300;

/// The virtual time over which steady load is measured.
const STEADY_SECONDS: u64 = 60;

/// The size of one target's load in an entry: a hash of its name and two counts.
const LOAD_BYTES: usize = 7;

/// The size of an instance's evidence: counts and a sparse histogram for two versions.
const EVIDENCE_BYTES: usize = 120;

/// The size of an instance's demand, for a dozen accounts.
const DEMAND_BYTES: usize = 100;

/// The time between two configuration changes, for 10,000 changes a day.
const CHANGE_SECONDS: u64 = 9;

/// The number of instances and of targets in each run.
const SIZES: [(usize, usize); 4] = [(7, 40), (50, 500), (200, 2_500), (900, 11_000)];

/// The number of targets that an instance watches, and the period at which it publishes summaries
/// if it leads its group.
struct InstanceLoad {
    watched_targets: usize,
    summary_period_s: u64,
}

/// The longest virtual time for which the propagation of one urgent entry is simulated.
const PROPAGATION_LIMIT: Duration = Duration::from_secs(30);

/// Runs the benchmarks.
pub(crate) fn run(seeds: u64) -> Vec<Row> {
    SIZES
        .iter()
        .flat_map(|(instances, targets)| size_rows(*instances, *targets, seeds))
        .collect()
}

/// Measures a fleet of one size, and the propagation without urgent messages as its baseline.
fn size_rows(instances: usize, targets: usize, seeds: u64) -> Vec<Row> {
    let label = format!("gossip n={instances} targets={targets}");
    let before = resident_bytes();
    let (mut simulation, instance_loads) =
        start_fleet(instances, targets, GossipSettings::default());
    let mut rows = steady_rows(&mut simulation, &label, &instance_loads);
    let memory_kb = (resident_bytes().saturating_sub(before)) as f64 / instances as f64 / 1e3;
    rows.push(Row::of("memory a daemon", &label, "kB", vec![memory_kb]));
    rows.extend(baseline_rows(instances, targets, &instance_loads));
    rows.extend(propagation_rows(&mut simulation, &label, seeds));
    drop(simulation);
    let without_urgent = GossipSettings {
        urgent_fan_out: 0,
        ..GossipSettings::default()
    };
    let (mut simulation, _) = start_fleet(instances, targets, without_urgent);
    simulation.run(WARM_UP_SECONDS as u32 * SECOND);
    let label = format!("baseline: by rounds only n={instances}");
    rows.extend(propagation_rows(&mut simulation, &label, seeds));
    rows
}

/// Starts instances that know the platform's list, each with its group. Returns the load of each
/// instance.
fn start_fleet(
    instances: usize,
    targets: usize,
    settings: GossipSettings,
) -> (Simulation, Vec<InstanceLoad>) {
    let mut simulation = Simulation::new(instances, settings, 1);
    simulation.update_all_lists();
    let names: Vec<InstanceName> = (0..instances).map(simulation::instance_name).collect();
    let targets: Vec<TargetName> = (0..targets)
        .map(|index| format!("engine-{index}").as_str().into())
        .collect();
    let mut instance_loads = Vec::new();
    for own in &names {
        let subset = Subset::of(own, &names, &targets);
        let centres: Vec<DataCentre> = (0..3)
            .map(|index| simulation::listed_member(index).data_centre)
            .collect();
        let pairs = subset.peers.iter().zip(centres.iter().cycle());
        let peers: Vec<Candidate<'_>> = pairs
            .map(|(name, data_centre)| Candidate { name, data_centre })
            .collect();
        let index = instance_loads.len();
        instance_loads.push(InstanceLoad {
            watched_targets: subset.watched_targets(own, &peers).len(),
            summary_period_s: subset.summary_period().as_secs(),
        });
        simulation.node(index).set_group(subset.peers);
    }
    (simulation, instance_loads)
}

/// Runs the steady load and measures bytes, processor time and the age of load reports.
fn steady_rows(
    simulation: &mut Simulation,
    label: &str,
    instance_loads: &[InstanceLoad],
) -> Vec<Row> {
    for second in 0..WARM_UP_SECONDS {
        run_second(simulation, instance_loads, second);
    }
    let start_ns = processor_ns();
    let mut ages = Vec::new();
    for second in WARM_UP_SECONDS..WARM_UP_SECONDS + STEADY_SECONDS {
        run_second(simulation, instance_loads, second);
        ages.extend(load_ages(simulation, second));
    }
    let instances = instance_loads.len() as f64;
    let ns_per_second = (processor_ns() - start_ns) as f64 / instances / STEADY_SECONDS as f64;
    let seconds = WARM_UP_SECONDS..WARM_UP_SECONDS + STEADY_SECONDS;
    let per_second: Vec<f64> = simulation
        .bytes_sent
        .iter()
        .flat_map(|sent| sent.range(seconds.clone()).map(|(_, bytes)| *bytes as f64))
        .collect();
    vec![
        Row::of("bytes sent a daemon and second", label, "B/s", per_second),
        Row::of(
            "processor a daemon",
            label,
            "% of a core",
            vec![ns_per_second / 1e7],
        ),
        Row::of("age of a load report", label, "s", ages),
    ]
}

/// Runs one second in which every instance updates the entries that are due.
fn run_second(simulation: &mut Simulation, instance_loads: &[InstanceLoad], second: u64) {
    if second.is_multiple_of(CHANGE_SECONDS) {
        let index = second as usize % instance_loads.len();
        simulation
            .node(index)
            .raise_acting_revision(Revision(second + 1));
        simulation.send_urgent(index);
    }
    for (index, instance_load) in instance_loads.iter().enumerate() {
        let node = simulation.node(index);
        let is_due = |period: u64| (second + index as u64).is_multiple_of(period);
        let mut load = vec![0; (8 + instance_load.watched_targets * LOAD_BYTES).min(1_000)];
        load[..8].copy_from_slice(&second.to_le_bytes());
        let revision = node.facts().revision().0.to_le_bytes();
        let entries = [
            (2, EntryKind::TargetLoad, load),
            (4, EntryKind::Evidence, filled(EVIDENCE_BYTES, second)),
            (4, EntryKind::Demand, filled(DEMAND_BYTES, second)),
            (CHANGE_SECONDS, EntryKind::Acting, revision.to_vec()),
        ];
        for (period, kind, value) in entries {
            if is_due(period) {
                set_entry(node, kind, value);
            }
        }
        if is_due(instance_load.summary_period_s) && node.is_group_leader() {
            set_entry(node, EntryKind::LoadSummary, filled(60, second));
            set_entry(
                node,
                EntryKind::EvidenceSummary,
                filled(EVIDENCE_BYTES, second),
            );
            set_entry(node, EntryKind::DemandSummary, filled(DEMAND_BYTES, second));
            set_entry(node, EntryKind::ActingSummary, filled(12, second));
        }
    }
    simulation.run(SECOND);
}

fn set_entry(node: &mut Gossip, kind: EntryKind, value: Vec<u8>) {
    // All values are within the size limit of an entry.
    let _ = node.set_entry(kind, "", value.into());
}

fn filled(len: usize, second: u64) -> Vec<u8> {
    vec![second as u8; len]
}

/// Returns the ages in seconds of its group's load reports at one instance.
fn load_ages(simulation: &mut Simulation, second: u64) -> Vec<f64> {
    let index = second as usize % simulation.nodes.len();
    let node = simulation.node(index);
    let items = node.entries().items(EntryKind::TargetLoad);
    items
        .filter(|(origin, _)| *origin != node.origin())
        .filter_map(|(_, item)| item.value.first_chunk())
        .map(|bytes| second as f64 + 1.0 - u64::from_le_bytes(*bytes) as f64)
        .collect()
}

/// Raises the acting revision repeatedly, each time at a random instance, and measures the time
/// until every instance has it.
fn propagation_rows(simulation: &mut Simulation, label: &str, seeds: u64) -> Vec<Row> {
    let mut rng = SmallRng::seed_from_u64(1);
    let mut times = Vec::new();
    let mut last_times = Vec::new();
    for seed in 0..seeds {
        let revision = Revision(100_000 + seed);
        let start = simulation.now;
        let index = rng.random_range(0..simulation.nodes.len());
        simulation.node(index).raise_acting_revision(revision);
        simulation.send_urgent(index);
        let mut missing: Vec<usize> = (0..simulation.nodes.len()).collect();
        while !missing.is_empty() && simulation.now < start + PROPAGATION_LIMIT {
            simulation.run(Duration::from_millis(5));
            let time = (simulation.now - start).as_secs_f64();
            missing.retain(|index| {
                let has = simulation.node(*index).facts().revision() >= revision;
                if has {
                    times.push(time);
                }
                !has
            });
        }
        last_times.push((simulation.now - start).as_secs_f64());
        simulation.run(SECOND);
    }
    vec![
        Row::of("urgent news at an instance", label, "s", times),
        Row::of("urgent news at the last instance", label, "s", last_times),
    ]
}

/// Calculates the traffic of other protocols from the sizes of the same entries.
fn baseline_rows(instances: usize, targets: usize, instance_loads: &[InstanceLoad]) -> Vec<Row> {
    const MESSAGE_HEADER_BYTES: f64 = 160.0;
    const ENTRY_HEADER_BYTES: f64 = 16.0;
    let fan_out = GossipSettings::default().fan_out as f64;
    let watched = instance_loads
        .iter()
        .map(|instance_load| instance_load.watched_targets)
        .sum::<usize>() as f64
        / instances as f64;
    let load = watched * LOAD_BYTES as f64 + ENTRY_HEADER_BYTES;
    let other_bytes = (EVIDENCE_BYTES + DEMAND_BYTES) as f64 + 3.0 * ENTRY_HEADER_BYTES + 8.0;
    let identity_bytes = 60.0;
    let full_state =
        fan_out * (instances as f64 * (identity_bytes + load + other_bytes) + MESSAGE_HEADER_BYTES);
    let changes = [(2.0, load), (4.0, other_bytes)];
    let all_to_all: f64 = changes
        .iter()
        .map(|(period, bytes)| (instances as f64 - 1.0) * (bytes + MESSAGE_HEADER_BYTES) / period)
        .sum();
    let name = "bytes sent a daemon and second";
    let rows = [
        ("baseline: full state, worked out", full_state),
        ("baseline: to all, worked out", all_to_all),
    ];
    rows.into_iter()
        .map(|(label, bytes)| {
            let label = format!("{label} n={instances} targets={targets}");
            Row::of(name, label, "B/s", vec![bytes])
        })
        .collect()
}

/// Returns the processor time of this thread in nanoseconds.
fn processor_ns() -> u64 {
    let text = fs::read_to_string("/proc/thread-self/schedstat").unwrap_or_default();
    let first = text.split_whitespace().next();
    first.and_then(|ns| ns.parse().ok()).unwrap_or_default()
}

/// Returns the resident memory of this process in bytes.
fn resident_bytes() -> u64 {
    const PAGE_BYTES: u64 = 4096;
    let text = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split_whitespace().nth(1);
    let pages: u64 = pages.and_then(|n| n.parse().ok()).unwrap_or_default();
    pages * PAGE_BYTES
}
