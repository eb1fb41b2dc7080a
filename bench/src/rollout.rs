//! Benchmarks of the `rollout` crate: whether good versions are rolled out by the deadline and bad
//! ones rolled back.
//!
//! The fake fleet is shared with the tests of the crate.

#[expect(dead_code, reason = "The tests of the crate use more of it.")]
#[path = "../../crates/rollout/tests/fake_fleet.rs"]
mod fake_fleet;
#[expect(dead_code, reason = "The tests of the crate use more of it.")]
#[path = "../../crates/rollout/tests/fake_store.rs"]
mod fake_store;

use std::{collections::BTreeMap, thread, time::Instant};

use celerypond_rollout::{
    ModelPart, Phase, RequestClass, RolloutConfig, RolloutController, ShareIncrease, Trial,
    FULL_SHARE_PPM,
};
use celerypond_types::InstanceName;

use self::fake_fleet::{Defect, Disruption, FakeFleet, Outcome, Scenario, Strategy};
use crate::table::Row;

const DEFECTS: [(Defect, &str); 6] = [
    (Defect::None, "good"),
    (Defect::Immediate, "fails at once"),
    (Defect::Delayed, "fails after minutes"),
    (Defect::UnderLoad, "fails under load"),
    (Defect::OneClass, "fails on one route"),
    (Defect::Slow, "slow"),
];
const THREADS: u64 = 4;
/// The virtual time after which a run is given up.
const RUN_LIMIT_MS: u64 = 900_000;
/// How long a run continues after the rollout has ended.
const RUN_AFTER_END_MS: u64 = 3_000;

/// Runs the benchmarks.
pub(crate) fn run(seeds: u64) -> Vec<Row> {
    let config = RolloutConfig::default();
    let all_defects = DEFECTS.map(|(defect, _)| defect);
    let pooled = RolloutConfig {
        per_class: false,
        ..config
    };
    let every_crash_counted = RolloutConfig {
        stricter_for_single_target: false,
        discount_incidents: false,
        ..config
    };
    // A baseline is run only on the defects for which its result can differ.
    let policies: [(&str, Strategy, &[Defect]); 4] = [
        ("celerypond", Strategy::Judged(config), &all_defects),
        (
            "baseline: pooled routes",
            Strategy::Judged(pooled),
            &[Defect::None, Defect::OneClass],
        ),
        (
            "baseline: crashes in full",
            Strategy::Judged(every_crash_counted),
            &[Defect::None],
        ),
        (
            "baseline: fixed steps",
            Strategy::FixedThreshold,
            &all_defects,
        ),
    ];
    let mut rows = Vec::new();
    for (deployment, scenario) in [("Holding", holding()), ("Harrowgate", harrowgate())] {
        for (label, strategy, defects) in policies {
            for (defect, name) in DEFECTS {
                if !defects.contains(&defect) {
                    continue;
                }
                let scenario = Scenario {
                    defect,
                    strategy,
                    tracks_detectability: label == "celerypond",
                    ..scenario.clone()
                };
                let outcomes = run_scenario(&scenario, seeds);
                rows.extend(outcome_rows(
                    &format!("{deployment}, {name}: {label}"),
                    defect,
                    &outcomes,
                ));
            }
        }
        let all_engines_failing = [
            (200_000, Disruption::AllEnginesFail(true)),
            (215_000, Disruption::AllEnginesFail(false)),
            (480_000, Disruption::AllEnginesFail(true)),
            (490_000, Disruption::AllEnginesFail(false)),
        ];
        let scenario = Scenario {
            disruptions: all_engines_failing.to_vec(),
            ..scenario
        };
        let outcomes = run_scenario(&scenario, seeds);
        rows.extend(outcome_rows(
            &format!("{deployment}, good, all engines failing twice: celerypond"),
            Defect::None,
            &outcomes,
        ));
    }
    rows.extend([7, 50, 200, 900].into_iter().flat_map(evidence_rows));
    rows
}

/// 20 engines, 7 instances, 12 requests per second.
fn holding() -> Scenario {
    Scenario::holding(Defect::None)
}

/// 35 engines, 7 instances, 20 requests per second.
fn harrowgate() -> Scenario {
    Scenario {
        base_engines: 18,
        new_engines: 17,
        rate: 20.0,
        ..Scenario::holding(Defect::None)
    }
}

/// Runs a scenario with each seed, on several threads.
fn run_scenario(scenario: &Scenario, seeds: u64) -> Vec<Outcome> {
    let run_thread = |thread: u64| {
        let seeds = (thread..seeds).step_by(THREADS as usize);
        let run = |seed| {
            FakeFleet::new(scenario.clone(), seed)
                .run(RUN_LIMIT_MS, RUN_AFTER_END_MS)
                .clone()
        };
        seeds.map(run).collect::<Vec<_>>()
    };
    thread::scope(|scope| {
        let threads: Vec<_> = (0..THREADS)
            .map(|thread| scope.spawn(move || run_thread(thread)))
            .collect();
        threads
            .into_iter()
            .flat_map(|thread| thread.join().unwrap_or_default())
            .collect()
    })
}

