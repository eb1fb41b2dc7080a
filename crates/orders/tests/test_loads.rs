//! Loads paced to the weight store.

use std::time::Duration;

use celerypond_orders::{
    DesiredState, EngineReport, LoadLimiter, Order, OrderSettings, StaleOrderGuard,
};
use rstest::rstest;
use tokio::time::Instant;

use crate::simulation::Simulation;

const SECOND: Duration = Duration::from_secs(1);

fn versions(names: &[&str]) -> DesiredState {
    let pairs = names.iter().map(|name| ((*name).into(), "w".into()));
    DesiredState {
        versions: pairs.collect(),
        role: None,
    }
}

/// Loads one version on 40 engines from a store that serves 5 at once.
fn roll(loads: f64, seed: u64) -> (Simulation, bool) {
    let settings = OrderSettings {
        initial_load_window: loads,
        ..OrderSettings::default()
    };
    let mut sim = Simulation::new(1, settings, seed);
    for at in 0..40 {
        sim.add_engine(&format!("e{at}"), StaleOrderGuard::Fencing);
    }
    sim.weight_store = (5, 8 * SECOND);
    sim.set_wanted(0, true);
    sim.set_desired(0, &versions(&["v2"]));
    let all = |sim: &Simulation| {
        sim.engines
            .values()
            .all(|engine| engine.versions == ["v2".into()])
    };
    let done = sim.run_until(600 * SECOND, all);
    (sim, done)
}

// A bundle asks for a new version on all engines at once. Asked for all of them, the weight store
// refuses most again and again, and whoever else needs weights meanwhile is refused as well.
#[rstest]
fn paced_loads_all_complete_and_few_are_refused(#[values(1, 2, 3, 4)] seed: u64) {
    let (sim, done) = roll(OrderSettings::default().initial_load_window, seed);
    assert!(done);
    assert_eq!(sim.accepted_loads, 40);
    assert!(sim.refused_loads <= 40, "{} refused", sim.refused_loads);
}

#[test]
fn a_version_that_is_not_wanted_stays_until_all_others_are_there() {
    let report = |names: &[&str]| EngineReport {
        versions: names.iter().map(|name| (*name).into()).collect(),
    };
    let desired = versions(&["v2", "v3"]);
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
    let later = now + SECOND;
    let begun = (0..8).filter(|_| limiter.try_start(later)).count();
    assert_eq!(begun, 4);
}
