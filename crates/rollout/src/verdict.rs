//! What a judge is asked and what it says.

use serde::{Deserialize, Serialize};

use crate::{
    evidence::RequestClass,
    plan::{StageTemplate, STAGE_TEMPLATES},
};

/// What a version is blamed for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Cause {
    /// It fails more often than its base.
    Failures,
    /// Its targets die or hang more often.
    Incidents,
    /// Its first tokens come later.
    FirstToken,
    /// Its later tokens come more slowly.
    TokenTime,
    /// The deadline came before the final share.
    Deadline,
    /// Too few requests came to judge it by.
    TooLittleEvidence,
}

/// Why the brake is to be tripped.
#[derive(Clone, Debug, PartialEq)]
pub struct Verdict {
    /// What the version is blamed for.
    pub cause: Cause,
    /// On which route, if not overall.
    pub class: Option<RequestClass>,
    /// How much likelier the evidence is of a bad version than of one as good as its base.
    pub bayes_factor: f64,
}

/// How the test is done; the default is what the measurements chose.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct JudgeConfig {
    /// Whether each route is tested on its own as well.
    pub per_class: bool,
    /// Whether failures on one target only need twice the evidence.
    pub spread_over_targets: bool,
    /// Whether what the death of a target cuts off counts as one incident.
    pub discount_incidents: bool,
    /// The steps of the stages.
    pub stage_templates: &'static [StageTemplate],
}

impl Default for JudgeConfig {
    fn default() -> Self {
        Self {
            per_class: true,
            spread_over_targets: true,
            discount_incidents: true,
            stage_templates: &STAGE_TEMPLATES,
        }
    }
}

/// How many engines the bundle names.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Engines {
    /// Of the new version.
    pub new: u32,
    /// Of its base.
    pub base: u32,
}
