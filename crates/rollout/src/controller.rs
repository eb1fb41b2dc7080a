//! What one instance knows of all rollouts and does about them.

mod evaluation;
mod traffic;

use std::collections::{BTreeMap, BTreeSet};

use celerypond_types::{InstanceName, ModelName, Revision};
use serde::{Deserialize, Serialize};

use crate::{
    applied_state::{AppliedState, AppliedStates},
    brake::Brakes,
    evidence::{Evidence, EvidenceReport, Subject},
    judge::Judge,
    record::ModelPart,
    rollout::{Phase, Rollout},
    share_increase::{Candidate, ShareIncrease},
    splitter::TrafficSplitter,
    verdict::{Cause, JudgeConfig},
    version_rollout::VersionRollout,
};

/// What instances tell each other about rollouts, beside reports and their own actions.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutSnapshot {
    /// The records known.
    pub rollouts: Vec<Rollout>,
    /// The brakes known. They travel with the records, so that nobody learns of a stage from someone
    /// who knows of its brake without learning of the brake.
    pub brakes: Brakes,
}

/// The side of one instance in all rollouts.
///
/// The daemon feeds it what it hears and sees, and asks it which version takes the next request.
#[derive(Clone, Debug)]
pub struct RolloutController {
    me: InstanceName,
    incarnation: u64,
    sequence: u64,
    judge_config: JudgeConfig,
    parts: BTreeMap<ModelName, ModelPart>,
    live: Vec<InstanceName>,
    rollouts: BTreeMap<Revision, Rollout>,
    brakes: Brakes,
    applied_states: AppliedStates,
    evidence: Evidence,
    own: BTreeMap<Subject, EvidenceReport>,
    since_ms: BTreeMap<Subject, u64>,
    judges: BTreeMap<(Revision, Candidate), Judge>,
    promised: BTreeSet<(Revision, Candidate)>,
    objections: BTreeMap<(Revision, Candidate), Cause>,
    splitters: BTreeMap<Candidate, TrafficSplitter>,
    last: BTreeMap<Candidate, u32>,
    reporter_for: BTreeMap<Subject, bool>,
    traffic: BTreeMap<ModelName, f64>,
    is_synced: bool,
}

impl RolloutController {
    /// Makes the side of an instance; `incarnation` must rise with each restart.
    pub fn new(me: InstanceName, incarnation: u64, judge_config: JudgeConfig) -> Self {
        Self {
            me,
            incarnation,
            sequence: 0,
            judge_config,
            parts: BTreeMap::new(),
            live: Vec::new(),
            rollouts: BTreeMap::new(),
            brakes: Brakes::default(),
            applied_states: AppliedStates::default(),
            evidence: Evidence::default(),
            own: BTreeMap::new(),
            since_ms: BTreeMap::new(),
            judges: BTreeMap::new(),
            promised: BTreeSet::new(),
            objections: BTreeMap::new(),
            splitters: BTreeMap::new(),
            last: BTreeMap::new(),
            reporter_for: BTreeMap::new(),
            traffic: BTreeMap::new(),
            is_synced: false,
        }
    }

    /// Takes the parts of the bundle that has come into force.
    pub fn set_parts(&mut self, parts: BTreeMap<ModelName, ModelPart>) {
        for (origin, change) in self.changes() {
            let share = self.local_share(origin, &change);
            self.last.insert(change.candidate, share);
        }
        self.brakes.remove_superseded(&parts);
        let named = parts
            .iter()
            .map(|(model, part)| subject(part.origin, model));
        let subjects: Vec<_> = named.collect();
        self.evidence.retain_subjects(&subjects);
        self.own.retain(|subject, _| subjects.contains(subject));
        self.since_ms
            .retain(|subject, _| subjects.contains(subject));
        self.judges.retain(|(origin, candidate), _| {
            subjects.contains(&subject(*origin, &candidate.model))
        });
        self.rollouts.retain(|origin, rollout| {
            let is_open = rollout.moves.iter().any(|record| !record.phase.is_ended());
            is_open || subjects.iter().any(|subject| subject.origin == *origin)
        });
        self.parts = parts;
    }

    /// Takes how much traffic for a model this instance gets, relative to the mean over all instances.
    pub fn set_relative_traffic(&mut self, model: ModelName, relative: f64) {
        self.traffic.insert(model, relative);
    }

