//! Detection of partitions of this instance from targets.

use std::time::Duration;

use celerypond_relay::{
    AttemptFailure, AttemptState, NextStep, PartitionNotice, Partitions, PeerPartitions,
    Placements, RouteKind, Targets,
};
use celerypond_types::{ServiceName, TargetKey};
use rand::{rngs::SmallRng, SeedableRng as _};
use rstest::rstest;
use tokio::time::Instant;

use crate::fixture::{key, three_data_centres};

fn writer() -> ServiceName {
    ServiceName::new("writer")
}

fn rng() -> SmallRng {
    SmallRng::seed_from_u64(1)
}

fn keys(targets: &Targets) -> Vec<TargetKey> {
    targets.iter().map(|(key, _)| key).collect()
}

/// Records connections to targets, and returns whether a partition is suspected.
fn suspects(targets: &mut Targets, failed: usize, connected: usize, now: Instant) -> bool {
    let all = keys(targets);
    for (n, key) in all.iter().take(failed + connected).enumerate() {
        targets.record_connection(*key, n >= failed, now);
    }
    targets.suspects_partition(&writer(), now)
}

// Guards against a partition that is taken for the death of all targets, and the reverse.
#[rstest]
#[case::one_target_failed(1, 0, false)]
#[case::three_failed(3, 0, true)]
#[case::some_are_reached(6, 3, false)]
#[case::one_of_many_is_reached(6, 1, true)]
#[case::all_failed(18, 0, true)]
fn partition_is_suspected(#[case] failed: usize, #[case] connected: usize, #[case] expected: bool) {
    let mut targets = three_data_centres(6);
    let suspected = suspects(&mut targets, failed, connected, Instant::now());
    assert_eq!(suspected, expected);
}

// Guards against a partition that is never suspected in a service with few targets.
#[test]
fn partition_from_a_small_service_is_suspected_once_all_targets_failed() {
    let now = Instant::now();
    let mut targets = three_data_centres(1);
    assert!(!suspects(&mut targets, 2, 0, now));
    assert!(suspects(&mut targets, 3, 0, now));
}

// Guards against connections from before the partition that count as evidence against it.
#[test]
fn earlier_connections_do_not_refute_a_partition() {
    let now = Instant::now();
    let mut targets = three_data_centres(6);
    for key in keys(&targets) {
        targets.record_connection(key, true, now);
    }
    let later = now + Duration::from_secs(1);
    assert!(suspects(&mut targets, 3, 0, later));
    let probes = targets.suspect_partition(&writer(), &mut rng(), later);
    assert_eq!(probes.map(|probes| probes.len()), Some(6));
}

// Guards against old failures that keep a partition suspected although nothing was tried since.
#[test]
fn old_failures_do_not_count() {
    let now = Instant::now();
    let mut targets = three_data_centres(6);
    assert!(suspects(&mut targets, 6, 0, now));
    assert!(!targets.suspects_partition(&writer(), now + Duration::from_secs(6)));
}

// A third of the engines die at once and a stream is lost at each of the first three. Guards against
// an instance that stops using the others, which probes reach.
#[test]
fn probes_tell_the_loss_of_some_targets_from_a_partition() {
    let now = Instant::now();
    let mut partitions = Partitions::default();
    let (dead, alive) = (false, true);
    assert!(!partitions.record_probes(&writer(), &[dead, dead, alive, alive, alive, alive], now));
    assert!(!partitions.contains(&writer()));
    assert!(partitions.record_probes(&writer(), &[dead; 6], now));
    assert!(partitions.contains(&writer()));
}

// Guards against a partition that seems to end because one of many targets is reached throughout.
#[test]
fn one_reached_target_does_not_end_a_partition() {
    let now = Instant::now();
    let mut partitions = Partitions::default();
    partitions.record_probes(&writer(), &[], now);
    let later = now + Duration::from_secs(1);
    assert!(!partitions.record_probes(&writer(), &[false, true, false], later));
    assert!(!partitions.record_probes(&writer(), &[], later));
    assert!(partitions.record_probes(&writer(), &[true, true, false], later));
    assert!(partitions.is_empty());
}

// Guards against targets that are avoided after a partition, for failures of this instance's link.
#[test]
fn failures_of_the_link_are_forgotten_after_a_partition() {
    let now = Instant::now();
    let mut targets = three_data_centres(6);
    for key in keys(&targets) {
        let target = targets.get_mut(key).unwrap();
        target.record_failure(AttemptFailure::Unsent, now);
        targets.record_connection(key, false, now);
    }
    targets.forget_link_failures(&writer());
    assert!(targets.iter().all(|(_, target)| !target.is_avoided(now)));
    assert!(!targets.suspects_partition(&writer(), now));
}

// Guards against targets that others avoid because a partitioned instance reported them as dead.
#[test]
fn reports_of_a_partitioned_instance_are_forgotten() {
    let now = Instant::now();
    let (mut local, mut peer) = (three_data_centres(1), three_data_centres(1));
    let at = key(&peer, "east-0-1");
    let target = peer.get_mut(at).unwrap();
    target.record_failure(AttemptFailure::Unsent, now);
    let list = peer.placements(7, 1, None, now);
    assert!(!list.dead.is_empty());
    assert_eq!(local.merge_placements(list, now).len(), 1);
    local.forget_reports(7);
    assert!(local.iter().all(|(_, target)| !target.is_avoided(now)));
    peer.forget_results(&writer());
    let later: Placements = peer.placements(7, 2, None, now);
    assert!(later.dead.is_empty());
}

fn notice(sequence: u64, services: &[&str]) -> PartitionNotice {
    PartitionNotice {
        origin: 1,
        sequence,
        address: "10.0.0.1:7200".parse().unwrap(),
        services: services
            .iter()
            .map(|name| celerypond_route::hash(name.as_bytes()))
            .collect(),
    }
}

// Guards against an old notice that replaces a later one, and against notices of instances that are
// gone.
#[test]
fn latest_notice_of_an_instance_counts_for_some_seconds() {
    let now = Instant::now();
    let address = notice(1, &[]).address;
    let mut peers = PeerPartitions::default();
    peers.merge(notice(2, &["writer"]), now);
    peers.merge(notice(1, &[]), now);
    assert!(!peers.reaches(address, &writer(), now));
    assert!(peers.reaches(address, &ServiceName::new("shop"), now));
    assert!(!peers.reaches_all(address, now));
    assert!(peers.reaches(address, &writer(), now + Duration::from_secs(4)));
    peers.merge(notice(3, &[]), now);
    assert!(peers.reaches_all(address, now));
}

// Guards against a caller that waits for many connections although no target is reached.
#[test]
fn partitioned_instance_tries_one_target() {
    let state = AttemptState {
        kind: RouteKind::Safe,
        runs: 0,
        attempts: 3,
        refusals: 0,
        unreached: 1,
        is_partitioned: true,
        time_left: Duration::from_secs(1),
    };
    let next = state.next_step(AttemptFailure::Unsent, || true);
    assert_eq!(next, NextStep::NotRun);
    let reached = AttemptState {
        is_partitioned: false,
        ..state
    };
    let next = reached.next_step(AttemptFailure::Unsent, || true);
    assert_eq!(next, NextStep::Elsewhere);
}
