//! Evidence and brakes merge to the same state in any order.

use celerypond_rollout::{
    Brakes, Cause, Evidence, EvidenceReport, Failure, Histogram, RequestClass, Subject, Trial,
};
use celerypond_types::Revision;
use rand::{rngs::SmallRng, seq::SliceRandom, Rng, SeedableRng};
use rstest::rstest;

use crate::fake_fleet::candidate;

fn subject() -> Subject {
    Subject {
        origin: Revision(2),
        model: "draft".into(),
    }
}

fn trial(target: &str, begun_ms: u64) -> Trial {
    Trial {
        model: "draft".into(),
        version: "v2".into(),
        class: RequestClass("draft".into()),
        target: target.into(),
        is_first: true,
        begun_ms,
    }
}

#[test]
fn reordered_and_repeated_messages_merge_to_the_same_state() {
    // Gossip messages are lost, repeated and reordered. Instances that end with different evidence
    // or brakes would judge a version differently.
    let mut reports = Vec::new();
    for name in ["a", "b", "c"] {
        let mut report = EvidenceReport::new(subject(), name.into(), 1);
        for at in 0..5 {
            report
                .trial_counts(&trial("v2-1", at))
                .count_failure(Failure::Error);
            reports.push(report.clone());
        }
    }
    let causes = [Cause::TokenTime, Cause::Failures, Cause::Incidents];
    let mut ends = Vec::new();
    for seed in 0..50 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let (mut evidence, mut brakes) = (Evidence::default(), Brakes::default());
        let mut order = [reports.clone(), reports.clone()].concat();
        order.shuffle(&mut rng);
        for report in order {
            evidence.merge(report);
            let mut other = Brakes::default();
            other.insert(Revision(2), candidate(), causes[rng.random_range(0..3)]);
            brakes.merge(&other);
        }
        ends.push((evidence, brakes.cause(Revision(2), &candidate())));
    }
    assert!(ends.iter().all(|end| *end == ends[0]));
    let total = ends[0].0.total(&subject(), &"v2".into(), None);
    assert_eq!(
        (total.first.failures(), ends[0].1),
        (15, Some(Cause::Failures))
    );
}

#[rstest]
#[case::begun_before_the_first_break("v2-1", 900, 1_050, true)]
#[case::begun_after_the_first_break("v2-1", 1_001, 1_050, false)]
#[case::on_another_target("v2-2", 1_001, 1_050, true)]
#[case::long_after("v2-1", 11_500, 12_000, true)]
fn only_trials_begun_before_a_crash_are_discounted(
    #[case] target: &str,
    #[case] begun_ms: u64,
    #[case] now_ms: u64,
    #[case] is_discounted: bool,
) {
    // The crash of an engine breaks all its streams. A version that breaks each connection looks
    // the same at first; only trials that begin after the first break distinguish the two.
    let mut report = EvidenceReport::new(subject(), "a".into(), 1);
    assert!(report.record_break(&"v2".into(), &"v2-1".into(), 0, 1_000));
    let found = report.record_break(&"v2".into(), &target.into(), begun_ms, now_ms);
    assert_eq!(found, is_discounted);
}

#[test]
fn crash_reported_by_several_instances_is_one_incident() {
    let mut evidence = Evidence::default();
    for (at, name) in ["a", "b", "c"].into_iter().enumerate() {
        let mut report = EvidenceReport::new(subject(), name.into(), 1);
        report.record_break(&"v2".into(), &"v2-1".into(), 0, 1_000 + 200 * at as u64);
        report.trial_counts(&trial("v2-1", 0)).discounted += 1;
        evidence.merge(report);
    }
    assert_eq!(evidence.incidents(&subject(), &"v2".into()).len(), 1);
}

#[test]
fn serialized_histogram_keeps_its_counts() {
    let mut rng = SmallRng::seed_from_u64(1);
    let mut times = Histogram::default();
    for _ in 0..1_000 {
        times.add(rng.random_range(1..10_000_000));
        let json = serde_json::to_string(&times).unwrap();
        assert_eq!(serde_json::from_str::<Histogram>(&json).unwrap(), times);
    }
    let bucket = times.quantile_bucket(0.95);
    assert!(times.count_above(bucket) <= 50 && times.count_above(bucket - 1) > 50);
}
