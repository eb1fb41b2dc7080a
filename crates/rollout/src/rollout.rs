//! The record of a rollout in the store and the steps that any instance may make it take.

use celerypond_types::{InstanceName, ModelName, Revision};
use serde::{Deserialize, Serialize};
use smol_str::{format_smolstr, SmolStr};

use crate::{
    acting::{ActingMove, Roster, Spread},
    brake::Brakes,
    judge::Cause,
    moves::{Candidate, Move},
    plan::{local_ppm, Stage},
    rank::rank,
    splitter::WHOLE_PPM,
};

/// Returns the key of a rollout's record.
pub fn rollout_key(origin: Revision) -> SmolStr {
    format_smolstr!("rollout/{origin}")
}

/// Returns the role by which senders and witnesses are ranked.
///
/// It is one role, so that the few senders of the early stages are witnesses as well.
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

/// The rollout of one version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MoveRecord {
    /// What is to change.
    pub change: Move,
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
    pub moves: Vec<MoveRecord>,
}

/// What an instance knows when it looks for the next step.
#[derive(Clone, Copy, Debug)]
pub struct View<'a> {
    /// The instance.
    pub me: &'a InstanceName,
    /// The wall clock in milliseconds since 1970.
    pub now_ms: u64,
    /// The live instances by the platform's list; `None` when the list can't be had.
    pub live: Option<&'a [InstanceName]>,
    /// What instances say they act on.
    pub roster: &'a Roster,
    /// The brakes known.
    pub brakes: &'a Brakes,
}

impl Rollout {
    /// Makes the record of a bundle that has just come into force.
    pub fn new(
        origin: Revision,
        rolled_ms: u64,
        by: InstanceName,
        moves: Vec<(Move, Vec<Stage>, u64)>,
        live: &[InstanceName],
    ) -> Self {
        let record = |(change, stages, deadline_ms)| {
            let mut record = MoveRecord {
                change,
                stages,
                deadline_ms,
                phase: Phase::Stage { stage: 0 },
                since_ms: rolled_ms,
                senders: None,
                local_ppm: 0,
            };
            record.enter(0, origin, live);
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
    pub fn next(
        &self,
        view: &View<'_>,
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
                record.turn(Phase::Superseded, view.now_ms);
                continue;
            }
            let cause = view
                .brakes
                .cause(self.origin, &candidate)
                .or(objection(&candidate));
            record.advance(
                self.origin,
                self.rolled_ms,
                view,
                cause,
                answers(&candidate),
            );
        }
        if next == *self {
            return None;
        }
        next.step += 1;
        next.by = view.me.clone();
        Some(next)
    }

    /// Finds the rollout of a version.
    pub fn find(&self, candidate: &Candidate) -> Option<&MoveRecord> {
        self.moves
            .iter()
            .find(|record| record.change.candidate == *candidate)
    }
}

impl MoveRecord {
    /// Returns the stage that the phase belongs to.
    pub fn stage(&self) -> u8 {
        match self.phase {
            Phase::Stage { stage } => stage,
            _ => self.stages.len().saturating_sub(1) as u8,
        }
    }

    /// Returns how far the condition of the phase is fulfilled over the live instances.
    pub fn spread(&self, origin: Revision, roster: &Roster, live: &[InstanceName]) -> Spread {
        let candidate = &self.change.candidate;
        let holds = |acting: &ActingMove| match self.phase {
            Phase::Braking { .. } | Phase::TakenBack { .. } => {
                acting.braked && acting.share_ppm == 0
            }
            Phase::Closing | Phase::Done => {
                acting.promised && !acting.braked && self.is_final(acting)
            }
            _ => !acting.braked && self.is_final(acting),
        };
        roster.spread(live, |acting| {
            acting.find(origin, candidate).is_some_and(holds)
        })
    }

    fn is_final(&self, acting: &ActingMove) -> bool {
        let is_whole = self.change.to_ppm == WHOLE_PPM;
        let is_drained = !is_whole || acting.base_open == 0;
        acting.share_ppm == self.change.to_ppm && is_drained
    }

    fn advance(
        &mut self,
        origin: Revision,
        rolled_ms: u64,
        view: &View<'_>,
        cause: Option<Cause>,
        answers: u64,
    ) {
        let is_full = |record: &Self| {
            // Without the platform's list nobody knows whom to wait for, so nothing is complete.
            let spread = view
                .live
                .map(|live| record.spread(origin, view.roster, live));
            spread.is_some_and(|spread| spread.is_full())
        };
        match (self.phase, cause) {
            (Phase::Stage { .. } | Phase::Closing, Some(cause)) => {
                self.turn(Phase::Braking { cause }, view.now_ms);
            }
            (Phase::Stage { stage }, None) => {
                self.leave(stage, origin, rolled_ms, view, answers, is_full(self));
            }
            (Phase::Closing, None) if is_full(self) => self.turn(Phase::Done, view.now_ms),
            (Phase::Braking { cause }, _) if is_full(self) => {
                self.turn(Phase::TakenBack { cause }, view.now_ms);
            }
            _ => {}
        }
    }

    /// Leaves a stage when its time is over, or gives up when the deadline can't be met.
    fn leave(
        &mut self,
        stage: u8,
        origin: Revision,
        rolled_ms: u64,
        view: &View<'_>,
        answers: u64,
        is_full: bool,
    ) {
        let current = &self.stages[usize::from(stage)];
        let is_last = usize::from(stage) + 1 == self.stages.len();
        let is_over = view.now_ms >= rolled_ms + current.until_ms;
        let is_proved = answers >= current.answers;
        if is_last {
            // Past the deadline the final share stays: taking back a version that showed no fault
            // only because one instance can't be heard would be worse than to report late.
            if is_over && is_proved && is_full {
                self.turn(Phase::Closing, view.now_ms);
            }
            return;
        }
        if view.now_ms >= self.deadline_ms {
            let cause = if is_proved {
                Cause::Deadline
            } else {
                Cause::TooLittleEvidence
            };
            self.turn(Phase::Braking { cause }, view.now_ms);
            return;
        }
        let Some(live) = view.live else { return };
        if is_over && is_proved {
            self.turn(Phase::Stage { stage: stage + 1 }, view.now_ms);
            self.enter(stage + 1, origin, live);
        } else if self
            .senders
            .iter()
            .flatten()
            .any(|sender| !live.contains(sender))
        {
            // A sender that died took its part of the evidence along; others take its place.
            self.enter(stage, origin, live);
        }
    }

    fn enter(&mut self, stage: u8, origin: Revision, live: &[InstanceName]) {
        let Some(stage) = self.stages.get(usize::from(stage)) else {
            return;
        };
        let role = sender_role(origin, &self.change.candidate.model);
        let count = |count: u32| rank(&role, live).into_iter().take(count as usize).collect();
        self.senders = stage.instances.map(count);
        self.local_ppm = local_ppm(stage, live.len() as u32);
    }

    fn turn(&mut self, phase: Phase, now_ms: u64) {
        self.phase = phase;
        self.since_ms = now_ms;
    }
}
