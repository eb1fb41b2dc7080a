//! The rollout of one version and its phase transitions.

use celerypond_types::{InstanceName, Revision};
use serde::{Deserialize, Serialize};

use crate::{
    applied_state::{AppliedShare, AppliedStates, Coverage},
    plan::{local_ppm, Stage},
    rendezvous::rendezvous_order,
    rollout::{sender_role, Phase, StepContext},
    share_increase::ShareIncrease,
    splitter::FULL_SHARE_PPM,
    verdict::Cause,
};

/// The rollout of one version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionRollout {
    /// The share increase to make.
    pub change: ShareIncrease,
    /// Planned stages.
    pub stages: Vec<Stage>,
    /// When all instances must apply the final share, as Unix time in milliseconds.
    pub deadline_ms: u64,
    /// Current phase.
    pub phase: Phase,
    /// When the phase began, as Unix time in milliseconds.
    pub since_ms: u64,
    /// Instances that send traffic to the candidate; `None` for all.
    pub senders: Option<Vec<InstanceName>>,
    /// Share of its own requests that each sender sends to the candidate, in parts per million.
    pub local_ppm: u32,
}

impl VersionRollout {
    /// Returns the stage of the phase: the last one for all phases that follow the stages.
    pub fn stage(&self) -> u8 {
        match self.phase {
            Phase::Stage { stage } => stage,
            _ => self.stages.len().saturating_sub(1) as u8,
        }
    }

    /// Returns the live instances that confirm the outcome that the phase leads to.
    ///
    /// That is the brake during a rollback, and otherwise the final share with a drained base. In
    /// the closing phase it also takes their promise not to brake.
    pub fn coverage(
        &self,
        origin: Revision,
        applied_states: &AppliedStates,
        live: &[InstanceName],
    ) -> Coverage {
        let candidate = &self.change.candidate;
        let holds = |applied: &AppliedShare| match self.phase {
            Phase::Braking { .. } | Phase::TakenBack { .. } => {
                applied.braked && applied.share_ppm == 0
            }
            Phase::Closing | Phase::Done => {
                applied.promised && !applied.braked && self.is_final(applied)
            }
            _ => !applied.braked && self.is_final(applied),
        };
        applied_states.coverage(live, |applied| {
            applied.find(origin, candidate).is_some_and(holds)
        })
    }

    fn is_final(&self, applied: &AppliedShare) -> bool {
        let is_whole = self.change.to_ppm == FULL_SHARE_PPM;
        let is_drained = !is_whole || applied.base_open == 0;
        applied.share_ppm == self.change.to_ppm && is_drained
    }

    pub(crate) fn advance(
        &mut self,
        origin: Revision,
        rolled_ms: u64,
        context: &StepContext<'_>,
        cause: Option<Cause>,
        answers: u64,
    ) {
        let is_complete = |rollout: &Self| {
            // Without the platform's list it is unknown which instances to wait for.
            let coverage = context
                .live
                .map(|live| rollout.coverage(origin, context.applied_states, live));
            coverage.is_some_and(|coverage| coverage.is_complete())
        };
        match (self.phase, cause) {
            (Phase::Stage { .. } | Phase::Closing, Some(cause)) => {
                self.set_phase(Phase::Braking { cause }, context.now_ms);
            }
            (Phase::Stage { stage }, None) => {
                self.advance_stage(
                    stage,
                    origin,
                    rolled_ms,
                    context,
                    answers,
                    is_complete(self),
                );
            }
            (Phase::Closing, None) if is_complete(self) => {
                self.set_phase(Phase::Done, context.now_ms)
            }
            (Phase::Braking { cause }, _) if is_complete(self) => {
                self.set_phase(Phase::TakenBack { cause }, context.now_ms);
            }
            _ => {}
        }
    }

    /// Moves to the next stage once the current one has lasted long enough and got enough answers,
    /// or brakes at the deadline.
    fn advance_stage(
        &mut self,
        stage: u8,
        origin: Revision,
        rolled_ms: u64,
        context: &StepContext<'_>,
        answers: u64,
        is_complete: bool,
    ) {
        let current = &self.stages[usize::from(stage)];
        let is_last = usize::from(stage) + 1 == self.stages.len();
        let is_time_over = context.now_ms >= rolled_ms + current.until_ms;
        let has_enough_answers = answers >= current.answers;
        if is_last {
            // The final share is kept past the deadline. Rolling back a version that showed no
            // fault only because one instance is unreachable would be worse than a late report.
            if is_time_over && has_enough_answers && is_complete {
                self.set_phase(Phase::Closing, context.now_ms);
            }
            return;
        }
        if context.now_ms >= self.deadline_ms {
            let cause = if has_enough_answers {
                Cause::Deadline
            } else {
                Cause::TooLittleEvidence
            };
            self.set_phase(Phase::Braking { cause }, context.now_ms);
            return;
        }
        let Some(live) = context.live else { return };
        if is_time_over && has_enough_answers {
            self.set_phase(Phase::Stage { stage: stage + 1 }, context.now_ms);
            self.enter_stage(stage + 1, origin, live);
        } else if self
            .senders
            .iter()
            .flatten()
            .any(|sender| !live.contains(sender))
        {
            // The evidence that a dead sender would have collected must come from other instances.
            self.enter_stage(stage, origin, live);
        }
    }

    pub(crate) fn enter_stage(&mut self, stage: u8, origin: Revision, live: &[InstanceName]) {
        let Some(stage) = self.stages.get(usize::from(stage)) else {
            return;
        };
        let role = sender_role(origin, &self.change.candidate.model);
        let count = |count: u32| {
            rendezvous_order(&role, live)
                .into_iter()
                .take(count as usize)
                .collect()
        };
        self.senders = stage.instances.map(count);
        self.local_ppm = local_ppm(stage, live.len() as u32);
    }

    pub(crate) fn set_phase(&mut self, phase: Phase, now_ms: u64) {
        self.phase = phase;
        self.since_ms = now_ms;
    }
}
