//! Configuration of rollouts, and findings of a [`Judge`](crate::Judge).

use serde::{Deserialize, Serialize};

use crate::{
    evidence::RequestClass,
    plan::{StageTemplate, STAGE_TEMPLATES},
};

/// Why a version is rolled back.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Cause {
    /// It fails more often than its base.
    Failures,
    /// Its targets crash or hang more often.
    Incidents,
    /// Its first tokens come later.
    FirstToken,
    /// Its later tokens take longer.
    TokenTime,
    /// The deadline passed before the final share.
    Deadline,
    /// The deadline passed with too few requests to judge the version.
    TooLittleEvidence,
}

/// The finding that a version is bad and must be braked.
#[derive(Clone, Debug, PartialEq)]
pub struct Verdict {
    /// Kind of fault.
    pub cause: Cause,
    /// Request class that shows the fault; `None` for all together.
    pub class: Option<RequestClass>,
    /// How many times more likely the evidence is if the version is bad than if it is as good as
    /// its base.
    pub bayes_factor: f64,
}

/// Configuration of the judge and of the stages.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RolloutConfig {
    /// Whether to test each request class separately as well.
    pub per_class: bool,
    /// Whether failures on a single target need twice the evidence.
    pub stricter_for_single_target: bool,
    /// Whether trials cut off by the crash of a target count as one incident instead of as
    /// failures.
    pub discount_incidents: bool,
    /// Shares and durations of the stages.
    pub stage_templates: &'static [StageTemplate],
}

impl Default for RolloutConfig {
    fn default() -> Self {
        Self {
            per_class: true,
            stricter_for_single_target: true,
            discount_incidents: true,
            stage_templates: &STAGE_TEMPLATES,
        }
    }
}

/// Numbers of engines in the bundle.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Engines {
    /// Engines of the candidate.
    pub new: u32,
    /// Engines of the base.
    pub base: u32,
}
