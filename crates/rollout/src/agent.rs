//! What one instance knows of all rollouts and does about them.

use std::collections::{BTreeMap, BTreeSet};

use celerypond_bundle::Model;
use celerypond_types::{InstanceName, ModelName, Revision, TargetName, VersionName};
use serde::{Deserialize, Serialize};

use crate::{
    acting::{Acting, ActingMove, Roster},
    brake::Brakes,
    evidence::{Evidence, Report, Route, Subject},
    judge::{Cause, Judge, Method},
    moves::{shares, Candidate, Move},
    plan::{plan, Demand, MAX_WITNESSES, STEPS},
    rank::rank,
    record::Part,
    rollout::{sender_role, MoveRecord, Phase, Rollout, View},
    splitter::Splitter,
    tally::Failure,
};

/// How many engines of the base an instance assumes when the bundle names none.
const MIN_BASE_ENGINES: u32 = 1;
const MS_PER_S: u64 = 1_000;

/// What instances tell each other about rollouts, beside reports and their own actions.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct News {
    /// The records known.
    pub rollouts: Vec<Rollout>,
    /// The brakes known. They travel with the records, so that nobody learns of a stage from someone
    /// who knows of its brake without learning of the brake.
    pub brakes: Brakes,
}

/// One chunk of an answer, from the side of the instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Trial {
    /// The model.
    pub model: ModelName,
    /// The version that was chosen.
    pub version: VersionName,
    /// The kind of request.
    pub route: Route,
    /// The target.
    pub target: TargetName,
    /// When it began, as wall clock in milliseconds since 1970.
    pub begun_ms: u64,
}

/// The side of one instance in all rollouts.
///
/// The daemon feeds it what it hears and sees, and asks it which version takes the next request.
#[derive(Clone, Debug)]
pub struct Agent {
    me: InstanceName,
    incarnation: u64,
    sequence: u64,
    method: Method,
    parts: BTreeMap<ModelName, Part>,
    live: Vec<InstanceName>,
    rollouts: BTreeMap<Revision, Rollout>,
    brakes: Brakes,
    roster: Roster,
    evidence: Evidence,
    own: BTreeMap<Subject, Report>,
    judges: BTreeMap<(Revision, Candidate), Judge>,
    promised: BTreeSet<(Revision, Candidate)>,
    objections: BTreeMap<(Revision, Candidate), Cause>,
    splitters: BTreeMap<Candidate, Splitter>,
    last: BTreeMap<Candidate, u32>,
    witness: BTreeMap<Subject, bool>,
}

impl Agent {
    /// Makes the side of an instance; `incarnation` must rise with each restart.
    pub fn new(me: InstanceName, incarnation: u64, method: Method) -> Self {
        Self {
            me,
            incarnation,
            sequence: 0,
            method,
            parts: BTreeMap::new(),
            live: Vec::new(),
            rollouts: BTreeMap::new(),
            brakes: Brakes::default(),
            roster: Roster::default(),
            evidence: Evidence::default(),
            own: BTreeMap::new(),
            judges: BTreeMap::new(),
            promised: BTreeSet::new(),
            objections: BTreeMap::new(),
            splitters: BTreeMap::new(),
            last: BTreeMap::new(),
            witness: BTreeMap::new(),
        }
    }

    /// Takes the parts of the bundle that has come into force.
    pub fn set_parts(&mut self, parts: BTreeMap<ModelName, Part>) {
        let shares: Vec<_> = self
            .candidates()
            .map(|(origin, change)| (change.candidate.clone(), self.share(origin, change)))
            .collect();
        self.last.extend(shares);
        self.brakes.release(&parts);
        let subjects: Vec<_> = parts
            .iter()
            .map(|(model, part)| subject(part.origin, model))
            .collect();
        self.evidence.keep(&subjects);
        self.own.retain(|subject, _| subjects.contains(subject));
        self.judges.retain(|(origin, candidate), _| {
            subjects.contains(&subject(*origin, &candidate.model))
        });
        self.parts = parts;
    }

    /// Takes the list of live instances.
    pub fn set_live(&mut self, live: &[InstanceName]) {
        self.live = live.to_vec();
        self.witness.clear();
        self.roster.keep(live);
    }

