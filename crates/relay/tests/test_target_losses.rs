//! Targets that ended while they ran the same request.

use std::{collections::HashSet, time::Duration};

use celerypond_relay::{LossNotice, RequestFingerprint, TargetLosses, TargetRun};
use rstest::rstest;
use tokio::time::Instant;

fn request(name: &str) -> RequestFingerprint {
    RequestFingerprint::of_content([name.as_bytes()])
}

fn runs(names: &[&str]) -> Vec<TargetRun> {
    let runs = names.iter();
    runs.map(|name| TargetRun::new(name, Some(1))).collect()
}

// Guards against one end that counts several times because several instances report it.
#[test]
fn ends_reported_by_several_instances_count_once() {
    let now = Instant::now();
    let fatal = request("fatal");
    let mut losses = TargetLosses::default();
    losses.record(fatal, runs(&["a"])[0], now);
    for targets in [runs(&["a"]), runs(&["a", "b"]), runs(&["b"])] {
        let notice = LossNotice {
            request: fatal,
            targets,
        };
        losses.merge(&notice, now);
    }
    assert_eq!(losses.count(fatal, now), 2);
    assert_eq!(losses.blocked_for(fatal, now), None);
}

// Guards against a target that restarts under its name and whose second end is not counted.
#[test]
fn ends_of_a_target_that_restarted_count_separately() {
    let now = Instant::now();
    let fatal = request("fatal");
    let mut losses = TargetLosses::default();
    for born in 1..=3 {
        losses.record(fatal, TargetRun::new("a", Some(born)), now);
    }
    assert!(losses.blocked_for(fatal, now).is_some());
}

// Guards against a request that is refused for ever, and against ends that count for ever.
#[test]
fn ends_expire_together_after_the_last_one() {
    let started = Instant::now();
    let fatal = request("fatal");
    let mut losses = TargetLosses::default();
    for (n, run) in runs(&["a", "b", "c"]).into_iter().enumerate() {
        losses.record(fatal, run, started + Duration::from_secs(20 * n as u64));
    }
    let last = started + Duration::from_secs(40);
    let blocked_for = losses.blocked_for(fatal, last).unwrap();
    assert!(losses.blocked_for(fatal, last + blocked_for / 2).is_some());
    assert_eq!(losses.blocked_for(fatal, last + blocked_for), None);
    assert_eq!(losses.count(fatal, last + blocked_for), 0);
}

// Guards against notices that instances send each other for ever.
#[test]
fn merged_notice_is_not_passed_on() {
    let now = Instant::now();
    let fatal = request("fatal");
    let mut losses = TargetLosses::default();
    let notice = LossNotice {
        request: fatal,
        targets: runs(&["a", "b"]),
    };
    losses.merge(&notice, now);
    assert_eq!(losses.take_notice(fatal, now), None);
    losses.record(fatal, runs(&["c"])[0], now);
    let notice = losses.take_notice(fatal, now).unwrap();
    assert_eq!(notice.targets, runs(&["a", "b", "c"]));
    assert_eq!(losses.take_notice(fatal, now), None);
}

// Guards against memory that grows with the number of requests that lost a target, and against a
// notice with many targets.
#[test]
fn memory_is_bounded() {
    let now = Instant::now();
    let mut losses = TargetLosses::default();
    let names: Vec<String> = (0..20_000).map(|n| n.to_string()).collect();
    for (n, name) in names.iter().enumerate() {
        let at = now + Duration::from_millis(n as u64);
        losses.record(request(name), runs(&["a"])[0], at);
    }
    let end = now + Duration::from_secs(20);
    let kept = names
        .iter()
        .filter(|name| losses.count(request(name), end) > 0);
    let kept: Vec<&String> = kept.collect();
    assert!(kept.len() < 5_000, "{}", kept.len());
    assert_eq!(kept.last().copied(), names.last());
    let targets: Vec<&str> = names.iter().map(String::as_str).collect();
    let notice = LossNotice {
        request: request("long"),
        targets: runs(&targets),
    };
    losses.merge(&notice, end);
    assert!(losses.count(request("long"), end) < 10);
}

// Guards against a fatal request that takes those which ran beside it to its next target.
#[rstest]
#[case::two(2)]
#[case::as_many_as_an_engine_runs(64)]
fn requests_that_lost_the_same_targets_run_apart(#[case] count: usize) {
    let now = Instant::now();
    let mut losses = TargetLosses::default();
    let requests: Vec<_> = (0..count).map(|n| request(&n.to_string())).collect();
    for key in &requests {
        for run in runs(&["a", "b"]) {
            losses.record(*key, run, now);
        }
    }
    let separations = requests
        .iter()
        .map(|key| losses.separation(*key, now).unwrap());
    let separations: Vec<_> = separations.collect();
    let positions: HashSet<usize> = separations.iter().map(|one| one.position).collect();
    assert_eq!(positions.len(), count);
    assert!(separations
        .iter()
        .all(|one| one.seed == separations[0].seed));
}

// Guards against streams that read their prompts again although no other stream lost the same targets.
#[test]
fn request_that_lost_other_targets_runs_where_it_likes() {
    let now = Instant::now();
    let mut losses = TargetLosses::default();
    for (name, names) in [
        ("one", ["a", "b"]),
        ("two", ["b", "c"]),
        ("three", ["a", "c"]),
    ] {
        for run in runs(&names) {
            losses.record(request(name), run, now);
        }
        assert_eq!(losses.separation(request(name), now), None);
    }
}
