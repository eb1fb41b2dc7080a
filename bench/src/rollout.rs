//! Measures of the `rollout` crate: good versions done by the deadline, bad ones taken back.
//!
//! The fake fleet is the one that the crate's tests use.

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
const END_MS: u64 = 900_000;
const AFTER_MS: u64 = 3_000;

/// Takes the measures.
pub(crate) fn run(seeds: u64) -> Vec<Row> {
    let config = RolloutConfig::default();
    let all = DEFECTS.map(|(defect, _)| defect);
    let pooled = RolloutConfig {
        per_class: false,
        ..config
    };
    let counted = RolloutConfig {
        stricter_for_single_target: false,
        discount_incidents: false,
        ..config
    };
    // A baseline is run on the defects that it can differ on.
    let ways: [(&str, Strategy, &[Defect]); 4] = [
        ("celerypond", Strategy::Judged(config), &all),
        (
            "baseline: pooled routes",
            Strategy::Judged(pooled),
            &[Defect::None, Defect::OneClass],
        ),
        (
            "baseline: crashes in full",
            Strategy::Judged(counted),
            &[Defect::None],
        ),
        ("baseline: fixed steps", Strategy::FixedThreshold, &all),
    ];
    let mut rows = Vec::new();
    for (deployment, scenario) in [("Holding", holding()), ("Harrowgate", harrowgate())] {
        for (way, config, defects) in ways {
            for (defect, name) in DEFECTS {
                if !defects.contains(&defect) {
                    continue;
                }
                let scenario = Scenario {
                    defect,
                    strategy: config,
                    tracks_detectability: way == "celerypond",
                    ..scenario.clone()
                };
                let outcomes = outcomes(&scenario, seeds);
                rows.extend(report(
                    &format!("{deployment}, {name}: {way}"),
                    defect,
                    &outcomes,
                ));
            }
        }
        let general = [
            (200_000, Disruption::AllEnginesFail(true)),
            (215_000, Disruption::AllEnginesFail(false)),
            (480_000, Disruption::AllEnginesFail(true)),
            (490_000, Disruption::AllEnginesFail(false)),
        ];
        let scenario = Scenario {
            disruptions: general.to_vec(),
            ..scenario
        };
        let outcomes = outcomes(&scenario, seeds);
        rows.extend(report(
            &format!("{deployment}, good, all engines failing twice: celerypond"),
            Defect::None,
            &outcomes,
        ));
    }
    rows.extend([7, 50, 200, 900].into_iter().flat_map(evidence));
    rows
}

/// 20 engines, 7 instances, 12 requests a second.
fn holding() -> Scenario {
    Scenario::holding(Defect::None)
}

/// 35 engines, 7 instances, 20 requests a second.
fn harrowgate() -> Scenario {
    Scenario {
        base_engines: 18,
        new_engines: 17,
        rate: 20.0,
        ..Scenario::holding(Defect::None)
    }
}

fn outcomes(scenario: &Scenario, seeds: u64) -> Vec<Outcome> {
    let part = |first: u64| {
        let seeds = (first..seeds).step_by(THREADS as usize);
        let run = |seed| {
            FakeFleet::new(scenario.clone(), seed)
                .run(END_MS, AFTER_MS)
                .clone()
        };
        seeds.map(run).collect::<Vec<_>>()
    };
    thread::scope(|scope| {
        let parts: Vec<_> = (0..THREADS)
            .map(|first| scope.spawn(move || part(first)))
            .collect();
        parts
            .into_iter()
            .flat_map(|part| part.join().unwrap_or_default())
            .collect()
    })
}

