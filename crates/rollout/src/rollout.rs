//! The rollout record in the store and its state transitions, which any instance may write.

use celerypond_types::{InstanceName, ModelName, Revision};
use serde::{Deserialize, Serialize};
use smol_str::{format_smolstr, SmolStr};

use crate::{
    applied_state::AppliedStates,
    brake::Brakes,
    plan::Stage,
    share_increase::{Candidate, ShareIncrease},
    verdict::Cause,
    version_rollout::VersionRollout,
};

/// Returns the store key of a rollout record.
pub fn rollout_key(origin: Revision) -> SmolStr {
    format_smolstr!("rollout/{origin}")
}

/// Returns the rendezvous role that selects senders and evidence reporters.
///
/// Both use the same role, so that the few senders of the early stages are reporters as well.
pub(crate) fn sender_role(origin: Revision, model: &ModelName) -> String {
    format!("sender {origin} {model}")
}

/// Phase of the rollout of one version.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "phase", rename_all = "snake_case")]
pub enum Phase {
    /// The candidate gets the share of a stage.
    Stage {
        /// Index of the stage.
        stage: u8,
    },
    /// All instances apply the final share and are asked to promise not to brake any more.
    Closing,
    /// Completed: all instances applied the final share and the base was drained.
    Done,
    /// The version is being rolled back.
    Braking {
        /// Why it is rolled back.
        cause: Cause,
    },
    /// Rolled back: all instances applied the brake.
    TakenBack {
        /// Why it was rolled back.
        cause: Cause,
    },
    /// A later bundle changed the model.
    Superseded,
}

impl Phase {
    /// Returns whether the phase is final.
    pub fn is_ended(&self) -> bool {
        matches!(self, Self::Done | Self::TakenBack { .. } | Self::Superseded)
    }
}

/// The rollouts that one bundle started; the value of `rollout/<revision>`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rollout {
    /// Revision of the bundle.
    pub origin: Revision,
    /// When the bundle was rolled, as Unix time in milliseconds.
    pub rolled_ms: u64,
    /// Number of writes of the record; of two records, instances keep the one with the higher
    /// number.
    pub step: u64,
    /// Instance that wrote the record last.
    pub by: InstanceName,
    /// Rollouts of the versions.
    #[serde(rename = "moves")]
    pub versions: Vec<VersionRollout>,
}

/// Local knowledge that an instance determines the next step from.
#[derive(Clone, Copy, Debug)]
pub struct StepContext<'a> {
    /// The local instance.
    pub me: &'a InstanceName,
    /// Unix time in milliseconds.
    pub now_ms: u64,
    /// Live instances on the platform's list; `None` if no recent list is available.
    pub live: Option<&'a [InstanceName]>,
    /// State that each instance reports as applied.
    pub applied_states: &'a AppliedStates,
    /// Known brakes.
    pub brakes: &'a Brakes,
}

impl Rollout {
    /// Creates the record of a bundle that has just come into force.
    ///
    /// `increases` lists the share increases with their stages and deadlines (Unix time in
    /// milliseconds).
    pub fn new(
        origin: Revision,
        rolled_ms: u64,
        by: InstanceName,
        increases: Vec<(ShareIncrease, Vec<Stage>, u64)>,
        live: &[InstanceName],
    ) -> Self {
        let start = |(change, stages, deadline_ms)| {
            let mut version = VersionRollout {
                change,
                stages,
                deadline_ms,
                phase: Phase::Stage { stage: 0 },
                since_ms: rolled_ms,
                senders: None,
                local_ppm: 0,
            };
            version.enter_stage(0, origin, live);
            version
        };
        Self {
            origin,
            rolled_ms,
            step: 1,
            by,
            versions: increases.into_iter().map(start).collect(),
        }
    }

    /// Returns the record after the next step, or `None` if no step is due.
    ///
    /// `answers` returns how many answers of a version have begun, `objection` the fault that this
    /// instance detected after it had promised not to brake, and `superseded` whether a later
    /// bundle changed the model. The caller writes the result on condition that the stored record
    /// has not changed; if another instance was first, it reads the record and calls this again.
    pub fn next_step(
        &self,
        context: &StepContext<'_>,
        answers: impl Fn(&Candidate) -> u64,
        objection: impl Fn(&Candidate) -> Option<Cause>,
        superseded: impl Fn(&Candidate) -> bool,
    ) -> Option<Self> {
        let mut next = self.clone();
        for version in &mut next.versions {
            let candidate = version.change.candidate.clone();
            if version.phase.is_ended() {
                continue;
            }
            if superseded(&candidate) {
                version.set_phase(Phase::Superseded, context.now_ms);
                continue;
            }
            let cause = context
                .brakes
                .cause(self.origin, &candidate)
                .or(objection(&candidate));
            version.advance(
                self.origin,
                self.rolled_ms,
                context,
                cause,
                answers(&candidate),
            );
        }
        if next == *self {
            return None;
        }
        next.step += 1;
        next.by = context.me.clone();
        Some(next)
    }

    /// Returns the rollout of a version.
    pub fn find(&self, candidate: &Candidate) -> Option<&VersionRollout> {
        self.versions
            .iter()
            .find(|version| version.change.candidate == *candidate)
    }
}
