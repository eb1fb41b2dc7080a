//! State and decisions of one instance in all rollouts.

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
    verdict::{Cause, RolloutConfig},
    version_rollout::VersionRollout,
};

/// Rollout records and brakes that instances exchange, besides evidence and applied states.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutSnapshot {
    /// Known rollout records.
    pub rollouts: Vec<Rollout>,
    /// Known brakes.
    ///
    /// They are sent together with the records, so that an instance never learns of a stage without
    /// a brake that the sender knows of.
    pub brakes: Brakes,
}

/// The part of one instance in all rollouts.
///
/// The daemon passes it the messages of peers, the records in the store and the results of
/// requests. It chooses the version for each request, detects bad versions and proposes the next
/// rollout record.
#[derive(Clone, Debug)]
pub struct RolloutController {
    me: InstanceName,
    incarnation: u64,
    sequence: u64,
    config: RolloutConfig,
    parts: BTreeMap<ModelName, ModelPart>,
    live: Vec<InstanceName>,
    rollouts: BTreeMap<Revision, Rollout>,
    brakes: Brakes,
    applied_states: AppliedStates,
    evidence: Evidence,
    own_reports: BTreeMap<Subject, EvidenceReport>,
    /// When the first trial of a subject was recorded, as Unix time in milliseconds.
    recording_since_ms: BTreeMap<Subject, u64>,
    judges: BTreeMap<(Revision, Candidate), Judge>,
    /// Versions that this instance has promised not to brake any more.
    promised: BTreeSet<(Revision, Candidate)>,
    /// Faults found after the promise; they take effect through the record in the store only.
    objections: BTreeMap<(Revision, Candidate), Cause>,
    splitters: BTreeMap<Candidate, TrafficSplitter>,
    /// Local shares under the previous bundle.
    previous_shares: BTreeMap<Candidate, u32>,
    /// Cached results of whether this instance is an evidence reporter.
    reporter_roles: BTreeMap<Subject, bool>,
    /// Traffic on this instance relative to the mean over all instances.
    relative_traffic: BTreeMap<ModelName, f64>,
    is_synced: bool,
}

impl RolloutController {
    /// Creates the controller of an instance; `incarnation` must increase with each restart.
    pub fn new(me: InstanceName, incarnation: u64, config: RolloutConfig) -> Self {
        Self {
            me,
            incarnation,
            sequence: 0,
            config,
            parts: BTreeMap::new(),
            live: Vec::new(),
            rollouts: BTreeMap::new(),
            brakes: Brakes::default(),
            applied_states: AppliedStates::default(),
            evidence: Evidence::default(),
            own_reports: BTreeMap::new(),
            recording_since_ms: BTreeMap::new(),
            judges: BTreeMap::new(),
            promised: BTreeSet::new(),
            objections: BTreeMap::new(),
            splitters: BTreeMap::new(),
            previous_shares: BTreeMap::new(),
            reporter_roles: BTreeMap::new(),
            relative_traffic: BTreeMap::new(),
            is_synced: false,
        }
    }

    /// Sets the model parts of the bundle that has come into force.
    pub fn set_parts(&mut self, parts: BTreeMap<ModelName, ModelPart>) {
        for (origin, change) in self.share_increases() {
            let share = self.local_share(origin, &change);
            self.previous_shares.insert(change.candidate, share);
        }
        self.brakes.remove_superseded(&parts);
        let named = parts
            .iter()
            .map(|(model, part)| subject(part.origin, model));
        let subjects: Vec<_> = named.collect();
        self.evidence.retain_subjects(&subjects);
        self.own_reports
            .retain(|subject, _| subjects.contains(subject));
        self.recording_since_ms
            .retain(|subject, _| subjects.contains(subject));
        self.judges.retain(|(origin, candidate), _| {
            subjects.contains(&subject(*origin, &candidate.model))
        });
        self.rollouts.retain(|origin, rollout| {
            let is_open = rollout
                .versions
                .iter()
                .any(|version| !version.phase.is_ended());
            is_open || subjects.iter().any(|subject| subject.origin == *origin)
        });
        self.parts = parts;
    }

    /// Sets the traffic for a model on this instance, relative to the mean over all instances.
    pub fn set_relative_traffic(&mut self, model: ModelName, relative: f64) {
        self.relative_traffic.insert(model, relative);
    }