fn report(way: &str, defect: Defect, outcomes: &[Outcome]) -> Vec<Row> {
    let is_good = defect == Defect::None;
    let is_right = |outcome: &Outcome| match outcome.phase {
        Some(Phase::Done) => is_good,
        Some(Phase::TakenBack { .. }) => !is_good,
        _ => false,
    };
    let of = |value: &dyn Fn(&Outcome) -> f64| outcomes.iter().map(value).collect::<Vec<_>>();
    let mean = |values: Vec<f64>| values.iter().sum::<f64>() / values.len() as f64;
    let right = mean(of(&|outcome| f64::from(u8::from(is_right(outcome)))));
    let lies = mean(of(&|outcome| {
        f64::from(u8::from(outcome.false_ending.is_some()))
    }));
    let count = outcomes.len() as u64;
    let single = |measure, value| Row {
        measure,
        way: way.to_owned(),
        unit: "%",
        median: 100.0 * value,
        p99: 100.0 * value,
        samples: count,
    };
    let mut rows = vec![
        single("rollout: right ending", right),
        single("rollout: untrue report", lies),
    ];
    if is_good {
        let ended = of(&|outcome| outcome.ended_ms as f64 / 1e3);
        rows.push(Row::of("rollout: time to report", way, "s", ended));
        let bytes = of(&|outcome| outcome.report_bytes as f64 / 7.0);
        rows.push(Row::of(
            "rollout: report, per instance",
            way,
            "bytes of JSON",
            bytes,
        ));
        return rows;
    }
    let span =
        |from: Option<u64>, to: u64| from.map_or(0.0, |from| to.saturating_sub(from) as f64 / 1e3);
    let shown = of(&|outcome| span(outcome.first_fault_ms, outcome.last_sent_ms));
    let proved = of(&|outcome| span(outcome.detectable_ms, outcome.last_sent_ms));
    let sent = of(&|outcome| outcome.sent_after_first_fault as f64);
    let harmed = of(&|outcome| outcome.faulty_requests as f64);
    let late = of(&|outcome| outcome.sent_after_detectable as f64);
    rows.push(Row::of(
        "rollout: first fault to last sent",
        way,
        "s",
        shown,
    ));
    rows.push(Row::of(
        "rollout: sent after first fault",
        way,
        "requests",
        sent,
    ));
    rows.push(Row::of(
        "rollout: hit by the fault",
        way,
        "requests",
        harmed,
    ));
    rows.push(Row::of("rollout: provable to last sent", way, "s", proved));
    rows.push(Row::of(
        "rollout: sent after provable",
        way,
        "requests",
        late,
    ));
    rows
}

/// What evidence takes in gossip and to weigh, at a number of instances that all send.
fn evidence(instances: usize) -> Vec<Row> {
    let names: Vec<_> = (0..instances)
        .map(|at| InstanceName::new(format!("i{at}")))
        .collect();
    let scenario = holding();
    let models = [scenario.model()];
    let change = ShareIncrease {
        candidate: fake_fleet::candidate(),
        base: "v1".into(),
        from_ppm: 0,
        to_ppm: FULL_SHARE_PPM,
        engines: 10,
    };
    let part = ModelPart {
        origin: fake_fleet::ORIGIN,
        rolled_ms: 0,
        increases: vec![change],
    };
    let controller = |name: &InstanceName| {
        let mut controller = RolloutController::new(name.clone(), 1, RolloutConfig::default());
        controller.set_live(&names);
        controller.set_parts(BTreeMap::from([(models[0].name.clone(), part.clone())]));
        controller
    };
    let mut first = controller(&names[0]);
    let mut rollout = first.due_records(&models, |_| 10.0, true, 0).remove(0);
    rollout.versions[0].senders = None;
    let reports: Vec<_> = names
        .iter()
        .flat_map(|name| {
            let mut controller = controller(name);
            controller.merge_rollout(rollout.clone());
            observe(&mut controller);
            controller.own_reports().cloned().collect::<Vec<_>>()
        })
        .collect();
    let bytes: usize = reports
        .iter()
        .map(|report| serde_json::to_vec(report).map_or(0, |json| json.len()))
        .sum();
    first.merge_rollout(rollout);
    for report in reports {
        first.merge_report(report);
    }
    let weigh = |now_ms| {
        let start = Instant::now();
        first.evaluate(|_| 10, now_ms);
        start.elapsed().as_secs_f64() * 1e6
    };
    let times = (0..50).map(weigh).collect();
    let way = format!("{instances} instances");
    vec![
        Row::of(
            "rollout: evidence of a rollout",
            way.clone(),
            "bytes of JSON",
            vec![bytes as f64],
        ),
        Row::of("rollout: weighing it once", way, "us", times),
    ]
}

/// Feeds an instance a thousand trials of each version on three routes.
fn observe(controller: &mut RolloutController) {
    for at in 0..6_000_u64 {
        let version = if at % 2 == 0 { "v1" } else { "v2" };
        let class = ["draft", "letter", "drawing"][at as usize / 2 % 3];
        let trial = Trial {
            model: "draft".into(),
            version: version.into(),
            class: RequestClass(class.into()),
            target: version.into(),
            is_first: at % 8 < 2,
            begun_ms: at,
        };
        controller.record_sent(&trial);
        controller.record_success(&trial, 20_000 + at * 37 % 60_000);
    }
}
