//! Rollout state that each instance reports as applied.

use std::collections::BTreeMap;

use celerypond_types::{InstanceName, Revision};
use serde::{Deserialize, Serialize};

use crate::share_increase::Candidate;

/// Applied state of one version under rollout.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AppliedShare {
    /// Origin of the rollout.
    pub origin: Revision,
    /// Version under rollout.
    pub candidate: Candidate,
    /// Index of the stage.
    pub stage: u8,
    /// Share of its own requests that the instance sends to the version, in parts per million.
    pub share_ppm: u32,
    /// Whether the instance applies the brake.
    pub braked: bool,
    /// Whether the instance has promised not to brake the version itself any more.
    ///
    /// From then on it brakes only if the record in the store says so. "Done" is written once all
    /// live instances have promised.
    pub promised: bool,
    /// Number of answers of the base that are still open on the instance.
    pub base_open: u32,
}

/// The state that one instance has applied.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AppliedState {
    /// Instance that reports the state.
    pub instance: InstanceName,
    /// Increases with each restart of the instance.
    pub incarnation: u64,
    /// Increases with each report of one incarnation.
    pub sequence: u64,
    /// Revision of the bundle in force.
    pub revision: Revision,
    /// Applied shares of the versions under rollout.
    #[serde(rename = "moves")]
    pub shares: Vec<AppliedShare>,
}

impl AppliedState {
    /// Returns the applied state of a version.
    pub fn find(&self, origin: Revision, candidate: &Candidate) -> Option<&AppliedShare> {
        let is_same =
            |applied: &&AppliedShare| applied.origin == origin && applied.candidate == *candidate;
        self.shares.iter().find(is_same)
    }
}

/// The live instances that meet a condition.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Coverage {
    /// Number of live instances that meet the condition.
    pub on: usize,
    /// Number of live instances.
    pub of: usize,
    /// Live instances that are not known to meet the condition.
    pub missing: Vec<InstanceName>,
}

impl Coverage {
    /// Returns whether all instances meet the condition and there is at least one.
    pub fn is_complete(&self) -> bool {
        self.missing.is_empty() && self.of > 0
    }
}

/// The latest known applied states of all instances.
///
/// # Examples
///
/// ```
/// use celerypond_rollout::{AppliedState, AppliedStates};
/// use celerypond_types::Revision;
///
/// let mut applied_states = AppliedStates::default();
/// applied_states.merge(AppliedState {
///     instance: "i1".into(),
///     incarnation: 1,
///     sequence: 1,
///     revision: Revision(4),
///     shares: Vec::new(),
/// });
/// let coverage = applied_states.bundle_coverage(Revision(4), &["i1".into(), "i2".into()]);
/// assert_eq!((coverage.on, coverage.of), (1, 2));
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AppliedStates {
    latest: BTreeMap<InstanceName, AppliedState>,
}

impl AppliedStates {
    /// Stores the state of an instance unless a newer one is known; returns whether it was stored.
    pub fn merge(&mut self, applied: AppliedState) -> bool {
        let order = |applied: &AppliedState| (applied.incarnation, applied.sequence);
        let held = self.latest.get(&applied.instance).map(order);
        let is_newer = held.is_none_or(|held| held < order(&applied));
        if is_newer {
            self.latest.insert(applied.instance.clone(), applied);
        }
        is_newer
    }

    /// Returns the latest known state of an instance.
    pub fn get(&self, instance: &InstanceName) -> Option<&AppliedState> {
        self.latest.get(instance)
    }

    /// Returns the live instances that have a bundle, or a later one, in force.
    pub fn bundle_coverage(&self, revision: Revision, live: &[InstanceName]) -> Coverage {
        self.coverage(live, |applied| applied.revision >= revision)
    }

    /// Returns the live instances whose latest known state meets a condition.
    pub fn coverage(
        &self,
        live: &[InstanceName],
        holds: impl Fn(&AppliedState) -> bool,
    ) -> Coverage {
        let holds_on = |name: &&InstanceName| self.latest.get(*name).is_some_and(&holds);
        let missing: Vec<_> = live
            .iter()
            .filter(|name| !holds_on(name))
            .cloned()
            .collect();
        Coverage {
            on: live.len() - missing.len(),
            of: live.len(),
            missing,
        }
    }

    /// Removes the states of all other instances than these.
    pub fn retain_live(&mut self, live: &[InstanceName]) {
        self.latest.retain(|name, _| live.contains(name));
    }
}
