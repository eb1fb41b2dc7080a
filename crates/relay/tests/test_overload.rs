//! Streams under more load than engines can run in time.

use rstest::rstest;

use crate::overload::{max_streams_on_time, max_streams_per_second, Load, Model, Outcome};

/// Returns a load with a burst of seven seconds.
fn burst(usual: f64) -> Load {
    Load {
        usual,
        times: 3.0,
        from: 5.0,
        to: 12.0,
        end: 30.0,
    }
}

fn on_time(outcomes: &[Outcome]) -> f64 {
    outcomes
        .iter()
        .filter(|outcome| outcome.is_on_time())
        .count() as f64
}

// Guards against a burst that leaves too few engines for reading, because running streams are
// spread over all others.
#[rstest]
fn streams_are_on_time_in_a_burst_within_capacity(#[values(1, 2, 3, 4)] seed: u64) {
    let load = burst(6.8);
    let outcomes = Model::new(true).replay(&load, seed);
    assert!(on_time(&outcomes) >= 0.97 * max_streams_on_time(&load, &outcomes));
}

// Guards against a queue that outlasts the burst that caused it, in which all streams are late.
#[rstest]
fn overload_ends_soon_after_the_burst(#[values(1, 2, 3, 4)] seed: u64) {
    let load = burst(9.0);
    assert!(load.usual * load.times > 1.6 * max_streams_per_second());
    let outcomes = Model::new(true).replay(&load, seed);
    assert!(on_time(&outcomes) >= 0.9 * max_streams_on_time(&load, &outcomes));
    let after = outcomes
        .iter()
        .filter(|outcome| outcome.arrived > load.to + 5.0);
    let after: Vec<Outcome> = after.copied().collect();
    assert!(on_time(&after) >= 0.97 * after.len() as f64);
    let lost = outcomes
        .iter()
        .filter(|outcome| outcome.first.is_none())
        .count();
    assert!(lost as f64 <= 0.05 * outcomes.len() as f64, "{lost}");
}

// Guards against rejecting callers although engines have the time.
#[rstest]
fn no_stream_is_rejected_if_all_can_be_on_time(#[values(1, 2, 3, 4)] seed: u64) {
    let load = burst(6.0);
    let outcomes = Model::new(true).replay(&load, seed);
    assert!(outcomes.iter().all(|outcome| !outcome.has_retried));
}

// Guards against tests of rejections that would pass without rejections.
#[rstest]
fn queue_outlasts_the_burst_without_rejections(#[values(1, 2, 3, 4)] seed: u64) {
    let load = burst(9.0);
    let queued = Model::new(false).replay(&load, seed);
    let rejected = Model::new(true).replay(&load, seed);
    assert!(on_time(&queued) < on_time(&rejected));
}
