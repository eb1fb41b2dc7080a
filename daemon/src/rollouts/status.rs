//! How rollouts stand, as operators are told.

use std::time::Duration;

use celerypond_rollout::{
    Cause, Coverage, ReportedStatus, RolloutController, Subject, VersionRollout,
};
use celerypond_types::{InstanceName, ModelName, Revision, VersionName};
use serde::Serialize;

use super::{listed, lock, Rollouts};
use crate::node::{self, Node};

/// How long ago the store may have been read for an answer that counts as known.
const FRESH: Duration = Duration::from_secs(10);

/// How a rollout stands, as operators are told.
#[derive(Clone, Debug, Serialize)]
pub struct RolloutStatus {
    /// The model.
    pub model: ModelName,
    /// The version.
    pub version: VersionName,
    /// How far it has come, or that it is not yet known.
    pub stage: String,
    /// How it ended: `done` or `taken_back`.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub ending: Option<&'static str>,
    /// Why it is taken back.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub cause: Option<Cause>,
    /// On how many instances the stage acts.
    pub acting: Coverage,
    /// When it must be complete, in milliseconds since 1970.
    pub deadline_ms: u64,
    /// What was seen of the version since the roll.
    pub candidate: TrialCounts,
    /// What was seen of the version that it is compared with, in the same time.
    pub base: TrialCounts,
}

/// What was seen of a version.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct TrialCounts {
    /// Answers and further chunks of answers that were asked for.
    pub asked: u64,
    /// Those that failed.
    pub failed: u64,
    /// Those that were cut off by the death of an engine, which count neither way.
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
    /// Returns how the rollouts of the bundle in force stand, and on how many instances it acts.
    pub fn status(&self, node: &Node) -> (Coverage, Vec<RolloutStatus>) {
        let live = listed(node);
        let is_fresh = lock(&self.read).is_some_and(|at| at.elapsed() < FRESH);
        let controller = self.controller();
        let Some(force) = node.active_bundle.load_full() else {
            return (
                controller
                    .applied_states()
                    .bundle_coverage(Revision(1), &live),
                Vec::new(),
            );
        };
        let in_force = controller
            .applied_states()
            .bundle_coverage(force.revision(), &live);
        let parts = force.headline.parts.values();
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
    let standing = controller.reported_status(origin, &change.candidate, is_fresh, node::wall_ms());
    let (stage, ending, cause) = match standing {
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
