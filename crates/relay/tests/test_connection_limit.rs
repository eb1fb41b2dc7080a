//! Limits on the connections to a target.

use std::time::Duration;

use celerypond_relay::ConnectionLimit;
use rstest::rstest;
use tokio::time::Instant;

const SECOND: Duration = Duration::from_secs(1);

/// With more instances than a target accepts connections, each may still open one.
#[rstest]
#[case::few_instances(100, 7, 14)]
#[case::many_instances(410, 59, 6)]
#[case::more_instances_than_connections(100, 900, 1)]
#[case::no_instance_known(100, 0, 100)]
fn connections_are_shared_by_all_instances(
    #[case] accepted: u32,
    #[case] instances: usize,
    #[case] share: u32,
) {
    let limit = ConnectionLimit::default();
    assert_eq!(limit.max_open(accepted, instances, Instant::now()), share);
}

/// A target with a long queue accepts 60 connections instead of 400, and 59 instances have six
/// each. Guards against opening again what the target resets: the instances get down to what it
/// accepts within a few resets each, and back up to their shares once it accepts them.
#[test]
fn limit_follows_what_a_target_accepts() {
    let mut now = Instant::now();
    let mut limits = [ConnectionLimit::default(); 59];
    let mut open = [6_u32; 59];
    let mut resets = 0;
    for _ in 0..20 {
        for i in 0..limits.len() {
            let max_open = limits[i].max_open(400, 59, now);
            open[i] = max_open;
            if open.iter().sum::<u32>() > 60 {
                limits[i].record_reset(max_open, now);
                resets += 1;
            }
        }
        now += SECOND / 20;
    }
    assert!(open.iter().sum::<u32>() <= 60, "{open:?}");
    assert!(resets <= 59 * 6, "{resets}");
    let recovered = limits
        .iter()
        .all(|limit| limit.max_open(400, 59, now + 6 * SECOND) == 6);
    assert!(recovered);
}
