//! What operators are told of a rollout.

use celerypond_types::Revision;
use serde::{Deserialize, Serialize};

use crate::{
    applied_state::Coverage,
    rollout::{Phase, StepContext},
    verdict::Cause,
    version_rollout::VersionRollout,
};

/// What is known of a rollout; never more than the store has recorded.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "state", rename_all = "snake_case")]
pub enum ReportedStatus {
    /// It is at a stage, before its deadline.
    Running {
        /// The stage, from 0.
        stage: u8,
        /// The share of the stage, in parts per million.
        share_ppm: u32,
    },
    /// All live instances acted on the final share and the base was drained.
    Done,
    /// All live instances had the brake in force.
    TakenBack {
        /// What the version is blamed for.
        cause: Cause,
    },
    /// A later bundle took its place.
    Superseded,
    /// The outcome is open: the store is down, the deadline has passed, or some instance has not said
    /// that it acts on the end.
    NotYetKnown {
        /// The last phase known.
        last: Option<Phase>,
        /// The instances that act on it, if it is known which live.
        spread: Option<Coverage>,
    },
}

impl ReportedStatus {
    /// Tells how a rollout stands by a record and what the instance knows besides.
    ///
    /// `is_fresh` tells whether the record was read from the store lately. An ending that was recorded
    /// once is final, so a stale record of it still holds; any other stale record may have been
    /// overtaken, and claiming it would be a guess.
    pub fn of(
        origin: Revision,
        record: Option<&VersionRollout>,
        context: &StepContext<'_>,
        is_fresh: bool,
    ) -> Self {
        let coverage = |record: &VersionRollout| {
            let live = context.live?;
            Some(record.coverage(origin, context.applied_states, live))
        };
        let Some(record) = record else {
            return Self::NotYetKnown {
                last: None,
                spread: None,
            };
        };
        let is_braked = context
            .brakes
            .cause(origin, &record.change.candidate)
            .is_some();
        let is_early = context.now_ms < record.deadline_ms && !is_braked;
        match record.phase {
            Phase::Done => Self::Done,
            Phase::TakenBack { cause } => Self::TakenBack { cause },
            Phase::Superseded => Self::Superseded,
            Phase::Stage { stage } if is_fresh && is_early => Self::Running {
                stage,
                share_ppm: record.stages[usize::from(stage)].share_ppm,
            },
            phase => Self::NotYetKnown {
                last: Some(phase),
                spread: coverage(record),
            },
        }
    }
}
