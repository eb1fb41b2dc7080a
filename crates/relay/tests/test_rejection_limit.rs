//! Limits on the requests that brittle targets reject.

use std::time::Duration;

use celerypond_relay::RejectionLimit;
use rand::{rngs::SmallRng, Rng as _, SeedableRng as _};
use rstest::rstest;
use tokio::time::Instant;

const SLOTS: u32 = 6;

/// Returns the most rejections within a second at a target that stays full, of instances that always
/// have requests for it and receive each other's notices after 2 ms.
fn most_rejections(instances: usize, stated: u32) -> usize {
    let start = Instant::now();
    let mut rng = SmallRng::seed_from_u64(7);
    let mut limits = vec![RejectionLimit::default(); instances];
    limits
        .iter_mut()
        .for_each(|limit| limit.record_statement(stated, start));
    let mut notices: Vec<Instant> = Vec::new();
    let mut rejections: Vec<Instant> = Vec::new();
    for tick in 0..10_000_u64 {
        let now = start + Duration::from_millis(tick);
        let (due, later): (Vec<Instant>, Vec<Instant>) =
            notices.into_iter().partition(|at| *at <= now);
        notices = later;
        for _ in due {
            for limit in &mut limits {
                limit.record_rejection(instances, rng.random(), now);
            }
        }
        // Each instance gets a request for the target every 20 ms.
        let sending = limits.iter_mut().enumerate();
        for (_, limit) in sending.filter(|(n, _)| (tick + *n as u64 * 7).is_multiple_of(20)) {
            if limit.allows(0, SLOTS, instances, now) {
                rejections.push(now);
                limit.record_rejection(instances, rng.random(), now);
                notices.push(now + Duration::from_millis(2));
            }
        }
    }
    // The first requests are sent before anything is known.
    let settled = rejections
        .iter()
        .filter(|at| **at > start + Duration::from_secs(1));
    let settled: Vec<Instant> = settled.copied().collect();
    let within = |from: &Instant| {
        let window = *from..*from + Duration::from_secs(1);
        settled.iter().filter(|at| window.contains(at)).count()
    };
    settled.iter().map(within).max().unwrap_or_default()
}

// Guards against instances that each keep to the limit of a target, but exceed it together.
#[rstest]
#[case(1, 5)]
#[case(7, 5)]
#[case(7, 20)]
#[case(59, 10)]
#[case(195, 20)]
fn rejections_of_all_instances_stay_within_the_limit(
    #[case] instances: usize,
    #[case] stated: u32,
) {
    let most = most_rejections(instances, stated);
    assert!(most <= stated as usize, "{most} rejections");
}

// Guards against requests that are held back although the target accepts them again, and against
// statements that count forever.
#[test]
fn an_accepted_request_ends_the_hold() {
    let now = Instant::now();
    let mut limit = RejectionLimit::default();
    assert!(!limit.record_acceptance(now));
    limit.record_statement(5, now);
    assert!(limit.record_rejection(7, 0.9, now));
    assert!(!limit.allows(0, SLOTS, 7, now));
    assert!(!limit.record_acceptance(now));
    assert!(!limit.allows(0, SLOTS, 7, now));
    assert!(limit.record_acceptance(now + Duration::from_millis(1)));
    assert!(limit.allows(0, SLOTS, 7, now));
    assert!(!limit.allows(9, SLOTS, 7, now));
    assert!(limit.allows(9, SLOTS, 7, now + Duration::from_secs(20)));
}