    /// Takes news from a peer, or records read from the store; returns whether to pass them on at once.
    pub fn hear(&mut self, news: &News) -> bool {
        let mut brakes = self.brakes.clone();
        brakes.merge(&news.brakes);
        let mut is_new = false;
        for rollout in &news.rollouts {
            let held = self.rollouts.get(&rollout.origin);
            if held.is_none_or(|held| held.step < rollout.step) {
                self.rollouts.insert(rollout.origin, rollout.clone());
                is_new = true;
            }
        }
        for (origin, record) in records(&self.rollouts) {
            let candidate = &record.change.candidate;
            let key = (origin, candidate.clone());
            if let Phase::Braking { cause } | Phase::TakenBack { cause } = record.phase {
                is_new |= self.brakes.trip(origin, candidate.clone(), cause);
            } else if let Some(cause) = brakes.cause(origin, candidate) {
                // After its promise an instance changes its mind only through the store. Otherwise the
                // report "done" could be written while some instance has just begun to take back.
                if self.promised.contains(&key) {
                    is_new |= self.objections.insert(key, cause).is_none();
                } else {
                    is_new |= self.brakes.trip(origin, candidate.clone(), cause);
                }
            }
        }
        let unknown = |origin: Revision, candidate: &Candidate| {
            let rollout = self.rollouts.get(&origin);
            rollout
                .and_then(|rollout| rollout.find(candidate))
                .is_none()
        };
        is_new |= self.brakes.merge(&news.brakes.only(unknown));
        is_new
    }

    /// Returns what to tell peers.
    pub fn news(&self) -> News {
        News {
            rollouts: self.rollouts.values().cloned().collect(),
            brakes: self.brakes.clone(),
        }
    }

    /// Takes what an instance says it acts on; returns whether it was news.
    pub fn hear_acting(&mut self, acting: Acting) -> bool {
        self.roster.merge(acting)
    }

    /// Takes a report of evidence; returns whether it was news.
    pub fn hear_report(&mut self, report: Report) -> bool {
        self.evidence.merge(report)
    }

    /// Returns the own reports, for peers.
    pub fn reports(&self) -> impl Iterator<Item = &Report> {
        self.own.values()
    }

    /// Returns the brakes known.
    pub fn brakes(&self) -> &Brakes {
        &self.brakes
    }

    /// Returns what the instances say they act on.
    pub fn roster(&self) -> &Roster {
        &self.roster
    }

    /// Returns the record of a rollout.
    pub fn rollout(&self, origin: Revision) -> Option<&Rollout> {
        self.rollouts.get(&origin)
    }

    /// Chooses the version that takes the next request for a model.
    pub fn choose(&mut self, model: &Model) -> VersionName {
        let part = self.parts.get(&model.name).cloned();
        let moves = part
            .iter()
            .flat_map(|part| part.moves.iter().map(|change| (part.origin, change)));
        let moving: Vec<_> = moves
            .map(|(origin, change)| {
                (
                    change.candidate.clone(),
                    self.share(origin, change),
                    change.base.clone(),
                )
            })
            .collect();
        let base = moving
            .first()
            .map_or(&model.base, |(_, _, base)| base)
            .clone();
        let is_moving = |version: &VersionName| {
            moving
                .iter()
                .any(|(candidate, _, _)| candidate.version == *version)
        };
        let resting = shares(model)
            .into_iter()
            .filter(|(version, _)| *version != base && !is_moving(version));
        let resting: Vec<_> = resting
            .map(|(version, ppm)| {
                (
                    Candidate {
                        model: model.name.clone(),
                        version,
                    },
                    ppm,
                )
            })
            .collect();
        let moving = moving
            .into_iter()
            .map(|(candidate, ppm, _)| (candidate, ppm));
        for (candidate, ppm) in moving.chain(resting) {
            let version = candidate.version.clone();
            if self.splitters.entry(candidate).or_default().take(ppm) {
                return version;
            }
        }
        base
    }

    /// Returns the part of its requests that this instance sends to a version under rollout.
    pub fn share(&self, origin: Revision, change: &Move) -> u32 {
        let candidate = &change.candidate;
        if self.brakes.cause(origin, candidate).is_some() {
            return 0;
        }
        let record = self
            .rollouts
            .get(&origin)
            .and_then(|rollout| rollout.find(candidate));
        let Some(record) = record else {
            // The bundle is in force but its first stage is not known yet: all stays as it was.
            return self
                .last
                .get(candidate)
                .copied()
                .unwrap_or(0)
                .min(change.from_ppm);
        };
        match record.phase {
            Phase::Stage { .. }
                if record
                    .senders
                    .as_ref()
                    .is_none_or(|all| all.contains(&self.me)) =>
            {
                record.local_ppm
            }
            Phase::Stage { .. } | Phase::Superseded => record.change.from_ppm,
            Phase::Closing | Phase::Done => record.change.to_ppm,
            Phase::Braking { .. } | Phase::TakenBack { .. } => 0,
        }
    }

    /// Returns how many engines serve a version now, out of those that the bundle names.
    pub fn engines(&self, origin: Revision, candidate: &Candidate) -> Option<u32> {
        let record = self.rollouts.get(&origin)?.find(candidate)?;
        let stage = record.stages.get(usize::from(record.stage()))?;
        Some(stage.engines)
    }

