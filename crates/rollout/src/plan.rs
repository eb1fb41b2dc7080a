//! The stages of a rollout, planned back from its deadline.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{share_increase::ShareIncrease, splitter::FULL_SHARE_PPM};

/// The local share that early stages aim at, so that few instances gather evidence quickly.
const LOCAL_PPM: u32 = 250_000;
/// The highest local share of a stage that not all instances take part in.
const MAX_LOCAL_PPM: u32 = 500_000;
/// The most instances that gather evidence; more would not make it quicker, only cost bytes.
pub const MAX_REPORTERS: u32 = 32;
/// The answers that must have begun before a stage may end.
const MIN_ANSWERS: u64 = 20;
/// The least engines of the new version in the first stage, whose load is low anyway, so that one sick
/// engine is told from the version.
const MIN_ENGINES: u32 = 2;
/// The part of the whole that stays with the base while the last stage soaks, to compare with.
const CONTROL_PPM: u32 = 100_000;
/// The time kept back for the last share to act everywhere and for the report.
const CLOSE_RESERVE: Duration = Duration::from_secs(20);
/// The most of the time that is kept back.
const MAX_RESERVE: f64 = 0.4;

/// A share of all traffic on the way and the part of the time spent at it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StageTemplate {
    /// The share, in parts per million.
    pub share_ppm: u32,
    /// The part of the time between the roll and the final share.
    pub time: f64,
}

/// The steps that the measurements in docs/design/rollouts.md chose.
pub const STAGE_TEMPLATES: [StageTemplate; 4] = [
    StageTemplate {
        share_ppm: 20_000,
        time: 0.2,
    },
    StageTemplate {
        share_ppm: 100_000,
        time: 0.35,
    },
    StageTemplate {
        share_ppm: 300_000,
        time: 0.15,
    },
    StageTemplate {
        share_ppm: 600_000,
        time: 0.1,
    },
];

/// One stage of a rollout.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stage {
    /// The most that the version gets of all traffic, in parts per million.
    pub share_ppm: u32,
    /// How many instances send to it; `None` for all.
    pub instances: Option<u32>,
    /// How many engines serve it.
    ///
    /// So few that each bears the load it will bear in the end. A version that fails under load shows
    /// it while its share is still small.
    pub engines: u32,
    /// When the stage may end at the earliest, in milliseconds after the roll.
    pub until_ms: u64,
    /// How many answers must have begun before it ends.
    pub answers: u64,
}

/// What a plan is made for.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlanInput {
    /// The time from the roll to the report.
    pub within: Duration,
    /// The longest time an answer may take.
    pub answer: Duration,
    /// How many instances there are.
    pub instances: u32,
    /// Requests for the model in a second, over all instances.
    pub requests_per_s: f64,
}

/// Plans the stages of a move.
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
/// let demand = PlanInput {
///     within: Duration::from_secs(600),
///     answer: Duration::from_secs(60),
///     instances: 7,
///     requests_per_s: 10.0,
/// };
/// let stages = plan_stages(&change, &demand, &STAGE_TEMPLATES);
/// let shares: Vec<_> = stages.iter().map(|stage| stage.share_ppm / 10_000).collect();
/// assert_eq!(shares, [2, 10, 30, 60, 90, 100]);
/// ```
pub fn plan_stages(
    change: &ShareIncrease,
    demand: &PlanInput,
    steps: &[StageTemplate],
) -> Vec<Stage> {
    let is_whole = change.to_ppm == FULL_SHARE_PPM;
    let drain = if is_whole {
        demand.answer
    } else {
        Duration::ZERO
    };
    let reserve = (CLOSE_RESERVE + drain).min(demand.within.mul_f64(MAX_RESERVE));
    let usable = demand.within - reserve;
    let soak_ppm = if is_whole {
        FULL_SHARE_PPM - CONTROL_PPM
    } else {
        change.to_ppm
    };
    let early = steps
        .iter()
        .filter(|step| change.from_ppm < step.share_ppm && step.share_ppm < soak_ppm);
    let mut shares: Vec<_> = early.copied().collect();
    let spent: f64 = shares.iter().map(|step| step.time).sum();
    shares.push(StageTemplate {
        share_ppm: soak_ppm.max(change.from_ppm),
        time: (1.0 - spent).max(0.0),
    });
    if is_whole {
        shares.push(StageTemplate {
            share_ppm: FULL_SHARE_PPM,
            time: 0.0,
        });
    }
    let mut until = 0.0;
    let mut stages = Vec::new();
    for (at, step) in shares.iter().enumerate() {
        until += step.time;
        let lasts_s = usable.as_secs_f64() * step.time;
        let share_ppm = match at {
            0 if shares.len() > 1 => {
                first_share(step.share_ppm, shares[1].share_ppm, lasts_s, demand)
            }
            _ => step.share_ppm,
        };
        stages.push(Stage {
            share_ppm,
            instances: instances(share_ppm, demand.instances),
            engines: engines(at, share_ppm, change),
            until_ms: usable.mul_f64(until.min(1.0)).as_millis() as u64,
            answers: MIN_ANSWERS * (at as u64 + 1),
        });
    }
    stages
}

/// Returns the local share of an instance that takes part in a stage.
pub fn local_ppm(stage: &Stage, live: u32) -> u32 {
    let Some(count) = stage.instances else {
        return stage.share_ppm;
    };
    let share = u64::from(stage.share_ppm) * u64::from(live) / u64::from(count.max(1));
    share.min(u64::from(MAX_LOCAL_PPM)) as u32
}

/// Raises the first share where so few requests come that the stage would end without evidence.
fn first_share(share_ppm: u32, next_ppm: u32, lasts_s: f64, demand: &PlanInput) -> u32 {
    let requests = (demand.requests_per_s * lasts_s).max(1.0);
    let needed = 1.5 * MIN_ANSWERS as f64 / requests * f64::from(FULL_SHARE_PPM);
    (needed as u32).clamp(share_ppm, next_ppm.max(share_ppm))
}

fn instances(share_ppm: u32, live: u32) -> Option<u32> {
    let wanted = (u64::from(share_ppm) * u64::from(live)).div_ceil(u64::from(LOCAL_PPM)) as u32;
    let count = wanted.clamp(1, MAX_REPORTERS);
    (count < live && share_ppm < LOCAL_PPM).then_some(count)
}

fn engines(stage: usize, share_ppm: u32, change: &ShareIncrease) -> u32 {
    let part = u64::from(change.engines) * u64::from(share_ppm);
    let needed = part.div_ceil(u64::from(change.to_ppm.max(1))) as u32;
    let least = if stage == 0 { MIN_ENGINES } else { 1 };
    needed.max(least).min(change.engines)
}
