//! Benchmarks of the `orders` crate: the time to load versions with and without pacing, and the
//! cost of leases.

use std::time::Duration;

use celerypond_orders::{DesiredState, OrderSettings, StaleOrderGuard};
use simulation::Simulation;

use crate::table::Row;

#[expect(dead_code, reason = "the tests of the crate use the rest")]
#[path = "../../crates/orders/tests/simulation.rs"]
mod simulation;

const SECOND: Duration = Duration::from_secs(1);

/// The number of engines in the shard.
const ENGINES: usize = 40;

/// The number of concurrent loads that the weight store serves, and how long each takes.
const WEIGHT_STORE_CAPACITY: (usize, Duration) = (5, Duration::from_secs(8));

/// A load window that is never full.
const UNLIMITED_LOADS: f64 = f64::INFINITY;

/// The virtual time after which a run is given up.
const LOAD_LIMIT: Duration = Duration::from_secs(3600);

/// The virtual time over which calls to the store are counted.
const COUNTED_SECONDS: u32 = 600;

/// Runs the benchmarks.
pub(crate) fn run(seeds: u64) -> Vec<Row> {
    let mut rows = Vec::new();
    for versions in [1, 3] {
        rows.extend(load_rows(
            versions,
            OrderSettings::default().initial_load_window,
            "paced",
            seeds,
        ));
        rows.extend(load_rows(
            versions,
            UNLIMITED_LOADS,
            "baseline: all at once",
            seeds,
        ));
    }
    rows.push(store_call_row(1, seeds));
    rows.push(store_call_row(2, seeds));
    rows.extend(takeover_rows(seeds));
    rows
}

/// Measures the time to load some versions on all engines, and counts the refused loads.
fn load_rows(versions: usize, initial_load_window: f64, label: &str, seeds: u64) -> Vec<Row> {
    let (mut times, mut refusals) = (Vec::new(), Vec::new());
    for seed in 0..seeds {
        let settings = OrderSettings {
            initial_load_window,
            ..OrderSettings::default()
        };
        let mut simulation = Simulation::new(1, settings, seed);
        for index in 0..ENGINES {
            simulation.add_engine(&format!("e{index}"), StaleOrderGuard::Fencing);
        }
        simulation.weight_store = WEIGHT_STORE_CAPACITY;
        simulation.set_wanted(0, true);
        let names = (0..versions).map(|index| (format!("v{index}").as_str().into(), "w".into()));
        simulation.set_desired(
            0,
            &DesiredState {
                versions: names.collect(),
                role: None,
            },
        );
        let all_loaded = |simulation: &Simulation| {
            simulation
                .engines
                .values()
                .all(|engine| engine.versions.len() == versions)
        };
        simulation.run_until(LOAD_LIMIT, all_loaded);
        times.push((simulation.now - simulation.start).as_secs_f64());
        refusals.push(simulation.refused_loads as f64);
    }
    let label = format!("{label}, {versions} versions, {ENGINES} engines");
    vec![
        Row::of("time until all are loaded", &label, "s", times),
        Row::of(
            "loads refused by the weight store",
            &label,
            "calls",
            refusals,
        ),
    ]
}

/// Counts the store calls for one lease, by the number of instances that want it.
fn store_call_row(instances: usize, seeds: u64) -> Row {
    let samples = (0..seeds).map(|seed| {
        let mut simulation = Simulation::new(instances, OrderSettings::default(), seed);
        simulation.add_engine("e", StaleOrderGuard::Fencing);
        (0..instances).for_each(|index| simulation.set_wanted(index, true));
        simulation.run(COUNTED_SECONDS * SECOND);
        simulation.store_calls as f64 / f64::from(COUNTED_SECONDS)
    });
    let label = format!("{instances} instances want the lease");
    Row::of("store calls a lease", label, "calls/s", samples.collect())
}

/// Measures how long a shard gets no orders after the lease holder dies, by how its engines are
/// protected from stale orders.
fn takeover_rows(seeds: u64) -> Vec<Row> {
    let guards = [
        ("engines check numbers", StaleOrderGuard::Fencing),
        ("engines close idle connections", StaleOrderGuard::IdleClose),
        ("engines do neither", StaleOrderGuard::Repair),
    ];
    let rows = guards.into_iter().map(|(label, guard)| {
        let samples = (0..seeds).map(|seed| seconds_without_orders(guard, seed));
        Row::of(
            "no orders after a holder dies",
            label,
            "s",
            samples.collect(),
        )
    });
    rows.collect()
}

/// Returns the time from the death of the lease holder to the first order of its successor.
fn seconds_without_orders(guard: StaleOrderGuard, seed: u64) -> f64 {
    let mut simulation = Simulation::new(2, OrderSettings::default(), seed);
    simulation.add_engine("e", guard);
    let desired = DesiredState {
        versions: Default::default(),
        role: Some("serve".into()),
    };
    for index in 0..2 {
        simulation.set_wanted(index, true);
        simulation.set_desired(index, &desired);
    }
    simulation.run(Duration::from_secs(20) + Duration::from_millis(seed * 137));
    let accepted_numbers = |simulation: &Simulation| -> Vec<u64> {
        let engine = simulation.engines.values().next();
        let numbers = engine.map(|engine| engine.accepted.iter().map(|entry| entry.1 .0).collect());
        numbers.unwrap_or_default()
    };
    let last_before = accepted_numbers(&simulation)
        .last()
        .copied()
        .unwrap_or_default();
    let holder = (0..2).find(|index| {
        let reconciler = simulation.reconcilers[*index].as_ref();
        reconciler.is_some_and(|reconciler| {
            reconciler
                .lease_client()
                .send_permit(guard, simulation.now)
                .is_some()
        })
    });
    if let Some(holder) = holder {
        simulation.reconcilers[holder] = None;
    }
    let died_at = simulation.now;
    simulation.run_until(120 * SECOND, |simulation| {
        accepted_numbers(simulation)
            .last()
            .is_some_and(|number| *number > last_before)
    });
    (simulation.now - died_at).as_secs_f64()
}