    /// Notes that a chunk was asked for.
    pub fn sent(&mut self, trial: &Trial) {
        if let Some(report) = self.report(trial) {
            report.tally(&trial.version, &trial.route).sent += 1;
        }
    }

    /// Notes that the first token came after `time_us` microseconds.
    pub fn first(&mut self, trial: &Trial, time_us: u64) {
        if let Some(report) = self.report(trial) {
            report
                .tally(&trial.version, &trial.route)
                .first
                .add(time_us);
        }
    }

    /// Notes that a later chunk came, at `time_us` microseconds a token.
    pub fn later(&mut self, trial: &Trial, time_us: u64) {
        if let Some(report) = self.report(trial) {
            report.tally(&trial.version, &trial.route).gap.add(time_us);
        }
    }

    /// Notes that a chunk failed.
    pub fn failed(&mut self, trial: &Trial, failure: Failure, now_ms: u64) {
        let Some(report) = self.report(trial) else {
            return;
        };
        let breaks = matches!(failure, Failure::Cut | Failure::Stalled);
        if breaks && report.broke(&trial.version, &trial.target, trial.begun_ms, now_ms) {
            report.tally(&trial.version, &trial.route).discounted += 1;
            return;
        }
        report.tally(&trial.version, &trial.route).fail(failure);
        report.blame(&trial.version, &trial.target);
    }

    /// Weighs all evidence; returns whether a brake was tripped, which peers must hear at once.
    pub fn weigh(&mut self, base_engines: impl Fn(&Move) -> u32, now_ms: u64) -> bool {
        for report in self.own.values() {
            self.evidence.merge(report.clone());
        }
        let running: Vec<_> = records(&self.rollouts)
            .filter(|(origin, record)| self.is_running(*origin, record))
            .map(|(origin, record)| (origin, record.clone()))
            .collect();
        let mut is_new = false;
        for (origin, record) in running {
            let candidate = record.change.candidate.clone();
            let stage = &record.stages[usize::from(record.stage())];
            let engines = (
                stage.engines,
                base_engines(&record.change).max(MIN_BASE_ENGINES),
            );
            let key = (origin, candidate.clone());
            let judge = self.judges.entry(key.clone()).or_insert_with(|| {
                let subject = subject(origin, &candidate.model);
                Judge::new(
                    subject,
                    candidate.version.clone(),
                    record.change.base.clone(),
                    self.method,
                )
            });
            let verdict = judge.weigh(&self.evidence, stage.share_ppm, engines, now_ms);
            let Some(verdict) = verdict else { continue };
            if self.promised.contains(&key) {
                self.objections.insert(key, verdict.cause);
            } else {
                is_new |= self.brakes.trip(origin, candidate, verdict.cause);
            }
        }
        is_new
    }

    /// Returns what this instance acts on, for peers; `base_open` counts open answers of a version.
    pub fn acting(
        &mut self,
        revision: Revision,
        base_open: impl Fn(&ModelName, &VersionName) -> u32,
    ) -> Acting {
        let mut moves = Vec::new();
        let all: Vec<_> = self
            .candidates()
            .map(|(origin, change)| (origin, change.clone()))
            .collect();
        for (origin, change) in all {
            let candidate = change.candidate.clone();
            let record = self
                .rollouts
                .get(&origin)
                .and_then(|rollout| rollout.find(&candidate));
            let braked = self.brakes.cause(origin, &candidate).is_some();
            let is_closing = record.is_some_and(|record| record.phase == Phase::Closing);
            let key = (origin, candidate.clone());
            if is_closing && !braked {
                self.promised.insert(key.clone());
            }
            moves.push(ActingMove {
                origin,
                stage: record.map_or(0, MoveRecord::stage),
                share_ppm: self.share(origin, &change),
                braked,
                promised: self.promised.contains(&key),
                base_open: base_open(&candidate.model, &change.base),
                candidate,
            });
        }
        self.sequence += 1;
        let acting = Acting {
            instance: self.me.clone(),
            incarnation: self.incarnation,
            sequence: self.sequence,
            revision,
            moves,
        };
        self.roster.merge(acting.clone());
        acting
    }

