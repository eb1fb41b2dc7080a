//! Calls to an unavailable store.

use std::time::Duration;

use celerypond_relay::StoreBackoff;
use rand::{rngs::SmallRng, Rng as _, SeedableRng as _};

const INSTANCES: usize = 71;
const WATCHERS: usize = 2;
const OUTAGE: Duration = Duration::from_secs(8);

/// Returns how often an instance calls during an outage, and when it first calls after it.
fn calls(is_watcher: bool, seed: u64) -> (usize, Duration) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut backoff = StoreBackoff::default();
    let (mut at, mut count) = (Duration::ZERO, 0);
    while at < OUTAGE {
        count += 1;
        at += rng.random_range(backoff.failed(is_watcher));
    }
    (count, at - OUTAGE)
}

/// The store refuses all calls for eight seconds, and each of 71 instances watches the
/// configuration and the targets itself. Guards against too many calls, each of which has a cost.
/// Watchers must notice the store's return soon, and other instances without a watcher two seconds
/// later.
#[test]
fn unavailable_store_is_called_rarely_except_by_watchers() {
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
