//! Calls of a store that is away.

use std::time::Duration;

use celerypond_relay::StoreBackoff;
use rand::{rngs::SmallRng, Rng as _, SeedableRng as _};

const INSTANCES: usize = 71;
const WATCHERS: usize = 2;
const OUTAGE: Duration = Duration::from_secs(8);

/// Returns when an instance calls during an outage, and when it first calls after it.
fn calls(is_watcher: bool, seed: u64) -> (usize, Duration) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut rest = StoreBackoff::default();
    let (mut at, mut count) = (Duration::ZERO, 0);
    while at < OUTAGE {
        count += 1;
        at += rng.random_range(rest.failed(is_watcher));
    }
    (count, at - OUTAGE)
}

/// The store refuses all calls for eight seconds. Each of 71 instances watches for itself meanwhile, the
/// configuration and the targets. Each call is paid for; the watchers find out soon that the store is
/// back, and whoever hears of no watcher two seconds later.
#[test]
fn a_store_that_is_away_is_called_seldom_but_by_the_watchers() {
    let mut count = 0;
    for instance in 0..INSTANCES {
        let is_watcher = instance < WATCHERS;
        let (calls, late) = calls(is_watcher, instance as u64);
        count += calls * 2;
        let most = if is_watcher { 300 } else { 2_400 };
        assert!(late <= Duration::from_millis(most), "{late:?}");
    }
    assert!(count < 1_500, "{count} calls");
}
