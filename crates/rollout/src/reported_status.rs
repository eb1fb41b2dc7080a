//! Rollout status as reported to operators.

use celerypond_types::Revision;
use serde::{Deserialize, Serialize};

use crate::{
    applied_state::Coverage,
    rollout::{Phase, StepContext},
    verdict::Cause,
    version_rollout::VersionRollout,
};

/// Status of a rollout as reported to operators; it never claims more than the store has recorded.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "state", rename_all = "snake_case")]
pub enum ReportedStatus {
    /// The rollout is at a stage and before its deadline.
    Running {
        /// Index of the stage.
        stage: u8,
        /// Share of the stage, in parts per million.
        share_ppm: u32,
    },
    /// All live instances applied the final share and the base was drained.
    Done,
    /// All live instances applied the brake.
    TakenBack {
        /// Why the version was rolled back.
        cause: Cause,
    },
    /// A later bundle changed the model.
    Superseded,
    /// The outcome is open: the store is down, the deadline has passed, the version is braked, or
    /// some instance has not confirmed the final state.
    NotYetKnown {
        /// Last known phase.
        last: Option<Phase>,
        /// Instances that confirmed the condition of the phase; `None` without a list of live
        /// instances.
        #[serde(rename = "spread")]
        coverage: Option<Coverage>,
    },
}

impl ReportedStatus {
    /// Returns the status by a rollout record and the local knowledge of an instance.
    ///
    /// `is_fresh` tells whether the record was read from the store recently. A final phase never
    /// changes, so a stale record of it still holds; any other stale record may be outdated.
    pub fn of(
        origin: Revision,
        rollout: Option<&VersionRollout>,
        context: &StepContext<'_>,
        is_fresh: bool,
    ) -> Self {
        let coverage = |rollout: &VersionRollout| {
            let live = context.live?;
            Some(rollout.coverage(origin, context.applied_states, live))
        };
        let Some(rollout) = rollout else {
            return Self::NotYetKnown {
                last: None,
                coverage: None,
            };
        };
        let is_braked = context
            .brakes
            .cause(origin, &rollout.change.candidate)
            .is_some();
        let is_early = context.now_ms < rollout.deadline_ms && !is_braked;
        match rollout.phase {
            Phase::Done => Self::Done,
            Phase::TakenBack { cause } => Self::TakenBack { cause },
            Phase::Superseded => Self::Superseded,
            Phase::Stage { stage } if is_fresh && is_early => Self::Running {
                stage,
                share_ppm: rollout.stages[usize::from(stage)].share_ppm,
            },
            phase => Self::NotYetKnown {
                last: Some(phase),
                coverage: coverage(rollout),
            },
        }
    }
}
