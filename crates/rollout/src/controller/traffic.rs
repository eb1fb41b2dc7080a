//! Splitting of requests between versions, and recording of their results.

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
    /// Chooses the version for the next request for a model.
    pub fn choose_version(&mut self, model: &Model) -> VersionName {
        let (base, shares) = self.effective_shares(model);
        for (version, share_ppm) in shares {
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

    /// Returns the version that takes the remaining requests, and the current local shares of the
    /// others.
    ///
    /// The daemon publishes them to its request threads, which split by [`crate::selects`].
    pub fn effective_shares(&self, model: &Model) -> (VersionName, BTreeMap<VersionName, u32>) {
        let part = self.parts.get(&model.name);
        let changes = part.map_or(&[][..], |part| part.increases.as_slice());
        let origin = part.map_or_else(Revision::default, |part| part.origin);
        let base = changes.first().map_or(&model.base, |change| &change.base);
        let mut shares = configured_shares(model);
        for change in changes {
            let share = self.local_share(origin, change);
            shares.insert(change.candidate.version.clone(), share);
        }
        shares.remove(base);
        (base.clone(), shares)
    }

    /// Returns the share of its requests that this instance sends to a candidate, in parts per
    /// million.
    pub fn local_share(&self, origin: Revision, change: &ShareIncrease) -> u32 {
        let candidate = &change.candidate;
        if self.brakes.cause(origin, candidate).is_some() {
            return 0;
        }
        let Some(rollout) = self.version_rollout(origin, candidate) else {
            // The bundle is in force but its rollout record is not known yet: the share must not
            // rise.
            let last = self.previous_shares.get(candidate).copied().unwrap_or(0);
            return last.min(change.from_ppm);
        };
        let is_sender = rollout
            .senders
            .as_ref()
            .is_none_or(|all| all.contains(&self.me));
        match rollout.phase {
            Phase::Stage { .. } if is_sender && rollout.senders.is_some() => {
                self.limit_by_traffic(candidate, rollout.local_ppm)
            }
            Phase::Stage { .. } if is_sender => rollout.local_ppm,
            Phase::Stage { .. } | Phase::Superseded => rollout.change.from_ppm,
            Phase::Closing | Phase::Done => rollout.change.to_ppm,
            Phase::Braking { .. } | Phase::TakenBack { .. } => 0,
        }
    }

    /// Lowers the local share of a sender that gets more traffic than the mean.
    ///
    /// The share of a stage is a share of all traffic. Callers choose instances freely: if one of a
    /// few senders got three times the mean traffic, the version would get three times its share.
    fn limit_by_traffic(&self, candidate: &Candidate, local_ppm: u32) -> u32 {
        let relative = self
            .relative_traffic
            .get(&candidate.model)
            .copied()
            .unwrap_or(1.0);
        (f64::from(local_ppm) / relative.max(1.0)) as u32
    }

    /// Returns the number of engines that serve a candidate at the current stage.
    pub fn stage_engines(&self, origin: Revision, candidate: &Candidate) -> Option<u32> {
        let rollout = self.rollouts.get(&origin)?.find(candidate)?;
        let stage = rollout.stages.get(usize::from(rollout.stage()))?;
        Some(stage.engines)
    }

    /// Records that a chunk was requested.
    pub fn record_sent(&mut self, trial: &Trial) {
        if let Some(subject) = self.recorded_subject(trial) {
            self.recording_since_ms
                .entry(subject)
                .or_insert(trial.begun_ms);
        }
        if let Some(trials) = self.trial_counts(trial) {
            trials.sent += 1;
        }
    }

    /// Records that a chunk succeeded, with its time to the first token or its time per token.
    pub fn record_success(&mut self, trial: &Trial, time_us: u64) {
        if let Some(trials) = self.trial_counts(trial) {
            trials.times.add(time_us);
        }
    }

    /// Records that a chunk failed.
    pub fn record_failure(&mut self, trial: &Trial, failure: Failure, now_ms: u64) {
        let discount = self.config.discount_incidents;
        let Some(report) = self.report_for(trial) else {
            return;
        };
        let breaks = discount && matches!(failure, Failure::Cut | Failure::Stalled);
        if breaks && report.record_break(&trial.version, &trial.target, trial.begun_ms, now_ms) {
            report.trial_counts(trial).discounted += 1;
            return;
        }
        report.trial_counts(trial).count_failure(failure);
        report.record_target_failure(&trial.version, &trial.target);
    }

    fn trial_counts(&mut self, trial: &Trial) -> Option<&mut TrialCounts> {
        self.report_for(trial)
            .map(|report| report.trial_counts(trial))
    }

    /// Returns the subject of a trial, if this instance takes part in a rollout of its version.
    ///
    /// Only instances that send to both versions count trials of either. Otherwise a fault of one
    /// instance or of its network would be attributed to the version that it sends to.
    fn recorded_subject(&mut self, trial: &Trial) -> Option<Subject> {
        let origin = self.parts.get(&trial.model)?.origin;
        let versions = &self.rollouts.get(&origin)?.versions;
        let is_recorded = versions.iter().any(|version| {
            let change = &version.change;
            let is_candidate = change.candidate.version == trial.version;
            let is_compared = is_candidate || change.base == trial.version;
            let is_sending =
                change.candidate.model == trial.model && self.local_share(origin, change) > 0;
            is_compared && is_sending && self.is_running(origin, version)
        });
        let subject = subject(origin, &trial.model);
        (is_recorded && self.is_reporter(&subject)).then_some(subject)
    }

    fn report_for(&mut self, trial: &Trial) -> Option<&mut EvidenceReport> {
        let subject = self.recorded_subject(trial)?;
        // A trial that began before the recording started is not counted as sent.
        let since_ms = *self.recording_since_ms.get(&subject)?;
        if trial.begun_ms < since_ms {
            return None;
        }
        let report = self.own_reports.entry(subject.clone());
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
        *self
            .reporter_roles
            .entry(subject.clone())
            .or_insert_with(|| {
                let ranked = rendezvous_order(&sender_role(subject.origin, &subject.model), live);
                ranked
                    .iter()
                    .take(MAX_REPORTERS as usize)
                    .any(|name| name == me)
            })
    }
}