    /// Takes the list of live instances.
    pub fn set_live(&mut self, live: &[InstanceName]) {
        self.live = live.to_vec();
        self.reporter_for.clear();
        self.applied_states.retain_live(live);
    }

    /// Takes news from a peer; returns whether to pass them on at once.
    pub fn merge_snapshot(&mut self, news: &RolloutSnapshot) -> bool {
        self.is_synced = true;
        let mut is_new = false;
        for rollout in &news.rollouts {
            is_new |= self.merge_rollout(rollout.clone());
        }
        for (origin, change) in self.changes() {
            if let Some(cause) = news.brakes.cause(origin, &change.candidate) {
                is_new |= self.merge_brake(origin, change.candidate, cause);
            }
        }
        is_new
    }

    /// Takes a record that was read from, or written to, the store; returns whether it is newer.
    pub fn merge_rollout(&mut self, rollout: Rollout) -> bool {
        let held = self.rollouts.get(&rollout.origin);
        if held.is_some_and(|held| held.step >= rollout.step) {
            return false;
        }
        for record in &rollout.moves {
            if let Phase::Braking { cause } | Phase::TakenBack { cause } = record.phase {
                let candidate = record.change.candidate.clone();
                self.brakes.insert(rollout.origin, candidate, cause);
            }
        }
        self.rollouts.insert(rollout.origin, rollout);
        true
    }

    fn merge_brake(&mut self, origin: Revision, candidate: Candidate, cause: Cause) -> bool {
        // After its promise an instance changes its mind only through the store. Otherwise the report
        // "done" could be written while some instance has just begun to take back.
        let key = (origin, candidate.clone());
        if self.promised.contains(&key) && self.brakes.cause(origin, &candidate).is_none() {
            return self.objections.insert(key, cause).is_none();
        }
        self.brakes.insert(origin, candidate, cause)
    }

    /// Returns whether a peer has told what it knows since the start.
    ///
    /// An instance that starts must not serve before: the store may not know of a brake that was
    /// tripped while it was down, and a request sent by the stage alone would reach the bad version.
    /// The daemon serves without it only when it has tried all peers in vain.
    pub fn is_synced(&self) -> bool {
        self.is_synced || self.live.iter().all(|name| *name == self.me)
    }

    /// Returns what to tell peers.
    pub fn snapshot(&self) -> RolloutSnapshot {
        RolloutSnapshot {
            rollouts: self.rollouts.values().cloned().collect(),
            brakes: self.brakes.clone(),
        }
    }

    /// Takes what an instance says it acts on; returns whether it was news.
    pub fn merge_applied_state(&mut self, applied: AppliedState) -> bool {
        self.applied_states.merge(applied)
    }

    /// Takes a report of evidence; returns whether it was news.
    pub fn merge_report(&mut self, report: EvidenceReport) -> bool {
        self.evidence.merge(report)
    }

    /// Returns the own reports, for peers.
    pub fn own_reports(&self) -> impl Iterator<Item = &EvidenceReport> {
        self.own.values()
    }

    /// Returns all evidence known.
    pub fn evidence(&self) -> &Evidence {
        &self.evidence
    }

    /// Returns the brakes known.
    pub fn brakes(&self) -> &Brakes {
        &self.brakes
    }

    /// Returns what the instances say they act on.
    pub fn applied_states(&self) -> &AppliedStates {
        &self.applied_states
    }

    /// Returns the record of a rollout.
    pub fn rollout(&self, origin: Revision) -> Option<&Rollout> {
        self.rollouts.get(&origin)
    }

    /// Returns the rises of shares that the bundle in force asks for.
    fn changes(&self) -> Vec<(Revision, ShareIncrease)> {
        let of_part = |part: &ModelPart| {
            let origin = part.origin;
            part.moves
                .clone()
                .into_iter()
                .map(move |change| (origin, change))
        };
        self.parts.values().flat_map(of_part).collect()
    }

    fn record(&self, origin: Revision, candidate: &Candidate) -> Option<&VersionRollout> {
        self.rollouts.get(&origin)?.find(candidate)
    }
}

fn subject(origin: Revision, model: &ModelName) -> Subject {
    Subject {
        origin,
        model: model.clone(),
    }
}
