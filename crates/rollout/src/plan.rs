//! Planning of the stages of a rollout within its deadline.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{share_increase::ShareIncrease, splitter::FULL_SHARE_PPM};

/// Local share that early stages aim at, so that a few instances collect evidence quickly.
const TARGET_LOCAL_PPM: u32 = 250_000;
/// Maximum local share of a stage in which not all instances are senders.
const MAX_LOCAL_PPM: u32 = 500_000;
/// Maximum number of instances that report evidence; more would cost bytes without being faster.
pub const MAX_REPORTERS: u32 = 32;
/// Answers that must have begun before the first stage may end; each later stage needs as many
/// more.
const MIN_ANSWERS: u64 = 20;
/// Minimum number of engines of the candidate in the first stage, so that a fault of one engine can
/// be distinguished from a fault of the version. The load of the first stage is low anyway.
const MIN_ENGINES: u32 = 2;
/// Share that the base keeps as control group during the last stage before the final share.
const CONTROL_PPM: u32 = 100_000;
/// Time reserved for all instances to apply the final share and for the report.
const FINAL_RESERVE: Duration = Duration::from_secs(20);
/// Maximum fraction of the rollout time that is reserved.
const MAX_RESERVED_FRACTION: f64 = 0.4;

/// Share and duration of an intermediate stage.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StageTemplate {
    /// Share of all traffic, in parts per million.
    pub share_ppm: u32,
    /// Duration as a fraction of the time between the roll and the final share.
    pub time_fraction: f64,
}

/// Default intermediate stages. More than half of the time is spent at shares of 10 % or less, where
/// a bad version reaches few requests.
pub const STAGE_TEMPLATES: [StageTemplate; 4] = [
    StageTemplate {
        share_ppm: 20_000,
        time_fraction: 0.2,
    },
    StageTemplate {
        share_ppm: 100_000,
        time_fraction: 0.35,
    },
    StageTemplate {
        share_ppm: 300_000,
        time_fraction: 0.15,
    },
    StageTemplate {
        share_ppm: 600_000,
        time_fraction: 0.1,
    },
];

/// One stage of a rollout.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stage {
    /// Maximum share of all traffic that the candidate gets, in parts per million.
    pub share_ppm: u32,
    /// Number of instances that send traffic to the candidate; `None` for all.
    pub instances: Option<u32>,
    /// Number of engines that serve the candidate.
    ///
    /// It grows with the share, so that each engine has its final load from the start and a version
    /// that fails under load fails while its share is still small.
    pub engines: u32,
    /// Earliest end of the stage, in milliseconds after the roll.
    pub until_ms: u64,
    /// Number of answers that must have begun before the stage may end.
    pub answers: u64,
}

/// Requirements for the plan of a rollout.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlanInput {
    /// Time from the roll to the report.
    pub rollout_time: Duration,
    /// Maximum time of an answer.
    pub answer_time: Duration,
    /// Number of instances.
    pub instances: u32,
    /// Requests per second for the model, over all instances.
    pub requests_per_s: f64,
}

/// Plans the stages of a share increase.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// use celerypond_rollout::{Candidate, PlanInput, ShareIncrease, STAGE_TEMPLATES, plan_stages};
///
/// let change = ShareIncrease {
///     candidate: Candidate { model: "draft".into(), version: "v2".into() },
///     base: "v1".into(),
///     from_ppm: 0,
///     to_ppm: 1_000_000,
///     engines: 10,
/// };
/// let input = PlanInput {
///     rollout_time: Duration::from_secs(600),
///     answer_time: Duration::from_secs(60),
///     instances: 7,
///     requests_per_s: 10.0,
/// };
/// let stages = plan_stages(&change, &input, &STAGE_TEMPLATES);
/// let shares: Vec<_> = stages.iter().map(|stage| stage.share_ppm / 10_000).collect();
/// assert_eq!(shares, [2, 10, 30, 60, 90, 100]);
/// ```
pub fn plan_stages(
    change: &ShareIncrease,
    input: &PlanInput,
    steps: &[StageTemplate],
) -> Vec<Stage> {
    let is_whole = change.to_ppm == FULL_SHARE_PPM;
    let drain = if is_whole {
        input.answer_time
    } else {
        Duration::ZERO
    };
    let reserve = (FINAL_RESERVE + drain).min(input.rollout_time.mul_f64(MAX_RESERVED_FRACTION));
    let usable = input.rollout_time - reserve;
    let last_ppm = if is_whole {
        FULL_SHARE_PPM - CONTROL_PPM
    } else {
        change.to_ppm
    };
    let early = steps
        .iter()
        .filter(|step| change.from_ppm < step.share_ppm && step.share_ppm < last_ppm);
    let mut shares: Vec<_> = early.copied().collect();
    let spent: f64 = shares.iter().map(|step| step.time_fraction).sum();
    shares.push(StageTemplate {
        share_ppm: last_ppm.max(change.from_ppm),
        time_fraction: (1.0 - spent).max(0.0),
    });
    if is_whole {
        shares.push(StageTemplate {
            share_ppm: FULL_SHARE_PPM,
            time_fraction: 0.0,
        });
    }
    let mut until = 0.0;
    let mut stages = Vec::new();
    for (at, step) in shares.iter().enumerate() {
        until += step.time_fraction;
        let duration_s = usable.as_secs_f64() * step.time_fraction;
        let share_ppm = match at {
            0 if shares.len() > 1 => {
                first_stage_share(step.share_ppm, shares[1].share_ppm, duration_s, input)
            }
            _ => step.share_ppm,
        };
        stages.push(Stage {
            share_ppm,
            instances: sender_count(share_ppm, input.instances),
            engines: engine_count(at, share_ppm, change),
            until_ms: usable.mul_f64(until.min(1.0)).as_millis() as u64,
            answers: MIN_ANSWERS * (at as u64 + 1),
        });
    }
    stages
}

/// Returns the local share of a sender in a stage.
pub fn local_ppm(stage: &Stage, live: u32) -> u32 {
    let Some(count) = stage.instances else {
        return stage.share_ppm;
    };
    let share = u64::from(stage.share_ppm) * u64::from(live) / u64::from(count.max(1));
    share.min(u64::from(MAX_LOCAL_PPM)) as u32
}

/// Raises the share of the first stage where requests are too rare to give enough evidence.
fn first_stage_share(share_ppm: u32, next_ppm: u32, duration_s: f64, input: &PlanInput) -> u32 {
    let requests = (input.requests_per_s * duration_s).max(1.0);
    let needed = 1.5 * MIN_ANSWERS as f64 / requests * f64::from(FULL_SHARE_PPM);
    (needed as u32).clamp(share_ppm, next_ppm.max(share_ppm))
}

fn sender_count(share_ppm: u32, live: u32) -> Option<u32> {
    let wanted =
        (u64::from(share_ppm) * u64::from(live)).div_ceil(u64::from(TARGET_LOCAL_PPM)) as u32;
    let count = wanted.clamp(1, MAX_REPORTERS);
    (count < live && share_ppm < TARGET_LOCAL_PPM).then_some(count)
}

fn engine_count(stage: usize, share_ppm: u32, change: &ShareIncrease) -> u32 {
    let part = u64::from(change.engines) * u64::from(share_ppm);
    let needed = part.div_ceil(u64::from(change.to_ppm.max(1))) as u32;
    let least = if stage == 0 { MIN_ENGINES } else { 1 };
    needed.max(least).min(change.engines)
}
