//! Rollouts in a simulated fleet: bad versions lose their traffic, and reported results are true.

use celerypond_rollout::{Cause, Phase, RolloutConfig};
use rand::{rngs::SmallRng, Rng, SeedableRng};
use rstest::rstest;

use crate::fake_fleet::{Defect, Disruption, FakeFleet, Outcome, Scenario, Strategy};

const END_MS: u64 = 400_000;
/// Maximum time from the first brake to the last request for a bad version.
const BRAKE_BOUND_MS: u64 = 1_000;

/// Returns a rollout of 150 s with a crash of some engine every few minutes.
fn short_rollout(defect: Defect) -> Scenario {
    Scenario {
        within_s: 150,
        ..Scenario::holding(defect)
    }
}

fn run(scenario: Scenario, seed: u64) -> Outcome {
    FakeFleet::new(scenario, seed).run(END_MS, 3_000).clone()
}

fn is_rolled_back(outcome: &Outcome) -> bool {
    matches!(outcome.phase, Some(Phase::TakenBack { .. }))
}

const STORE_OUTAGE: [(u64, Disruption); 2] = [
    (3_000, Disruption::StoreDown(true)),
    (300_000, Disruption::StoreDown(false)),
];

#[rstest]
fn bad_version_gets_no_requests_soon_after_its_first_fault(
    #[values(
        Defect::Immediate,
        Defect::Delayed,
        Defect::UnderLoad,
        Defect::OneClass,
        Defect::Slow
    )]
    defect: Defect,
    #[values(false, true)] is_store_down: bool,
) {
    // Callers of the new version get failures or slow tokens. An instance must brake it and all
    // must set its share to 0, also while the store is down and although engines of both versions
    // crash. The result is reported once the store is available.
    let disruptions = if is_store_down {
        STORE_OUTAGE.to_vec()
    } else {
        Vec::new()
    };
    // Without the store the rollout stays at its first stage, where only some defects show.
    let shows_early = matches!(defect, Defect::Immediate | Defect::Slow);
    for seed in 0..3 {
        let scenario = Scenario {
            disruptions: disruptions.clone(),
            crash_mtbf_s: 1_200.0,
            ..short_rollout(defect)
        };
        let outcome = run(scenario, seed);
        assert!(is_rolled_back(&outcome), "seed {seed}: {outcome:?}");
        assert_eq!(outcome.false_ending, None, "seed {seed}");
        assert!(
            outcome.overshoot <= 1.0,
            "seed {seed}: {}",
            outcome.overshoot
        );
        if let Some(braked_ms) = outcome.braked_ms {
            let late_ms = outcome.last_sent_ms.saturating_sub(braked_ms);
            assert!(late_ms <= BRAKE_BOUND_MS, "seed {seed}: {late_ms} ms");
        }
        assert!(
            !is_store_down || !shows_early || outcome.ended_ms > 300_000,
            "seed {seed}"
        );
    }
}

#[rstest]
#[case::engines_of_both_versions_crash_often(200.0, Vec::new())]
#[case::all_engines_fail_for_a_while(7_200.0, vec![
    (30_000, Disruption::AllEnginesFail(true)), (36_000, Disruption::AllEnginesFail(false)),
    (85_000, Disruption::AllEnginesFail(true)), (91_000, Disruption::AllEnginesFail(false)),
])]
fn good_version_is_not_braked_for_faults_of_both_versions(
    #[case] crash_mtbf_s: f64,
    #[case] disruptions: Vec<(u64, Disruption)>,
) {
    // Callers of both versions get failures: engines crash and break all their streams, or all
    // engines fail a third of all chunks for some seconds. The new version must not be braked for
    // them.
    for seed in 0..4 {
        let scenario = Scenario {
            crash_mtbf_s,
            disruptions: disruptions.clone(),
            ..short_rollout(Defect::None)
        };
        let outcome = run(scenario, seed);
        assert_eq!(outcome.phase, Some(Phase::Done), "seed {seed}: {outcome:?}");
        assert!(
            outcome.ended_ms <= 150_000,
            "seed {seed}: {}",
            outcome.ended_ms
        );
        assert_eq!(outcome.false_ending, None, "seed {seed}");
    }
}

#[rstest]
fn no_stage_exceeds_its_share_of_all_traffic(
    #[values(None, Some(0), Some(1), Some(2), Some(3), Some(4), Some(5), Some(6))]
    hot_instance: Option<usize>,
) {
    // Half of the callers may use a single instance, which may be one of a few senders. The share
    // of a stage over all instances must still exceed its cap by statistical variation only.
    let caps = [0.1, 0.1, 0.3, 0.6, 0.9, 1.0];
    let scenario = Scenario {
        hot_instance,
        ..short_rollout(Defect::None)
    };
    for (stage, (all, new)) in run(scenario, 0).stages {
        let mean = all as f64 * caps[usize::from(stage)];
        let most = mean + 4.0 * mean.sqrt() + 1.0;
        assert!(new as f64 <= most, "stage {stage}: {new} of {all}");
    }
}

