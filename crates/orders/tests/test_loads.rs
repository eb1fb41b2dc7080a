//! Tests of the limit on concurrent loads, and of the order of loads and unloads.

use std::time::Duration;

use celerypond_orders::{
    DesiredState, EngineReport, LoadLimiter, Order, OrderSettings, StaleOrderGuard,
};
use rstest::rstest;
use tokio::time::Instant;

use crate::simulation::Simulation;

const SECOND: Duration = Duration::from_secs(1);

fn desired_versions(names: &[&str]) -> DesiredState {
    let pairs = names.iter().map(|name| ((*name).into(), "w".into()));
    DesiredState {
        versions: pairs.collect(),
        role: None,
    }
}

/// Loads one version on 40 engines from a weight store that serves 5 loads at once. Returns whether
/// all engines have it within 600 seconds.
fn load_on_all_engines(initial_load_window: f64, seed: u64) -> (Simulation, bool) {
    let settings = OrderSettings {
        initial_load_window,
        ..OrderSettings::default()
    };
    let mut sim = Simulation::new(1, settings, seed);
    for index in 0..40 {
        sim.add_engine(&format!("e{index}"), StaleOrderGuard::Fencing);
    }
    sim.weight_store = (5, 8 * SECOND);
    sim.set_wanted(0, true);
    sim.set_desired(0, &desired_versions(&["v2"]));
    let all_loaded = |sim: &Simulation| {
        sim.engines
            .values()
            .all(|engine| engine.versions == ["v2".into()])
    };
    let is_done = sim.run_until(600 * SECOND, all_loaded);
    (sim, is_done)
}

// A bundle with a new version for all engines starts all loads at once. Without a limit, the weight
// store refuses most of them repeatedly, as well as the loads of others at that time.
#[rstest]
fn limited_loads_all_complete_and_few_are_refused(#[values(1, 2, 3, 4)] seed: u64) {
    let (sim, is_done) = load_on_all_engines(OrderSettings::default().initial_load_window, seed);
    assert!(is_done);
    assert_eq!(sim.accepted_loads, 40);
    assert!(
        sim.refused_loads <= 40,
        "{} loads refused",
        sim.refused_loads
    );
}

#[test]
fn undesired_versions_are_unloaded_only_after_all_loads() {
    let report = |names: &[&str]| EngineReport {
        versions: names.iter().map(|name| (*name).into()).collect(),
    };
    let desired = desired_versions(&["v2", "v3"]);
    let loads = desired.pending_orders(&report(&["v1", "v2"]));
    assert!(matches!(&loads[..], [Order::Load { version, .. }] if version.as_str() == "v3"));
    let unloads = desired.pending_orders(&report(&["v1", "v2", "v3"]));
    assert!(matches!(&unloads[..], [Order::Unload { version }] if version.as_str() == "v1"));
    assert!(desired.pending_orders(&report(&["v3", "v2"])).is_empty());
}

#[test]
fn refusals_of_one_overload_halve_the_window_once() {
    let now = Instant::now();
    let mut limiter = LoadLimiter::new(8.0);
    for _ in 0..8 {
        assert!(limiter.try_start(now));
    }
    for _ in 0..8 {
        limiter.on_refused(Some(SECOND), now);
    }
    assert!(!limiter.try_start(now));
    let resumed = now + SECOND;
    let started = (0..8).filter(|_| limiter.try_start(resumed)).count();
    assert_eq!(started, 4);
}
