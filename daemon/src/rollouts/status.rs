//! The status of rollouts as reported to operators.

use std::time::Duration;

use celerypond_rollout::{
    Cause, Coverage, ReportedStatus, RolloutController, Subject, VersionRollout,
};
use celerypond_types::{InstanceName, ModelName, Revision, VersionName};
use serde::Serialize;

use super::{listed_live_instances, lock, Rollouts};
use crate::node::{self, Node};

/// The maximum time since the last read of the store for its records to count as current.
const MAX_RECORD_AGE: Duration = Duration::from_secs(10);

/// The status of the rollout of one version.
#[derive(Clone, Debug, Serialize)]
pub struct RolloutStatus {
    /// The model.
    pub model: ModelName,
    /// The version.
    pub version: VersionName,
    /// The stage or the outcome as text, or that it is not yet known.
    pub stage: String,
    /// How it ended: `done` or `taken_back`, which means rolled back.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub ending: Option<&'static str>,
    /// Why the version was rolled back.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub cause: Option<Cause>,
    /// The live instances that confirm the outcome that the current phase leads to.
    pub acting: Coverage,
    /// When it must be complete, as Unix time in milliseconds.
    pub deadline_ms: u64,
    /// The trials of the version since the roll.
    pub candidate: TrialCounts,
    /// The trials of the version that it is compared with, in the same time.
    pub base: TrialCounts,
}

/// The numbers of trials of a version; a trial is one chunk of an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct TrialCounts {
    /// The trials sent, of first and of later chunks.
    pub asked: u64,
    /// The trials that failed.
    pub failed: u64,
    /// The trials cut off by the crash of an engine, which count neither as success nor as failure.
    pub discounted: u64,
}

impl TrialCounts {
    fn of(controller: &RolloutController, subject: &Subject, version: &VersionName) -> Self {
        let tally = controller.evidence().total(subject, version, None);
        let parts = [&tally.first, &tally.later];
        Self {
            asked: parts.iter().map(|trials| trials.sent).sum(),
            failed: parts.iter().map(|trials| trials.failures()).sum(),
            discounted: parts.iter().map(|trials| trials.discounted).sum(),
        }
    }
}

impl Rollouts {
    /// Returns on which live instances the bundle in force is active, and the status of its
    /// rollouts.
    pub fn status(&self, node: &Node) -> (Coverage, Vec<RolloutStatus>) {
        let live = listed_live_instances(node);
        let is_fresh = lock(&self.records_read_at).is_some_and(|at| at.elapsed() < MAX_RECORD_AGE);
        let controller = self.controller();
        let Some(active) = node.active_bundle.load_full() else {
            return (
                controller
                    .applied_states()
                    .bundle_coverage(Revision(1), &live),
                Vec::new(),
            );
        };
        let in_force = controller
            .applied_states()
            .bundle_coverage(active.revision(), &live);
        let parts = active.header.parts.values();
        let rollouts = parts.filter_map(|part| controller.rollout(part.origin));
        let statuses = rollouts
            .flat_map(|rollout| {
                rollout
                    .versions
                    .iter()
                    .map(move |record| (rollout.origin, record))
            })
            .map(|(origin, record)| status(origin, record, &controller, &live, is_fresh))
            .collect();
        (in_force, statuses)
    }
}

fn status(
    origin: Revision,
    record: &VersionRollout,
    controller: &RolloutController,
    live: &[InstanceName],
    is_fresh: bool,
) -> RolloutStatus {
    let change = &record.change;
    let subject = Subject {
        origin,
        model: change.candidate.model.clone(),
    };
    let reported = controller.reported_status(origin, &change.candidate, is_fresh, node::wall_ms());
    let (stage, ending, cause) = match reported {
        ReportedStatus::Running { stage, .. } => {
            let text = format!("stage {} of {}", stage + 1, record.stages.len());
            (text, None, None)
        }
        ReportedStatus::Done => ("done".to_owned(), Some("done"), None),
        ReportedStatus::TakenBack { cause } => {
            ("taken back".to_owned(), Some("taken_back"), Some(cause))
        }
        ReportedStatus::Superseded => ("superseded".to_owned(), None, None),
        ReportedStatus::NotYetKnown { .. } => ("not yet known".to_owned(), None, None),
    };
    RolloutStatus {
        model: change.candidate.model.clone(),
        version: change.candidate.version.clone(),
        stage,
        ending,
        cause,
        acting: record.coverage(origin, controller.applied_states(), live),
        deadline_ms: record.deadline_ms,
        candidate: TrialCounts::of(controller, &subject, &change.candidate.version),
        base: TrialCounts::of(controller, &subject, &change.base),
    }
}