/// Summarizes the outcomes of a scenario in rows.
fn outcome_rows(label: &str, defect: Defect, outcomes: &[Outcome]) -> Vec<Row> {
    let is_good = defect == Defect::None;
    let is_expected_end = |outcome: &Outcome| match outcome.phase {
        Some(Phase::Done) => is_good,
        Some(Phase::TakenBack { .. }) => !is_good,
        _ => false,
    };
    let values_of =
        |value: &dyn Fn(&Outcome) -> f64| outcomes.iter().map(value).collect::<Vec<_>>();
    let mean = |values: Vec<f64>| values.iter().sum::<f64>() / values.len() as f64;
    let expected_share = mean(values_of(&|outcome| {
        f64::from(u8::from(is_expected_end(outcome)))
    }));
    let false_share = mean(values_of(&|outcome| {
        f64::from(u8::from(outcome.false_ending.is_some()))
    }));
    let samples = outcomes.len() as u64;
    let share_row = |measure, share| Row {
        measure,
        way: label.to_owned(),
        unit: "%",
        median: 100.0 * share,
        p99: 100.0 * share,
        samples,
    };
    let mut rows = vec![
        share_row("rollout: right ending", expected_share),
        share_row("rollout: untrue report", false_share),
    ];
    if is_good {
        let end_s = values_of(&|outcome| outcome.ended_ms as f64 / 1e3);
        rows.push(Row::of("rollout: time to report", label, "s", end_s));
        let bytes = values_of(&|outcome| outcome.report_bytes as f64 / 7.0);
        rows.push(Row::of(
            "rollout: report, per instance",
            label,
            "bytes of JSON",
            bytes,
        ));
        return rows;
    }
    let seconds_between =
        |from: Option<u64>, to: u64| from.map_or(0.0, |from| to.saturating_sub(from) as f64 / 1e3);
    let fault_to_last_s =
        values_of(&|outcome| seconds_between(outcome.first_fault_ms, outcome.last_sent_ms));
    let detectable_to_last_s =
        values_of(&|outcome| seconds_between(outcome.detectable_ms, outcome.last_sent_ms));
    let sent_after_fault = values_of(&|outcome| outcome.sent_after_first_fault as f64);
    let faulty = values_of(&|outcome| outcome.faulty_requests as f64);
    let sent_after_detectable = values_of(&|outcome| outcome.sent_after_detectable as f64);
    rows.push(Row::of(
        "rollout: first fault to last sent",
        label,
        "s",
        fault_to_last_s,
    ));
    rows.push(Row::of(
        "rollout: sent after first fault",
        label,
        "requests",
        sent_after_fault,
    ));
    rows.push(Row::of(
        "rollout: hit by the fault",
        label,
        "requests",
        faulty,
    ));
    rows.push(Row::of(
        "rollout: provable to last sent",
        label,
        "s",
        detectable_to_last_s,
    ));
    rows.push(Row::of(
        "rollout: sent after provable",
        label,
        "requests",
        sent_after_detectable,
    ));
    rows
}

/// Measures the size of a rollout's evidence in gossip and the time to evaluate it, when all
/// instances send requests.
fn evidence_rows(instances: usize) -> Vec<Row> {
    let names: Vec<_> = (0..instances)
        .map(|index| InstanceName::new(format!("i{index}")))
        .collect();
    let scenario = holding();
    let models = [scenario.model()];
    let increase = ShareIncrease {
        candidate: fake_fleet::candidate(),
        base: "v1".into(),
        from_ppm: 0,
        to_ppm: FULL_SHARE_PPM,
        engines: 10,
    };
    let model_part = ModelPart {
        origin: fake_fleet::ORIGIN,
        rolled_ms: 0,
        increases: vec![increase],
    };
    let controller = |name: &InstanceName| {
        let mut controller = RolloutController::new(name.clone(), 1, RolloutConfig::default());
        controller.set_live(&names);
        controller.set_parts(BTreeMap::from([(
            models[0].name.clone(),
            model_part.clone(),
        )]));
        controller
    };
    let mut evaluating = controller(&names[0]);
    let mut rollout = evaluating.due_records(&models, |_| 10.0, true, 0).remove(0);
    rollout.versions[0].senders = None;
    let reports: Vec<_> = names
        .iter()
        .flat_map(|name| {
            let mut controller = controller(name);
            controller.merge_rollout(rollout.clone());
            record_trials(&mut controller);
            controller.own_reports().cloned().collect::<Vec<_>>()
        })
        .collect();
    let bytes: usize = reports
        .iter()
        .map(|report| serde_json::to_vec(report).map_or(0, |json| json.len()))
        .sum();
    evaluating.merge_rollout(rollout);
    for report in reports {
        evaluating.merge_report(report);
    }
    let evaluation_us = |now_ms| {
        let start = Instant::now();
        evaluating.evaluate(|_| 10, now_ms);
        start.elapsed().as_secs_f64() * 1e6
    };
    let times = (0..50).map(evaluation_us).collect();
    let label = format!("{instances} instances");
    vec![
        Row::of(
            "rollout: evidence of a rollout",
            label.clone(),
            "bytes of JSON",
            vec![bytes as f64],
        ),
        Row::of("rollout: weighing it once", label, "us", times),
    ]
}

/// Records a thousand successful trials for each of two versions and three request classes.
fn record_trials(controller: &mut RolloutController) {
    for trial_index in 0..6_000_u64 {
        let version = if trial_index % 2 == 0 { "v1" } else { "v2" };
        let class = ["draft", "letter", "drawing"][trial_index as usize / 2 % 3];
        let trial = Trial {
            model: "draft".into(),
            version: version.into(),
            class: RequestClass(class.into()),
            target: version.into(),
            is_first: trial_index % 8 < 2,
            begun_ms: trial_index,
        };
        controller.record_sent(&trial);
        controller.record_success(&trial, 20_000 + trial_index * 37 % 60_000);
    }
}