#[rstest]
#[case::isolated(Disruption::Isolate(3, true), Disruption::Isolate(3, false))]
#[case::paused(Disruption::Pause(3, true), Disruption::Pause(3, false))]
fn unreachable_instance_delays_the_report(#[case] begin: Disruption, #[case] end: Disruption) {
    // An unreachable instance still applies an early stage, so "done" would be false. The result
    // must not be reported before the instance is back, even past the deadline.
    for seed in 0..2 {
        let disruptions = vec![(40_000, begin), (200_000, end)];
        let outcome = run(
            Scenario {
                disruptions,
                ..short_rollout(Defect::None)
            },
            seed,
        );
        assert_eq!(outcome.phase, Some(Phase::Done), "seed {seed}");
        assert!(
            outcome.ended_ms > 200_000,
            "seed {seed}: {}",
            outcome.ended_ms
        );
        assert_eq!(outcome.false_ending, None, "seed {seed}");
    }
}

#[test]
fn isolated_instance_brakes_by_its_own_evidence() {
    // The brake of its peers does not reach an isolated instance, which still sends requests to the
    // bad version. It must brake by its own evidence.
    for seed in 0..3 {
        let disruptions = vec![
            (45_000, Disruption::Isolate(3, true)),
            (220_000, Disruption::Isolate(3, false)),
        ];
        let outcome = run(
            Scenario {
                disruptions,
                ..short_rollout(Defect::Delayed)
            },
            seed,
        );
        assert!(
            is_rolled_back(&outcome) && outcome.false_ending.is_none(),
            "seed {seed}: {outcome:?}"
        );
        assert!(
            outcome.last_sent_ms < 200_000,
            "seed {seed}: {}",
            outcome.last_sent_ms
        );
    }
}

#[rstest]
#[case::deadline_in_an_outage(12.0, vec![(60_000, Disruption::StoreDown(true)), (200_000, Disruption::StoreDown(false))], Cause::Deadline)]
#[case::too_few_requests(0.05, Vec::new(), Cause::TooLittleEvidence)]
fn version_without_enough_evidence_by_the_deadline_is_rolled_back(
    #[case] rate: f64,
    #[case] disruptions: Vec<(u64, Disruption)>,
    #[case] cause: Cause,
) {
    // The deadline passes before the final share, because the store is down or there are too few
    // requests. The version must be rolled back with the right cause.
    let outcome = run(
        Scenario {
            rate,
            disruptions,
            ..short_rollout(Defect::None)
        },
        1,
    );
    assert_eq!(outcome.phase, Some(Phase::TakenBack { cause }));
    assert_eq!(outcome.false_ending, None);
}

#[test]
fn later_bundle_supersedes_the_rollout() {
    let disruptions = vec![(30_000, Disruption::Supersede)];
    let outcome = run(
        Scenario {
            disruptions,
            ..short_rollout(Defect::None)
        },
        1,
    );
    assert_eq!(outcome.phase, Some(Phase::Superseded));
}

/// Returns random outages, partitions, pauses and restarts that all end by 200 s.
fn random_disruptions(rng: &mut SmallRng) -> Vec<(u64, Disruption)> {
    let mut disruptions = Vec::new();
    for _ in 0..6 {
        let at = rng.random_range(0..7);
        let start = rng.random_range(0..170_000);
        let end = start + rng.random_range(500..30_000);
        let on_off = match rng.random_range(0..4) {
            0 => [Disruption::StoreDown(true), Disruption::StoreDown(false)],
            1 => [
                Disruption::Isolate(at, true),
                Disruption::Isolate(at, false),
            ],
            2 => [Disruption::Pause(at, true), Disruption::Pause(at, false)],
            _ => [Disruption::Restart(at), Disruption::Restart((at + 1) % 7)],
        };
        disruptions.extend([(start, on_off[0]), (end, on_off[1])]);
    }
    for at in 0..7 {
        disruptions.extend([
            (200_000, Disruption::Isolate(at, false)),
            (200_000, Disruption::Pause(at, false)),
        ]);
    }
    disruptions.push((200_000, Disruption::StoreDown(false)));
    disruptions
}

#[rstest]
#[case::good(Defect::None)]
#[case::bad(Defect::Delayed)]
#[case::bad_under_load(Defect::UnderLoad)]
fn reported_result_is_true_on_all_instances(#[case] defect: Defect) {
    // When "done" or "taken back" is written, it must be true on each instance that serves,
    // although writers crash after their writes, replies are lost, the store has outages, instances
    // are isolated, paused and restarted, and all of them race for the next step.
    for seed in 0..10 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let scenario = Scenario {
            disruptions: random_disruptions(&mut rng),
            lost_reply: 0.3,
            crash_after_write: 0.3,
            ..short_rollout(defect)
        };
        let outcome = run(scenario, seed);
        assert_eq!(outcome.false_ending, None, "seed {seed}");
        assert!(
            outcome.phase.is_some_and(|phase| phase.is_ended()),
            "seed {seed}: no final phase"
        );
        assert!(
            defect == Defect::None || is_rolled_back(&outcome),
            "seed {seed}: {:?}",
            outcome.phase
        );
        assert!(outcome.overshoot <= 1.0, "seed {seed}");
    }
}

#[test]
fn without_the_discount_crashes_would_brake_a_good_version() {
    let config = RolloutConfig {
        stricter_for_single_target: false,
        discount_incidents: false,
        ..RolloutConfig::default()
    };
    let braked = (0..4).filter(|seed| {
        let scenario = Scenario {
            crash_mtbf_s: 200.0,
            strategy: Strategy::Judged(config),
            ..short_rollout(Defect::None)
        };
        is_rolled_back(&run(scenario, *seed))
    });
    assert!(braked.count() > 0);
}