    /// Returns the records that are due to be written: first those not yet made, then next steps.
    ///
    /// A new record is to be written if absent, a next step if the record has not changed.
    /// `is_listed` tells whether the list of live instances could be had lately, and `rate` gives the
    /// requests a second for a model.
    pub fn due(
        &self,
        models: &[Model],
        rate: impl Fn(&ModelName) -> f64,
        is_listed: bool,
        now_ms: u64,
    ) -> Vec<Rollout> {
        let view = View {
            me: &self.me,
            now_ms,
            live: is_listed.then_some(self.live.as_slice()),
            roster: &self.roster,
            brakes: &self.brakes,
        };
        let mut due = self.missing(models, rate, is_listed);
        due.extend(self.rollouts.values().filter_map(|rollout| {
            let origin = rollout.origin;
            let answers = |candidate: &Candidate| {
                let subject = subject(origin, &candidate.model);
                self.evidence
                    .total(&subject, &candidate.version, None)
                    .first
                    .count()
            };
            let objection =
                |candidate: &Candidate| self.objections.get(&(origin, candidate.clone())).copied();
            let superseded = |candidate: &Candidate| {
                let part = self.parts.get(&candidate.model);
                part.is_some_and(|part| part.origin > origin)
            };
            rollout.next(&view, answers, objection, superseded)
        }));
        due
    }

    fn missing(
        &self,
        models: &[Model],
        rate: impl Fn(&ModelName) -> f64,
        is_listed: bool,
    ) -> Vec<Rollout> {
        let mut found: BTreeMap<Revision, (u64, Vec<_>)> = BTreeMap::new();
        for model in models {
            let Some(part) = self.parts.get(&model.name) else {
                continue;
            };
            if self.rollouts.contains_key(&part.origin) || part.moves.is_empty() || !is_listed {
                continue;
            }
            let demand = Demand {
                within: std::time::Duration::from_secs(model.complete_within_s),
                answer: std::time::Duration::from_millis(model.deadline_ms),
                instances: self.live.len() as u32,
                requests_per_s: rate(&model.name),
            };
            let deadline_ms = part.rolled_ms + model.complete_within_s * MS_PER_S;
            let entry = found
                .entry(part.origin)
                .or_insert((part.rolled_ms, Vec::new()));
            entry.1.extend(part.moves.iter().map(|change| {
                let from_ppm = self.share(part.origin, change);
                let change = Move {
                    from_ppm,
                    ..change.clone()
                };
                let stages = plan(&change, &demand, &STEPS);
                (change, stages, deadline_ms)
            }));
        }
        let record = |(origin, (rolled_ms, moves))| {
            Rollout::new(origin, rolled_ms, self.me.clone(), moves, &self.live)
        };
        found.into_iter().map(record).collect()
    }

    fn candidates(&self) -> impl Iterator<Item = (Revision, &Move)> {
        self.parts
            .values()
            .flat_map(|part| part.moves.iter().map(|change| (part.origin, change)))
    }

    fn is_running(&self, origin: Revision, record: &MoveRecord) -> bool {
        let candidate = &record.change.candidate;
        let part = self.parts.get(&candidate.model);
        let is_current = part.is_some_and(|part| part.origin == origin);
        let is_open = matches!(record.phase, Phase::Stage { .. } | Phase::Closing);
        is_current && is_open && self.brakes.cause(origin, candidate).is_none()
    }

    /// Returns the report that a trial belongs to, if its version is under rollout here.
    ///
    /// Only instances that send to both versions count either, so that a fault of one instance, or of
    /// the network around it, is not laid on the version that it happens to send to.
    fn report(&mut self, trial: &Trial) -> Option<&mut Report> {
        let part = self.parts.get(&trial.model)?;
        let rollout = self.rollouts.get(&part.origin)?;
        let mut moving = rollout
            .moves
            .iter()
            .filter(|record| record.change.candidate.model == trial.model);
        let is_counted = moving.any(|record| {
            let is_party = record.change.candidate.version == trial.version
                || record.change.base == trial.version;
            is_party
                && self.is_running(part.origin, record)
                && self.share(part.origin, &record.change) > 0
        });
        let subject = subject(part.origin, &trial.model);
        if !is_counted || !self.is_witness(&subject) {
            return None;
        }
        let report = self.own.entry(subject.clone());
        Some(report.or_insert_with(|| Report::new(subject, self.me.clone(), self.incarnation)))
    }

    fn is_witness(&mut self, subject: &Subject) -> bool {
        if self.live.len() <= MAX_WITNESSES as usize {
            return true;
        }
        let (live, me) = (&self.live, &self.me);
        *self.witness.entry(subject.clone()).or_insert_with(|| {
            let ranked = rank(&sender_role(subject.origin, &subject.model), live);
            ranked
                .iter()
                .take(MAX_WITNESSES as usize)
                .any(|name| name == me)
        })
    }
}

fn subject(origin: Revision, model: &ModelName) -> Subject {
    Subject {
        origin,
        model: model.clone(),
    }
}

fn records(
    rollouts: &BTreeMap<Revision, Rollout>,
) -> impl Iterator<Item = (Revision, &MoveRecord)> {
    rollouts
        .values()
        .flat_map(|rollout| rollout.moves.iter().map(|record| (rollout.origin, record)))
}
