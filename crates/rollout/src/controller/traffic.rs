//! How an instance splits requests and counts what comes of them.

use std::collections::BTreeMap;

use celerypond_bundle::Model;
use celerypond_types::{Revision, VersionName};

use super::{subject, RolloutController};
use crate::{
    evidence::{EvidenceReport, Subject, Trial},
    plan::MAX_REPORTERS,
    rendezvous::rendezvous_order,
    rollout::{sender_role, Phase},
    share_increase::{configured_shares, Candidate, ShareIncrease},
    tally::{Failure, TrialCounts},
};

impl RolloutController {
    /// Chooses the version that takes the next request for a model.
    pub fn choose_version(&mut self, model: &Model) -> VersionName {
        let (base, wanted) = self.effective_shares(model);
        for (version, share_ppm) in wanted {
            let candidate = Candidate {
                model: model.name.clone(),
                version: version.clone(),
            };
            if self
                .splitters
                .entry(candidate)
                .or_default()
                .selects_next(share_ppm)
            {
                return version;
            }
        }
        base
    }

    /// Returns the version that takes what is left, and the shares of the others here and now.
    ///
    /// This is what the daemon publishes for its request threads, which split by [`crate::selects`].
    pub fn effective_shares(&self, model: &Model) -> (VersionName, BTreeMap<VersionName, u32>) {
        let part = self.parts.get(&model.name);
        let changes = part.map_or(&[][..], |part| part.moves.as_slice());
        let origin = part.map_or_else(Revision::default, |part| part.origin);
        let base = changes.first().map_or(&model.base, |change| &change.base);
        let mut wanted = configured_shares(model);
        for change in changes {
            let share = self.local_share(origin, change);
            wanted.insert(change.candidate.version.clone(), share);
        }
        wanted.remove(base);
        (base.clone(), wanted)
    }

    /// Returns the part of its requests that this instance sends to a version under rollout.
    pub fn local_share(&self, origin: Revision, change: &ShareIncrease) -> u32 {
        let candidate = &change.candidate;
        if self.brakes.cause(origin, candidate).is_some() {
            return 0;
        }
        let Some(record) = self.record(origin, candidate) else {
            // The bundle is in force but its first stage is not known yet: all stays as it was.
            let last = self.last.get(candidate).copied().unwrap_or(0);
            return last.min(change.from_ppm);
        };
        let is_sender = record
            .senders
            .as_ref()
            .is_none_or(|all| all.contains(&self.me));
        match record.phase {
            Phase::Stage { .. } if is_sender && record.senders.is_some() => {
                self.share_by_traffic(candidate, record.local_ppm)
            }
            Phase::Stage { .. } if is_sender => record.local_ppm,
            Phase::Stage { .. } | Phase::Superseded => record.change.from_ppm,
            Phase::Closing | Phase::Done => record.change.to_ppm,
            Phase::Braking { .. } | Phase::TakenBack { .. } => 0,
        }
    }

    /// Lowers the local share of one of few senders that gets more traffic than others.
    ///
    /// The share of a stage is of all traffic. Callers choose instances as they like; if one of the few
    /// senders gets three times its part, so would the version.
    fn share_by_traffic(&self, candidate: &Candidate, local_ppm: u32) -> u32 {
        let relative = self.traffic.get(&candidate.model).copied().unwrap_or(1.0);
        (f64::from(local_ppm) / relative.max(1.0)) as u32
    }

    /// Returns how many engines serve a version now, out of those that the bundle names.
    pub fn stage_engines(&self, origin: Revision, candidate: &Candidate) -> Option<u32> {
        let record = self.rollouts.get(&origin)?.find(candidate)?;
        let stage = record.stages.get(usize::from(record.stage()))?;
        Some(stage.engines)
    }

    /// Notes that a chunk was asked for.
    pub fn record_sent(&mut self, trial: &Trial) {
        if let Some(subject) = self.counted(trial) {
            self.since_ms.entry(subject).or_insert(trial.begun_ms);
        }
        if let Some(trials) = self.trials(trial) {
            trials.sent += 1;
        }
    }

    /// Notes that a chunk came: its time to the first token, or its time per token.
    pub fn record_success(&mut self, trial: &Trial, time_us: u64) {
        if let Some(trials) = self.trials(trial) {
            trials.times.add(time_us);
        }
    }

    /// Notes that a chunk failed.
    pub fn record_failure(&mut self, trial: &Trial, failure: Failure, now_ms: u64) {
        let discount = self.judge_config.discount_incidents;
        let Some(report) = self.report(trial) else {
            return;
        };
        let breaks = discount && matches!(failure, Failure::Cut | Failure::Stalled);
        if breaks && report.record_break(&trial.version, &trial.target, trial.begun_ms, now_ms) {
            report.trials(trial).discounted += 1;
            return;
        }
        report.trials(trial).count_failure(failure);
        report.record_target_failure(&trial.version, &trial.target);
    }

    fn trials(&mut self, trial: &Trial) -> Option<&mut TrialCounts> {
        self.report(trial).map(|report| report.trials(trial))
    }

    /// Returns what a trial is evidence of, if its version is under rollout here.
    ///
    /// Only instances that send to both versions count either, so that a fault of one instance, or of
    /// the network around it, is not laid on the version that it happens to send to.
    fn counted(&mut self, trial: &Trial) -> Option<Subject> {
        let origin = self.parts.get(&trial.model)?.origin;
        let moves = &self.rollouts.get(&origin)?.moves;
        let is_counted = moves.iter().any(|record| {
            let change = &record.change;
            let is_candidate = change.candidate.version == trial.version;
            let is_party = is_candidate || change.base == trial.version;
            let is_here =
                change.candidate.model == trial.model && self.local_share(origin, change) > 0;
            is_party && is_here && self.is_running(origin, record)
        });
        let subject = subject(origin, &trial.model);
        (is_counted && self.is_reporter(&subject)).then_some(subject)
    }

    fn report(&mut self, trial: &Trial) -> Option<&mut EvidenceReport> {
        let subject = self.counted(trial)?;
        // What was begun before the counting is no part of the trials counted as begun.
        let since_ms = *self.since_ms.get(&subject)?;
        if trial.begun_ms < since_ms {
            return None;
        }
        let report = self.own.entry(subject.clone());
        Some(
            report
                .or_insert_with(|| EvidenceReport::new(subject, self.me.clone(), self.incarnation)),
        )
    }

    fn is_reporter(&mut self, subject: &Subject) -> bool {
        if self.live.len() <= MAX_REPORTERS as usize {
            return true;
        }
        let (live, me) = (&self.live, &self.me);
        *self.reporter_for.entry(subject.clone()).or_insert_with(|| {
            let ranked = rendezvous_order(&sender_role(subject.origin, &subject.model), live);
            ranked
                .iter()
                .take(MAX_REPORTERS as usize)
                .any(|name| name == me)
        })
    }
}
