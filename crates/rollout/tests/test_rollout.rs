//! Rollouts over a fake fleet: bad versions are kept from traffic, and reports are true.

use celerypond_rollout::{Cause, JudgeConfig, Phase};
use rand::{rngs::SmallRng, Rng, SeedableRng};
use rstest::rstest;

use crate::fake_fleet::{Defect, Disruption, FakeFleet, Outcome, Scenario, Strategy};

const END_MS: u64 = 400_000;
/// How soon after the first brake the last request may go to a bad version.
const BRAKE_BOUND_MS: u64 = 1_000;

/// A rollout in two and a half minutes, with an ordinary crash somewhere every few minutes.
fn quick(defect: Defect) -> Scenario {
    Scenario {
        within_s: 150,
        ..Scenario::holding(defect)
    }
}

fn run(scenario: Scenario, seed: u64) -> Outcome {
    FakeFleet::new(scenario, seed).run(END_MS, 3_000).clone()
}

fn is_taken_back(outcome: &Outcome) -> bool {
    matches!(outcome.phase, Some(Phase::TakenBack { .. }))
}

const STORE_LOST: [(u64, Disruption); 2] = [
    (3_000, Disruption::StoreDown(true)),
    (300_000, Disruption::StoreDown(false)),
];

#[rstest]
fn a_bad_version_gets_no_request_soon_after_its_fault_shows(
    #[values(
        Defect::Immediate,
        Defect::Delayed,
        Defect::UnderLoad,
        Defect::OneClass,
        Defect::Slow
    )]
    defect: Defect,
    #[values(false, true)] is_store_lost: bool,
) {
    // Callers of the new version see failures, or slow tokens. The instances that send to it tell each
    // other what they see; one of them trips the brake and all drop the share, with or without the
    // store. Engines of both versions die meanwhile. The report waits until the store is back.
    let disruptions = if is_store_lost {
        STORE_LOST.to_vec()
    } else {
        Vec::new()
    };
    // Without the store the first stage stays, at which only faults of the first stage can show.
    let shows_early = matches!(defect, Defect::Immediate | Defect::Slow);
    for seed in 0..3 {
        let scenario = Scenario {
            disruptions: disruptions.clone(),
            crash_mtbf_s: 1_200.0,
            ..quick(defect)
        };
        let outcome = run(scenario, seed);
        assert!(is_taken_back(&outcome), "seed {seed}: {outcome:?}");
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
            !is_store_lost || !shows_early || outcome.ended_ms > 300_000,
            "seed {seed}"
        );
    }
}

#[rstest]
#[case::engines_of_both_versions_die_often(200.0, Vec::new())]
#[case::all_engines_fail_for_a_while(7_200.0, vec![
    (30_000, Disruption::AllEnginesFail(true)), (36_000, Disruption::AllEnginesFail(false)),
    (85_000, Disruption::AllEnginesFail(true)), (91_000, Disruption::AllEnginesFail(false)),
])]
fn a_good_version_is_not_blamed_for_what_hits_both(
    #[case] crash_mtbf_s: f64,
    #[case] disruptions: Vec<(u64, Disruption)>,
) {
    // Callers of both versions see failures: one engine takes all its streams along, or all engines
    // fail a third of all chunks for some seconds. The base shows the same in the same window.
    for seed in 0..4 {
        let scenario = Scenario {
            crash_mtbf_s,
            disruptions: disruptions.clone(),
            ..quick(Defect::None)
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
fn no_stage_sends_more_of_all_traffic_to_the_version_than_it_may(
    #[values(None, Some(0), Some(1), Some(2), Some(3), Some(4), Some(5), Some(6))]
    hot_instance: Option<usize>,
) {
    // Callers of all instances together. Half of them may prefer one instance, which may be one of the
    // few that send to the version. Only chance may carry the share of a stage above its cap.
    let caps = [0.1, 0.1, 0.3, 0.6, 0.9, 1.0];
    let scenario = Scenario {
        hot_instance,
        ..quick(Defect::None)
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
fn an_instance_out_of_reach_holds_the_report_back(
    #[case] lost: Disruption,
    #[case] back: Disruption,
) {
    // The operator sees "not yet known" while one instance can't be heard, past the deadline too. It
    // still acts on an early stage; "done" would be false there. The report follows once it is back.
    for seed in 0..2 {
        let disruptions = vec![(40_000, lost), (200_000, back)];
        let outcome = run(
            Scenario {
                disruptions,
                ..quick(Defect::None)
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
fn an_isolated_instance_finds_the_fault_by_itself() {
    // Callers of one instance that hears nobody still see the bad version at the share of its stage.
    // The brake of the others does not reach it; its own evidence must do.
    for seed in 0..3 {
        let disruptions = vec![
            (45_000, Disruption::Isolate(3, true)),
            (220_000, Disruption::Isolate(3, false)),
        ];
        let outcome = run(
            Scenario {
                disruptions,
                ..quick(Defect::Delayed)
            },
            seed,
        );
        assert!(
            is_taken_back(&outcome) && outcome.false_ending.is_none(),
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
#[case::hardly_any_request(0.05, Vec::new(), Cause::TooLittleEvidence)]
fn a_version_that_could_not_be_proved_in_time_is_taken_back(
    #[case] rate: f64,
    #[case] disruptions: Vec<(u64, Disruption)>,
    #[case] cause: Cause,
) {
    // The operator is told that the version was taken back, and why: the deadline came in the middle
    // of the stages, since no step could be written or too few requests came to judge it by.
    let outcome = run(
        Scenario {
            rate,
            disruptions,
            ..quick(Defect::None)
        },
        1,
    );
    assert_eq!(outcome.phase, Some(Phase::TakenBack { cause }));
    assert_eq!(outcome.false_ending, None);
}

#[test]
fn a_later_bundle_ends_the_rollout_as_superseded() {
    let disruptions = vec![(30_000, Disruption::Supersede)];
    let outcome = run(
        Scenario {
            disruptions,
            ..quick(Defect::None)
        },
        1,
    );
    assert_eq!(outcome.phase, Some(Phase::Superseded));
}

/// Outages, partitions, pauses and restarts at random until 200 s, then none.
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
fn each_ending_is_true_everywhere_when_it_is_reported(#[case] defect: Defect) {
    // The operator reads "done" or "taken back" and it holds at every instance that serves. Meanwhile
    // writers die right after their writes, replies are lost, the store has outages, instances are
    // cut off, paused and replaced, and all of them race for the next step.
    for seed in 0..10 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let scenario = Scenario {
            disruptions: random_disruptions(&mut rng),
            lost_reply: 0.3,
            crash_after_write: 0.3,
            ..quick(defect)
        };
        let outcome = run(scenario, seed);
        assert_eq!(outcome.false_ending, None, "seed {seed}");
        assert!(
            outcome.phase.is_some_and(|phase| phase.is_ended()),
            "seed {seed}: no ending"
        );
        assert!(
            defect == Defect::None || is_taken_back(&outcome),
            "seed {seed}: {:?}",
            outcome.phase
        );
        assert!(outcome.overshoot <= 1.0, "seed {seed}");
    }
}

#[test]
fn without_the_discount_ordinary_crashes_would_blame_a_good_version() {
    let config = JudgeConfig {
        spread_over_targets: false,
        discount_incidents: false,
        ..JudgeConfig::default()
    };
    let blamed = (0..4).filter(|seed| {
        let scenario = Scenario {
            crash_mtbf_s: 200.0,
            strategy: Strategy::Judged(config),
            ..quick(Defect::None)
        };
        is_taken_back(&run(scenario, *seed))
    });
    assert!(blamed.count() > 0);
}
