//! Measures of the `fleet` crate: control bytes, processor time, memory and the spread of urgent
//! news against the number of instances.
//!
//! All instances run in this process, in virtual time, without sockets; bytes are those of the
//! encoded messages with headers, and processor time is that of the decisions alone.

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

/// Virtual seconds before anything is measured; 900 that start at once need most of it to meet.
const WARM_SECONDS: u64 = 300;

/// Virtual seconds of steady work.
const STEADY_SECONDS: u64 = 60;

/// What one target's load takes in an entry, in bytes: a hash of its name and two counts.
const LOAD_BYTES: usize = 7;

/// What the evidence of an instance takes: counts and a sparse histogram for two versions.
const EVIDENCE_BYTES: usize = 120;

/// What the demand at an instance takes: a dozen accounts.
const DEMAND_BYTES: usize = 100;

/// The time between two changes of configuration, in seconds: 10,000 a day.
const CHANGE_SECONDS: u64 = 9;

/// Instances and targets of a run.
const SIZES: [(usize, usize); 4] = [(7, 40), (50, 500), (200, 2_500), (900, 11_000)];

/// What one instance watches, and how often it would sum up for its group.
struct Part {
    targets: usize,
    period: u64,
}

/// The virtual time that one simulation is given for one piece of news.
const SPREAD_LIMIT: Duration = Duration::from_secs(30);

/// Takes the measures.
pub(crate) fn run(seeds: u64) -> Vec<Row> {
    SIZES
        .iter()
        .flat_map(|(n, targets)| size(*n, *targets, seeds))
        .collect()
}

fn size(n: usize, targets: usize, seeds: u64) -> Vec<Row> {
    let way = format!("gossip n={n} targets={targets}");
    let before = resident_bytes();
    let (mut simulation, parts) = start(n, targets, GossipSettings::default());
    let mut rows = steady(&mut simulation, &way, &parts);
    let memory = (resident_bytes().saturating_sub(before)) as f64 / n as f64 / 1e3;
    rows.push(Row::of("memory a daemon", &way, "kB", vec![memory]));
    rows.extend(baselines(n, targets, &parts));
    rows.extend(spread(&mut simulation, &way, seeds));
    drop(simulation);
    let by_rounds = GossipSettings {
        urgent_fan_out: 0,
        ..GossipSettings::default()
    };
    let (mut simulation, _) = start(n, targets, by_rounds);
    simulation.run(WARM_SECONDS as u32 * SECOND);
    let way = format!("baseline: by rounds only n={n}");
    rows.extend(spread(&mut simulation, &way, seeds));
    rows
}

/// Starts instances that know the platform's list, each with its group; returns what
/// each one watches.
fn start(n: usize, targets: usize, settings: GossipSettings) -> (Simulation, Vec<Part>) {
    let mut simulation = Simulation::new(n, settings, 1);
    simulation.update_all_lists();
    let names: Vec<InstanceName> = (0..n).map(simulation::instance_name).collect();
    let targets: Vec<TargetName> = (0..targets)
        .map(|at| format!("engine-{at}").as_str().into())
        .collect();
    let mut parts = Vec::new();
    for own in &names {
        let subset = Subset::of(own, &names, &targets);
        let centres: Vec<DataCentre> = (0..3)
            .map(|at| simulation::listed_member(at).data_centre)
            .collect();
        let pairs = subset.peers.iter().zip(centres.iter().cycle());
        let peers: Vec<Candidate<'_>> = pairs
            .map(|(name, data_centre)| Candidate { name, data_centre })
            .collect();
        let at = parts.len();
        parts.push(Part {
            targets: subset.watched_targets(own, &peers).len(),
            period: subset.summary_period().as_secs(),
        });
        simulation.node(at).set_group(subset.peers);
    }
    (simulation, parts)
}

/// Runs the usual work and measures bytes, processor time and the age of load reports.
fn steady(simulation: &mut Simulation, way: &str, parts: &[Part]) -> Vec<Row> {
    for second in 0..WARM_SECONDS {
        work(simulation, parts, second);
    }
    let begun = processor_ns();
    let mut ages = Vec::new();
    for second in WARM_SECONDS..WARM_SECONDS + STEADY_SECONDS {
        work(simulation, parts, second);
        ages.extend(load_ages(simulation, second));
    }
    let n = parts.len() as f64;
    let spent = (processor_ns() - begun) as f64 / n / STEADY_SECONDS as f64;
    let seconds = WARM_SECONDS..WARM_SECONDS + STEADY_SECONDS;
    let per_second: Vec<f64> = simulation
        .bytes_sent
        .iter()
        .flat_map(|sent| sent.range(seconds.clone()).map(|(_, bytes)| *bytes as f64))
        .collect();
    vec![
        Row::of("bytes sent a daemon and second", way, "B/s", per_second),
        Row::of("processor a daemon", way, "% of a core", vec![spent / 1e7]),
        Row::of("age of a load report", way, "s", ages),
    ]
}