    /// Sets the list of live instances.
    pub fn set_live(&mut self, live: &[InstanceName]) {
        self.live = live.to_vec();
        self.reporter_roles.clear();
        self.applied_states.retain_live(live);
    }

    /// Merges the snapshot of a peer; returns whether it contained news to pass on at once.
    pub fn merge_snapshot(&mut self, snapshot: &RolloutSnapshot) -> bool {
        self.is_synced = true;
        let mut is_new = false;
        for rollout in &snapshot.rollouts {
            is_new |= self.merge_rollout(rollout.clone());
        }
        for (origin, change) in self.share_increases() {
            if let Some(cause) = snapshot.brakes.cause(origin, &change.candidate) {
                is_new |= self.merge_brake(origin, change.candidate, cause);
            }
        }
        is_new
    }

    /// Merges a record from the store or a peer; returns whether it is newer than the known one.
    pub fn merge_rollout(&mut self, rollout: Rollout) -> bool {
        let held = self.rollouts.get(&rollout.origin);
        if held.is_some_and(|held| held.step >= rollout.step) {
            return false;
        }
        for version in &rollout.versions {
            if let Phase::Braking { cause } | Phase::TakenBack { cause } = version.phase {
                let candidate = version.change.candidate.clone();
                self.brakes.insert(rollout.origin, candidate, cause);
            }
        }
        self.rollouts.insert(rollout.origin, rollout);
        true
    }

    fn merge_brake(&mut self, origin: Revision, candidate: Candidate, cause: Cause) -> bool {
        // After its promise an instance brakes only when the store says so. Otherwise "done" could
        // be written while some instance has just started to roll back.
        let key = (origin, candidate.clone());
        if self.promised.contains(&key) && self.brakes.cause(origin, &candidate).is_none() {
            return self.objections.insert(key, cause).is_none();
        }
        self.brakes.insert(origin, candidate, cause)
    }

    /// Returns whether a peer has sent a snapshot since the start of the instance.
    ///
    /// An instance must not serve before: the store does not have the brakes that were set while it
    /// was down, and by its record alone requests would reach the bad version. The daemon serves
    /// without a snapshot only after it has tried all peers.
    pub fn is_synced(&self) -> bool {
        self.is_synced || self.live.iter().all(|name| *name == self.me)
    }

    /// Returns the snapshot to send to peers.
    pub fn snapshot(&self) -> RolloutSnapshot {
        RolloutSnapshot {
            rollouts: self.rollouts.values().cloned().collect(),
            brakes: self.brakes.clone(),
        }
    }

    /// Merges the applied state of an instance; returns whether it is newer than the known one.
    pub fn merge_applied_state(&mut self, applied: AppliedState) -> bool {
        self.applied_states.merge(applied)
    }

    /// Merges an evidence report; returns whether it is newer than the known one.
    pub fn merge_report(&mut self, report: EvidenceReport) -> bool {
        self.evidence.merge(report)
    }

    /// Returns the evidence reports of this instance.
    pub fn own_reports(&self) -> impl Iterator<Item = &EvidenceReport> {
        self.own_reports.values()
    }

    /// Returns the known evidence of all instances.
    pub fn evidence(&self) -> &Evidence {
        &self.evidence
    }

    /// Returns the known brakes.
    pub fn brakes(&self) -> &Brakes {
        &self.brakes
    }

    /// Returns the known applied states of all instances.
    pub fn applied_states(&self) -> &AppliedStates {
        &self.applied_states
    }

    /// Returns the record of a rollout.
    pub fn rollout(&self, origin: Revision) -> Option<&Rollout> {
        self.rollouts.get(&origin)
    }

    /// Returns the share increases of the bundle in force with their origins.
    fn share_increases(&self) -> Vec<(Revision, ShareIncrease)> {
        let of_part = |part: &ModelPart| {
            let origin = part.origin;
            part.increases
                .clone()
                .into_iter()
                .map(move |change| (origin, change))
        };
        self.parts.values().flat_map(of_part).collect()
    }

    fn version_rollout(&self, origin: Revision, candidate: &Candidate) -> Option<&VersionRollout> {
        self.rollouts.get(&origin)?.find(candidate)
    }
}

fn subject(origin: Revision, model: &ModelName) -> Subject {
    Subject {
        origin,
        model: model.clone(),
    }
}
