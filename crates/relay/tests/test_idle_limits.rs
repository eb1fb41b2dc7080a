//! Limits on the idle time of connections.

use std::time::Duration;

use celerypond_relay::{IdleLimits, Placements};
use tokio::time::Instant;

use crate::fixture::{key, three_data_centres};

const SERVICE: u64 = 7;
/// How long a connection may be idle at the targets of these tests.
const TARGET_IDLE_TIMEOUT: Duration = Duration::from_millis(300);

/// Seventy instances send each of six targets a reservation every two seconds. The targets drop
/// connections that were idle for 300 ms and reset later requests. Guards against keeping idle
/// connections for the usual 2.5 s, by which nearly all reservations would be lost: the first
/// losses must set the limit for all instances.
#[test]
fn few_requests_are_lost_on_idle_connections() {
    const INSTANCES: usize = 70;
    let start = Instant::now();
    let mut limits = vec![IdleLimits::default(); INSTANCES];
    let (mut lost, mut sent) = (0, 0);
    for tick in 0..600_u64 {
        let now = start + Duration::from_millis(tick * 50);
        // An instance reports to all others once a second.
        let reporter = (tick * 70 / 20) as usize % INSTANCES;
        for reporter in reporter..(reporter + 4).min(INSTANCES) {
            let reported = limits[reporter].report(now);
            limits
                .iter_mut()
                .for_each(|limits| limits.merge(&reported, now));
        }
        // Each instance sends three requests per second over all targets, so that a connection is
        // idle for two seconds.
        for (n, own) in limits.iter_mut().enumerate() {
            if !(tick + n as u64).is_multiple_of(7) {
                continue;
            }
            sent += 1;
            let idle_time = Duration::from_millis(1_500 + (n as u64 * 37 + tick * 11) % 1_000);
            let is_kept = own
                .limit(SERVICE, now)
                .is_none_or(|limit| idle_time < limit);
            if is_kept && idle_time > TARGET_IDLE_TIMEOUT {
                lost += 1;
                own.record_reset(SERVICE, idle_time, now);
            }
        }
    }
    assert!(sent > 5_000);
    assert!(lost < 140, "{lost} of {sent} were lost");
}

#[test]
fn reset_after_a_short_idle_time_sets_no_limit() {
    let now = Instant::now();
    let mut limits = IdleLimits::default();
    assert!(!limits.record_reset(SERVICE, Duration::from_millis(3), now));
    assert_eq!(limits.limit(SERVICE, now), None);
}

/// A target drops connections after a second, and later after a tenth of a second. Guards against
/// extending the limit because of a connection that is lost after a longer idle time.
#[test]
fn shortest_idle_limit_applies() {
    let now = Instant::now();
    let mut limits = IdleLimits::default();
    assert!(limits.record_reset(SERVICE, Duration::from_millis(1_000), now));
    assert!(limits.record_reset(SERVICE, Duration::from_millis(100), now));
    assert!(!limits.record_reset(SERVICE, Duration::from_millis(900), now));
    assert_eq!(limits.limit(SERVICE, now), Some(Duration::from_millis(50)));
}

/// Guards against limits that never expire because instances report them to each other: reports
/// include the age.
#[test]
fn limits_that_instances_report_to_each_other_expire() {
    let start = Instant::now();
    let (mut one, mut other) = (IdleLimits::default(), IdleLimits::default());
    one.record_reset(SERVICE, Duration::from_millis(500), start);
    for second in 0..70 {
        let now = start + Duration::from_secs(second);
        other.merge(&one.report(now), now);
        one.merge(&other.report(now), now);
    }
    let now = start + Duration::from_secs(70);
    assert_eq!(one.limit(SERVICE, now), None);
    assert_eq!(other.limit(SERVICE, now), None);
}

#[test]
fn full_message_contains_idle_limits() {
    let now = Instant::now();
    let mut targets = three_data_centres(2);
    let engine = key(&targets, "east-0-1");
    assert!(targets.record_idle_reset(engine, Duration::from_millis(400), now));
    let list = targets.placements(1, 1, None, now);
    let mut others = three_data_centres(2);
    others.merge_placements(Placements { origin: 2, ..list }, now);
    let west = key(&others, "west-1-1");
    assert_eq!(
        others.idle_limit(west, now),
        Some(Duration::from_millis(200))
    );
}
