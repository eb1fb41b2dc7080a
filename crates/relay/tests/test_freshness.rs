//! How recent the configuration in force is.

use std::time::Duration;

use celerypond_relay::{Freshness, Observation};
use tokio::time::Instant;

fn seen(version: u64, revision: u64, at: Instant) -> Observation {
    Observation {
        version,
        revision,
        at,
    }
}

// Guards against a watch from a revision of long ago, whose history is gone, and a transfer of what is known already.
#[test]
fn watch_goes_on_where_the_version_in_force_was_last_seen() {
    let now = Instant::now();
    let mut freshness = Freshness::default();
    freshness.observe(seen(2, 40, now));
    freshness.hold(2);
    for step in 1..20 {
        freshness.observe(seen(2, 40 + step, now + Duration::from_secs(step)));
    }
    assert_eq!(freshness.revision(), Some(59));
}

// Guards against a watch that begins after the change that it has to tell.
#[test]
fn watch_begins_before_a_version_that_is_not_in_force() {
    let now = Instant::now();
    let mut freshness = Freshness::default();
    freshness.observe(seen(2, 40, now));
    freshness.hold(2);
    freshness.observe(seen(3, 52, now));
    freshness.observe(seen(3, 60, now));
    assert_eq!((freshness.newest(), freshness.revision()), (3, Some(40)));
    freshness.hold(3);
    assert_eq!(freshness.revision(), Some(60));
}

// Guards against a late datagram that moves the watch back or hides a newer version.
#[test]
fn older_observations_change_nothing() {
    let now = Instant::now();
    let mut freshness = Freshness::default();
    freshness.observe(seen(3, 52, now));
    freshness.hold(3);
    freshness.observe(seen(2, 40, now));
    freshness.observe(seen(3, 50, now));
    assert_eq!((freshness.newest(), freshness.revision()), (3, Some(52)));
}

// Guards against a watch from nowhere after a peer told the configuration of which no revision is known.
#[test]
fn version_that_only_a_peer_told_has_no_revision() {
    let now = Instant::now();
    let mut freshness = Freshness::default();
    freshness.hold(4);
    assert_eq!((freshness.newest(), freshness.revision()), (4, None));
    freshness.observe(seen(4, 0, now));
    assert_eq!(freshness.revision(), None);
    freshness.observe(seen(4, 70, now));
    assert_eq!(freshness.revision(), Some(70));
}
