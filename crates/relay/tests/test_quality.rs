//! Detection of targets that perform worse than their peers.

use std::time::Duration;

use celerypond_relay::{Quality, RequestDeadline};
use tokio::time::Instant;

use crate::fixture::{key, three_data_centres, Queries};

const TIME: Duration = Duration::from_millis(50);

/// One of three targets fails half of its requests although its health check succeeds. Guards
/// against losing reservations there, which may not be repeated: other targets must be preferred
/// until it recovers.
#[test]
fn a_target_that_fails_gets_requests_last() {
    let now = Instant::now();
    let mut targets = three_data_centres(1);
    let east = key(&targets, "east-0-1");
    for n in 0..24 {
        for name in ["east-0-1", "mid-0-1", "west-0-1"] {
            let at = key(&targets, name);
            let is_good = name != "east-0-1" || n % 2 == 0;
            targets.record_result(at, is_good, TIME, now);
        }
    }
    let queries = Queries::new();
    let selected = |now| targets.select(&queries.request(&[]), now).unwrap().key;
    assert_ne!(selected(now), east);
    // Without new results it is tried again, as it is the nearest.
    assert_eq!(selected(now + Duration::from_secs(10)), east);
}

/// Each instance sees few requests. Guards against not detecting a failing target although the
/// results of all instances suffice.
#[test]
fn instances_detect_a_failing_target_together() {
    let now = Instant::now();
    let mut all = Quality::default();
    for origin in 0..7 {
        let mut one = Quality::default();
        for n in 0..4 {
            one.record(1, n != 0, TIME, now);
            one.record(2, true, TIME, now);
            one.record(3, true, TIME, now);
        }
        assert!(one.outliers(&[1, 2, 3], now).is_empty());
        all.merge(origin, one.tallies(now), now);
    }
    assert_eq!(all.outliers(&[1, 2, 3], now), [1]);
}

/// A seventh of all requests fails at any target. Guards against blaming a target for it.
#[test]
fn failures_at_all_targets_make_no_outlier() {
    let now = Instant::now();
    let mut quality = Quality::default();
    for n in 0..140 {
        for target in [1, 2, 3] {
            quality.record(target, (n + target) % 7 != 0, TIME, now);
        }
    }
    assert!(quality.outliers(&[1, 2, 3], now).is_empty());
}

/// Most targets fail. Guards against sending all requests to the remaining one, which would be
/// overloaded.
#[test]
fn majority_of_targets_is_never_excluded() {
    let now = Instant::now();
    let mut quality = Quality::default();
    for n in 0..40 {
        quality.record(1, n % 2 == 0, TIME, now);
        quality.record(2, n % 2 == 0, TIME, now);
        quality.record(3, true, TIME, now);
    }
    assert!(quality.outliers(&[1, 2, 3], now).is_empty());
}

#[test]
fn a_target_that_takes_several_times_as_long_is_slow() {
    let now = Instant::now();
    let mut quality = Quality::default();
    for _ in 0..10 {
        quality.record(1, true, TIME * 5, now);
        quality.record(2, true, TIME, now);
        quality.record(3, true, TIME, now);
    }
    assert_eq!(quality.outliers(&[1, 2, 3], now), [1]);
}

/// A target accepts a reservation and never responds. Guards against a caller that gives up after a
/// second before it is told of the failure.
#[test]
fn a_caller_is_answered_before_it_gives_up() {
    let now = Instant::now();
    let second = Duration::from_secs(1);
    let clock = RequestDeadline::new(now, Some(second), Duration::from_secs(60));
    assert_eq!(clock.remaining(now), Duration::from_millis(960));
    let short = RequestDeadline::new(now, Some(second / 10), second);
    assert_eq!(short.remaining(now), Duration::from_millis(95));
    let route = RequestDeadline::new(now, Some(second * 25), second);
    assert_eq!(route.remaining(now), second);
}
