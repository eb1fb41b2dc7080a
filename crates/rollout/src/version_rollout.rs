//! The rollout of one version and how it advances.

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
    /// What is to change.
    pub change: ShareIncrease,
    /// The stages.
    pub stages: Vec<Stage>,
    /// When the final share must act everywhere, as wall clock in milliseconds since 1970.
    pub deadline_ms: u64,
    /// How far it has come.
    pub phase: Phase,
    /// When it came there.
    pub since_ms: u64,
    /// The instances that send traffic to the version; `None` for all.
    pub senders: Option<Vec<InstanceName>>,
    /// The part of their requests that senders send to it, in parts per million.
    pub local_ppm: u32,
}

impl VersionRollout {
    /// Returns the stage that the phase belongs to.
    pub fn stage(&self) -> u8 {
        match self.phase {
            Phase::Stage { stage } => stage,
            _ => self.stages.len().saturating_sub(1) as u8,
        }
    }

    /// Returns how far the condition of the phase is fulfilled over the live instances.
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
        let is_complete = |record: &Self| {
            // Without the platform's list nobody knows whom to wait for, so nothing is complete.
            let coverage = context
                .live
                .map(|live| record.coverage(origin, context.applied_states, live));
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

    /// Leaves a stage when its time is over, or gives up when the deadline can't be met.
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
            // Past the deadline the final share stays: taking back a version that showed no fault
            // only because one instance can't be heard would be worse than to report late.
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
            // A sender that died took its part of the evidence along; others take its place.
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