/// Runs one second in which every instance changes what it changes in daily work.
fn work(simulation: &mut Simulation, parts: &[Part], second: u64) {
    if second.is_multiple_of(CHANGE_SECONDS) {
        let at = second as usize % parts.len();
        simulation
            .node(at)
            .raise_acting_revision(Revision(second + 1));
        simulation.send_urgent(at);
    }
    for (at, part) in parts.iter().enumerate() {
        let node = simulation.node(at);
        let is_due = |period: u64| (second + at as u64).is_multiple_of(period);
        let mut load = vec![0; (8 + part.targets * LOAD_BYTES).min(1_000)];
        load[..8].copy_from_slice(&second.to_le_bytes());
        let revision = node.facts().revision().0.to_le_bytes();
        let entries = [
            (2, EntryKind::TargetLoad, load),
            (4, EntryKind::Evidence, fill(EVIDENCE_BYTES, second)),
            (4, EntryKind::Demand, fill(DEMAND_BYTES, second)),
            (CHANGE_SECONDS, EntryKind::Acting, revision.to_vec()),
        ];
        for (period, kind, value) in entries {
            if is_due(period) {
                set(node, kind, value);
            }
        }
        if is_due(part.period) && node.is_group_leader() {
            set(node, EntryKind::LoadSummary, fill(60, second));
            set(
                node,
                EntryKind::EvidenceSummary,
                fill(EVIDENCE_BYTES, second),
            );
            set(node, EntryKind::DemandSummary, fill(DEMAND_BYTES, second));
            set(node, EntryKind::ActingSummary, fill(12, second));
        }
    }
    simulation.run(SECOND);
}

fn set(node: &mut Gossip, kind: EntryKind, value: Vec<u8>) {
    // The values are within the bounds of an entry.
    let _ = node.set_entry(kind, "", value.into());
}

fn fill(len: usize, second: u64) -> Vec<u8> {
    vec![second as u8; len]
}

/// Returns how old the load reports of the group are at one instance.
fn load_ages(simulation: &mut Simulation, second: u64) -> Vec<f64> {
    let at = second as usize % simulation.nodes.len();
    let node = simulation.node(at);
    let items = node.entries().items(EntryKind::TargetLoad);
    items
        .filter(|(origin, _)| *origin != node.origin())
        .filter_map(|(_, item)| item.value.first_chunk())
        .map(|bytes| second as f64 + 1.0 - u64::from_le_bytes(*bytes) as f64)
        .collect()
}

/// Raises revisions one after the other, each at another instance, and measures the time until each
/// instance has it.
fn spread(simulation: &mut Simulation, way: &str, seeds: u64) -> Vec<Row> {
    let mut rng = SmallRng::seed_from_u64(1);
    let mut times = Vec::new();
    let mut last = Vec::new();
    for seed in 0..seeds {
        let revision = Revision(100_000 + seed);
        let start = simulation.now;
        let at = rng.random_range(0..simulation.nodes.len());
        simulation.node(at).raise_acting_revision(revision);
        simulation.send_urgent(at);
        let mut missing: Vec<usize> = (0..simulation.nodes.len()).collect();
        while !missing.is_empty() && simulation.now < start + SPREAD_LIMIT {
            simulation.run(Duration::from_millis(5));
            let time = (simulation.now - start).as_secs_f64();
            missing.retain(|at| {
                let has = simulation.node(*at).facts().revision() >= revision;
                if has {
                    times.push(time);
                }
                !has
            });
        }
        last.push((simulation.now - start).as_secs_f64());
        simulation.run(SECOND);
    }
    vec![
        Row::of("urgent news at an instance", way, "s", times),
        Row::of("urgent news at the last instance", way, "s", last),
    ]
}

/// Works out what other ways would send, from the sizes of the same entries.
fn baselines(n: usize, targets: usize, parts: &[Part]) -> Vec<Row> {
    const HEAD: f64 = 160.0;
    const ENTRY: f64 = 16.0;
    let fan_out = GossipSettings::default().fan_out as f64;
    let watched = parts.iter().map(|part| part.targets).sum::<usize>() as f64 / n as f64;
    let load = watched * LOAD_BYTES as f64 + ENTRY;
    let rest = (EVIDENCE_BYTES + DEMAND_BYTES) as f64 + 3.0 * ENTRY + 8.0;
    let identity = 60.0;
    let full = fan_out * (n as f64 * (identity + load + rest) + HEAD);
    let changes = [(2.0, load), (4.0, rest)];
    let all_to_all: f64 = changes
        .iter()
        .map(|(period, bytes)| (n as f64 - 1.0) * (bytes + HEAD) / period)
        .sum();
    let name = "bytes sent a daemon and second";
    let rows = [
        ("baseline: full state, worked out", full),
        ("baseline: to all, worked out", all_to_all),
    ];
    rows.into_iter()
        .map(|(way, bytes)| {
            let way = format!("{way} n={n} targets={targets}");
            Row::of(name, way, "B/s", vec![bytes])
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
