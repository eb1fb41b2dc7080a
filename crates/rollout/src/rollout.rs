//! The record of a rollout in the store and the steps that any instance may make it take.

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

/// Returns the key of a rollout's record.
pub fn rollout_key(origin: Revision) -> SmolStr {
    format_smolstr!("rollout/{origin}")
}

/// Returns the role by which senders and evidence_reporters are ranked.
///
/// It is one role, so that the few senders of the early stages are evidence_reporters as well.
pub(crate) fn sender_role(origin: Revision, model: &ModelName) -> String {
    format!("sender {origin} {model}")
}

/// How far the rollout of one version has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "phase", rename_all = "snake_case")]
pub enum Phase {
    /// At a stage, from 0.
    Stage {
        /// The stage.
        stage: u8,
    },
    /// At the final share; all instances are asked to promise not to trip the brake.
    Closing,
    /// Finished: all acted on the final share and the base was drained.
    Done,
    /// Being taken back.
    Braking {
        /// What the version is blamed for.
        cause: Cause,
    },
    /// Taken back: all had the brake in force.
    TakenBack {
        /// What the version is blamed for.
        cause: Cause,
    },
    /// Replaced by a later bundle.
    Superseded,
}

impl Phase {
    /// Returns whether no further step follows.
    pub fn is_ended(&self) -> bool {
        matches!(self, Self::Done | Self::TakenBack { .. } | Self::Superseded)
    }
}

/// The rollouts that one bundle began; the value of `rollout/<revision>`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rollout {
    /// The revision of the bundle.
    pub origin: Revision,
    /// When it was rolled, as wall clock in milliseconds since 1970.
    pub rolled_ms: u64,
    /// Counts the steps; instances merge records by maximum.
    pub step: u64,
    /// The instance that made the last step.
    pub by: InstanceName,
    /// The versions.
    pub moves: Vec<VersionRollout>,
}

/// What an instance knows when it looks for the next step.
#[derive(Clone, Copy, Debug)]
pub struct StepContext<'a> {
    /// The instance.
    pub me: &'a InstanceName,
    /// The wall clock in milliseconds since 1970.
    pub now_ms: u64,
    /// The live instances by the platform's list; `None` when the list can't be had.
    pub live: Option<&'a [InstanceName]>,
    /// What instances say they act on.
    pub applied_states: &'a AppliedStates,
    /// The brakes known.
    pub brakes: &'a Brakes,
}

impl Rollout {
    /// Makes the record of a bundle that has just come into force.
    pub fn new(
        origin: Revision,
        rolled_ms: u64,
        by: InstanceName,
        moves: Vec<(ShareIncrease, Vec<Stage>, u64)>,
        live: &[InstanceName],
    ) -> Self {
        let record = |(change, stages, deadline_ms)| {
            let mut record = VersionRollout {
                change,
                stages,
                deadline_ms,
                phase: Phase::Stage { stage: 0 },
                since_ms: rolled_ms,
                senders: None,
                local_ppm: 0,
            };
            record.enter_stage(0, origin, live);
            record
        };
        Self {
            origin,
            rolled_ms,
            step: 1,
            by,
            moves: moves.into_iter().map(record).collect(),
        }
    }

    /// Returns the record after the next step, if one is due.
    ///
    /// `answers` gives how many answers of a version have begun, `objection` the fault that this
    /// instance sees but has promised not to brake for, and `superseded` whether a later bundle has
    /// another part for the model. The caller writes the result under the condition that the record
    /// has not changed; whoever loses that race just looks again.
    pub fn next_step(
        &self,
        context: &StepContext<'_>,
        answers: impl Fn(&Candidate) -> u64,
        objection: impl Fn(&Candidate) -> Option<Cause>,
        superseded: impl Fn(&Candidate) -> bool,
    ) -> Option<Self> {
        let mut next = self.clone();
        for record in &mut next.moves {
            let candidate = record.change.candidate.clone();
            if record.phase.is_ended() {
                continue;
            }
            if superseded(&candidate) {
                record.set_phase(Phase::Superseded, context.now_ms);
                continue;
            }
            let cause = context
                .brakes
                .cause(self.origin, &candidate)
                .or(objection(&candidate));
            record.advance(
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

    /// Finds the rollout of a version.
    pub fn find(&self, candidate: &Candidate) -> Option<&VersionRollout> {
        self.moves
            .iter()
            .find(|record| record.change.candidate == *candidate)
    }
}
