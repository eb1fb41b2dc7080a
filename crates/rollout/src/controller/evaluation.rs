//! Evaluation of evidence, applied state and proposed records of an instance.

use std::{collections::BTreeMap, time::Duration};

use celerypond_bundle::Model;
use celerypond_types::{ModelName, Revision, VersionName};

use super::{subject, RolloutController};
use crate::{
    applied_state::{AppliedShare, AppliedState},
    judge::Judge,
    plan::{plan_stages, PlanInput},
    reported_status::ReportedStatus,
    rollout::{Phase, Rollout, StepContext},
    share_increase::{Candidate, ShareIncrease},
    verdict::Engines,
    version_rollout::VersionRollout,
};

/// Number of engines assumed for a base without engines in the bundle.
const MIN_BASE_ENGINES: u32 = 1;
const MS_PER_S: u64 = 1_000;

impl RolloutController {
    /// Evaluates all evidence; returns whether a version was braked, which peers must learn at
    /// once.
    ///
    /// To be called periodically and after each failure, when the evidence is strongest.
    pub fn evaluate(&mut self, base_engines: impl Fn(&ShareIncrease) -> u32, now_ms: u64) -> bool {
        for report in self.own_reports.values() {
            self.evidence.merge(report.clone());
        }
        let rollouts = self.rollouts.values();
        let records = rollouts.flat_map(|rollout| {
            let origin = rollout.origin;
            rollout
                .versions
                .iter()
                .map(move |version| (origin, version))
        });
        let running = records.filter(|(origin, version)| self.is_running(*origin, version));
        let running: Vec<_> = running
            .map(|(origin, version)| (origin, version.clone()))
            .collect();
        let mut is_new = false;
        for (origin, version) in running {
            let candidate = version.change.candidate.clone();
            let stage = &version.stages[usize::from(version.stage())];
            let engines = Engines {
                new: version.change.engines,
                base: base_engines(&version.change).max(MIN_BASE_ENGINES),
            };
            let key = (origin, candidate.clone());
            let judge = self.judges.entry(key.clone()).or_insert_with(|| {
                let subject = subject(origin, &candidate.model);
                Judge::new(
                    subject,
                    candidate.version.clone(),
                    version.change.base.clone(),
                    self.config,
                )
            });
            let verdict = judge.evaluate(&self.evidence, stage, engines, now_ms);
            let Some(verdict) = verdict else { continue };
            if self.promised.contains(&key) {
                self.objections.insert(key, verdict.cause);
            } else {
                is_new |= self.brakes.insert(origin, candidate, verdict.cause);
            }
        }
        is_new
    }

    /// Updates the applied state of this instance and returns it for peers.
    ///
    /// `base_open` returns the number of open answers of a version. An instance that applies a
    /// record in the closing phase hereby promises not to brake any more.
    pub fn update_applied_state(
        &mut self,
        revision: Revision,
        base_open: impl Fn(&ModelName, &VersionName) -> u32,
    ) -> AppliedState {
        let mut shares = Vec::new();
        for (origin, change) in self.share_increases() {
            let open = base_open(&change.candidate.model, &change.base);
            shares.push(self.applied_share(origin, change, open));
        }
        self.sequence += 1;
        let applied = AppliedState {
            instance: self.me.clone(),
            incarnation: self.incarnation,
            sequence: self.sequence,
            revision,
            shares,
        };
        self.applied_states.merge(applied.clone());
        applied
    }

    fn applied_share(
        &mut self,
        origin: Revision,
        change: ShareIncrease,
        base_open: u32,
    ) -> AppliedShare {
        let share_ppm = self.local_share(origin, &change);
        let candidate = change.candidate;
        let key = (origin, candidate.clone());
        let braked = self.brakes.cause(origin, &candidate).is_some();
        let version = self.version_rollout(origin, &candidate);
        let stage = version.map_or(0, VersionRollout::stage);
        if version.is_some_and(|version| version.phase == Phase::Closing) && !braked {
            self.promised.insert(key.clone());
        }
        AppliedShare {
            origin,
            candidate,
            stage,
            share_ppm,
            braked,
            promised: self.promised.contains(&key),
            base_open,
        }
    }

