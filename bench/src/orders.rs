//! Measures of the `orders` crate: the time to load versions with and without pacing, and what
//! leases cost.

use std::time::Duration;

use celerypond_orders::{DesiredState, OrderSettings, StaleOrderGuard};
use simulation::Simulation;

use crate::table::Row;

#[expect(dead_code, reason = "the tests of the crate use the rest")]
#[path = "../../crates/orders/tests/simulation.rs"]
mod simulation;

const SECOND: Duration = Duration::from_secs(1);

/// Engines of one shard.
const ENGINES: usize = 40;

/// Loads that the weight store serves at once, and the time that one takes.
const SERVED: (usize, Duration) = (5, Duration::from_secs(8));

/// A window that nothing fills.
const NO_PACE: f64 = f64::INFINITY;

const LIMIT: Duration = Duration::from_secs(3600);

/// Virtual seconds over which calls to the store are counted.
const CALL_SECONDS: u32 = 600;

/// Takes the measures.
pub(crate) fn run(seeds: u64) -> Vec<Row> {
    let mut rows = Vec::new();
    for versions in [1, 3] {
        rows.extend(loads(
            versions,
            OrderSettings::default().initial_load_window,
            "paced",
            seeds,
        ));
        rows.extend(loads(versions, NO_PACE, "baseline: all at once", seeds));
    }
    rows.push(calls(1, seeds));
    rows.push(calls(2, seeds));
    rows.extend(take_over(seeds));
    rows
}

/// Loads some versions on all engines and counts the time and the refusals.
fn loads(versions: usize, loads: f64, way: &str, seeds: u64) -> Vec<Row> {
    let (mut times, mut refusals) = (Vec::new(), Vec::new());
    for seed in 0..seeds {
        let settings = OrderSettings {
            initial_load_window: loads,
            ..OrderSettings::default()
        };
        let mut sim = Simulation::new(1, settings, seed);
        for at in 0..ENGINES {
            sim.add_engine(&format!("e{at}"), StaleOrderGuard::Fencing);
        }
        sim.weight_store = SERVED;
        sim.set_wanted(0, true);
        let names = (0..versions).map(|at| (format!("v{at}").as_str().into(), "w".into()));
        sim.set_desired(
            0,
            &DesiredState {
                versions: names.collect(),
                role: None,
            },
        );
        let all = |sim: &Simulation| sim.engines.values().all(|e| e.versions.len() == versions);
        sim.run_until(LIMIT, all);
        times.push((sim.now - sim.start).as_secs_f64());
        refusals.push(sim.refused_loads as f64);
    }
    let way = format!("{way}, {versions} versions, {ENGINES} engines");
    vec![
        Row::of("time until all are loaded", &way, "s", times),
        Row::of("loads refused by the weight store", &way, "calls", refusals),
    ]
}

/// Counts the calls to the store for one lease, with one or two instances that want it.
fn calls(drivers: usize, seeds: u64) -> Row {
    let samples = (0..seeds).map(|seed| {
        let mut sim = Simulation::new(drivers, OrderSettings::default(), seed);
        sim.add_engine("e", StaleOrderGuard::Fencing);
        (0..drivers).for_each(|at| sim.set_wanted(at, true));
        sim.run(CALL_SECONDS * SECOND);
        sim.store_calls as f64 / f64::from(CALL_SECONDS)
    });
    let way = format!("{drivers} instances want the lease");
    Row::of("store calls a lease", way, "calls/s", samples.collect())
}

/// Measures how long a shard is without orders after its holder dies, by what guards the engines.
fn take_over(seeds: u64) -> Vec<Row> {
    let guards = [
        ("engines check numbers", StaleOrderGuard::Fencing),
        ("engines close idle connections", StaleOrderGuard::IdleClose),
        ("engines do neither", StaleOrderGuard::Repair),
    ];
    let rows = guards.into_iter().map(|(way, guard)| {
        let samples = (0..seeds).map(|seed| gap(guard, seed));
        Row::of("no orders after a holder dies", way, "s", samples.collect())
    });
    rows.collect()
}

fn gap(guard: StaleOrderGuard, seed: u64) -> f64 {
    let mut sim = Simulation::new(2, OrderSettings::default(), seed);
    sim.add_engine("e", guard);
    let desired = DesiredState {
        versions: Default::default(),
        role: Some("serve".into()),
    };
    for at in 0..2 {
        sim.set_wanted(at, true);
        sim.set_desired(at, &desired);
    }
    sim.run(Duration::from_secs(20) + Duration::from_millis(seed * 137));
    let log = |sim: &Simulation| -> Vec<u64> {
        let engine = sim.engines.values().next();
        let numbers = engine.map(|e| e.accepted.iter().map(|entry| entry.1 .0).collect());
        numbers.unwrap_or_default()
    };
    let before = log(&sim).last().copied().unwrap_or_default();
    let holder = (0..2).find(|at| {
        let driver = sim.reconcilers[*at].as_ref();
        driver.is_some_and(|d| d.lease_client().send_permit(guard, sim.now).is_some())
    });
    if let Some(holder) = holder {
        sim.reconcilers[holder] = None;
    }
    let died = sim.now;
    sim.run_until(120 * SECOND, |sim| {
        log(sim).last().is_some_and(|n| *n > before)
    });
    (sim.now - died).as_secs_f64()
}
