//! Streams under more load than engines can take in time.

use rstest::rstest;

use crate::overload::{most_on_time, most_per_second, Fate, Load, Model};

/// A burst of seven seconds.
fn burst(usual: f64) -> Load {
    Load {
        usual,
        times: 3.0,
        from: 5.0,
        to: 12.0,
        end: 30.0,
    }
}

fn on_time(fates: &[Fate]) -> f64 {
    fates.iter().filter(|fate| fate.is_on_time()).count() as f64
}

// Guards against a burst that leaves too few engines to read, as running streams spread over all others.
#[rstest]
fn streams_are_on_time_in_a_burst_that_engines_can_bear(#[values(1, 2, 3, 4)] seed: u64) {
    let load = burst(6.8);
    let fates = Model::new(true).replay(&load, seed);
    assert!(on_time(&fates) >= 0.97 * most_on_time(&load, &fates));
}

// Guards against a queue that outlasts the burst that filled it, and in which all are late.
#[rstest]
fn overload_ends_with_its_cause(#[values(1, 2, 3, 4)] seed: u64) {
    let load = burst(9.0);
    assert!(load.usual * load.times > 1.6 * most_per_second());
    let fates = Model::new(true).replay(&load, seed);
    assert!(on_time(&fates) >= 0.9 * most_on_time(&load, &fates));
    let after = fates.iter().filter(|fate| fate.arrived > load.to + 5.0);
    let after: Vec<Fate> = after.copied().collect();
    assert!(on_time(&after) >= 0.97 * after.len() as f64);
    let lost = fates.iter().filter(|fate| fate.first.is_none()).count();
    assert!(lost as f64 <= 0.05 * fates.len() as f64, "{lost}");
}

// Guards against callers that are turned away though engines have the time.
#[rstest]
fn nobody_is_turned_away_where_all_can_be_on_time(#[values(1, 2, 3, 4)] seed: u64) {
    let load = burst(6.0);
    let fates = Model::new(true).replay(&load, seed);
    assert!(fates.iter().all(|fate| !fate.has_retried));
}

// Guards against a test of turning away that would pass without it.
#[rstest]
fn queue_outlasts_its_cause_where_nobody_is_turned_away(#[values(1, 2, 3, 4)] seed: u64) {
    let load = burst(9.0);
    let queued = Model::new(false).replay(&load, seed);
    let turned = Model::new(true).replay(&load, seed);
    assert!(on_time(&queued) < on_time(&turned));
}