    /// Returns the records to write: those of new rollouts, then the next steps of known ones.
    ///
    /// A new record is to be written if it is absent, a next step if the stored record has not
    /// changed. `is_listed` tells whether the list of live instances is recent, and `rate` returns
    /// the requests per second for a model.
    pub fn due_records(
        &self,
        models: &[Model],
        rate: impl Fn(&ModelName) -> f64,
        is_listed: bool,
        now_ms: u64,
    ) -> Vec<Rollout> {
        let context = self.context(is_listed, now_ms);
        let mut due = self.new_records(models, rate, is_listed);
        due.extend(self.rollouts.values().filter_map(|rollout| {
            let origin = rollout.origin;
            let answers = |candidate: &Candidate| {
                let subject = subject(origin, &candidate.model);
                self.evidence
                    .total(&subject, &candidate.version, None)
                    .first
                    .times
                    .count()
            };
            let objection =
                |candidate: &Candidate| self.objections.get(&(origin, candidate.clone())).copied();
            let superseded = |candidate: &Candidate| {
                let part = self.parts.get(&candidate.model);
                part.is_some_and(|part| part.origin > origin)
            };
            rollout.next_step(&context, answers, objection, superseded)
        }));
        due
    }

    /// Returns the status of a rollout for operators; `is_fresh` tells whether the store answered
    /// recently.
    pub fn reported_status(
        &self,
        origin: Revision,
        candidate: &Candidate,
        is_fresh: bool,
        now_ms: u64,
    ) -> ReportedStatus {
        let context = self.context(is_fresh, now_ms);
        ReportedStatus::of(
            origin,
            self.version_rollout(origin, candidate),
            &context,
            is_fresh,
        )
    }

    fn context(&self, is_listed: bool, now_ms: u64) -> StepContext<'_> {
        StepContext {
            me: &self.me,
            now_ms,
            live: is_listed.then_some(self.live.as_slice()),
            applied_states: &self.applied_states,
            brakes: &self.brakes,
        }
    }

    fn new_records(
        &self,
        models: &[Model],
        rate: impl Fn(&ModelName) -> f64,
        is_listed: bool,
    ) -> Vec<Rollout> {
        let mut by_origin: BTreeMap<Revision, (u64, Vec<_>)> = BTreeMap::new();
        for model in models {
            let Some(part) = self.parts.get(&model.name) else {
                continue;
            };
            if self.rollouts.contains_key(&part.origin) || part.increases.is_empty() || !is_listed {
                continue;
            }
            let input = PlanInput {
                rollout_time: Duration::from_secs(model.complete_within_s),
                answer_time: Duration::from_millis(model.deadline_ms),
                instances: self.live.len() as u32,
                requests_per_s: rate(&model.name),
            };
            let deadline_ms = part.rolled_ms + model.complete_within_s * MS_PER_S;
            let entry = by_origin
                .entry(part.origin)
                .or_insert((part.rolled_ms, Vec::new()));
            entry.1.extend(part.increases.iter().map(|change| {
                let from_ppm = self.local_share(part.origin, change);
                let change = ShareIncrease {
                    from_ppm,
                    ..change.clone()
                };
                let stages = plan_stages(&change, &input, self.config.stage_templates);
                (change, stages, deadline_ms)
            }));
        }
        let rollout = |(origin, (rolled_ms, increases))| {
            Rollout::new(origin, rolled_ms, self.me.clone(), increases, &self.live)
        };
        by_origin.into_iter().map(rollout).collect()
    }

    pub(super) fn is_running(&self, origin: Revision, version: &VersionRollout) -> bool {
        let candidate = &version.change.candidate;
        let part = self.parts.get(&candidate.model);
        let is_current = part.is_some_and(|part| part.origin == origin);
        let is_open = matches!(version.phase, Phase::Stage { .. } | Phase::Closing);
        is_current && is_open && self.brakes.cause(origin, candidate).is_none()
    }
}
