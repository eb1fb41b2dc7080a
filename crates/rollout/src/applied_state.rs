//! What each instance acts on, as it says itself.

use std::collections::BTreeMap;

use celerypond_types::{InstanceName, Revision};
use serde::{Deserialize, Serialize};

use crate::share_increase::Candidate;

/// What an instance does with one version under rollout.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AppliedShare {
    /// The revision of the rollout.
    pub origin: Revision,
    /// The version.
    pub candidate: Candidate,
    /// The stage it acts on.
    pub stage: u8,
    /// The part of its requests that it sends to the version, in parts per million.
    pub share_ppm: u32,
    /// Whether it has the brake in force.
    pub braked: bool,
    /// Whether it has promised to trip no brake of its own any more.
    pub promised: bool,
    /// How many answers it still has open at the base.
    pub base_open: u32,
}

/// What an instance acts on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AppliedState {
    /// The instance.
    pub instance: InstanceName,
    /// Tells the runs of a restarted instance apart; rises.
    pub incarnation: u64,
    /// Tells newer words from older ones; rises.
    pub sequence: u64,
    /// The revision of the bundle in force.
    pub revision: Revision,
    /// The rollouts.
    pub moves: Vec<AppliedShare>,
}

impl AppliedState {
    /// Finds what it does with a version.
    pub fn find(&self, origin: Revision, candidate: &Candidate) -> Option<&AppliedShare> {
        let is_same =
            |applied: &&AppliedShare| applied.origin == origin && applied.candidate == *candidate;
        self.moves.iter().find(is_same)
    }
}

/// How far something has spread over the live instances.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Coverage {
    /// On how many instances.
    pub on: usize,
    /// Of how many.
    pub of: usize,
    /// Those that it is not known of.
    pub missing: Vec<InstanceName>,
}

impl Coverage {
    /// Returns whether it is on all instances, of which there is one at least.
    pub fn is_complete(&self) -> bool {
        self.missing.is_empty() && self.of > 0
    }
}

/// The latest words of all instances.
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
///     moves: Vec::new(),
/// });
/// let coverage = applied_states.bundle_coverage(Revision(4), &["i1".into(), "i2".into()]);
/// assert_eq!((coverage.on, coverage.of), (1, 2));
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AppliedStates {
    latest: BTreeMap<InstanceName, AppliedState>,
}

impl AppliedStates {
    /// Takes the word of an instance; returns whether it is newer than the one held.
    pub fn merge(&mut self, applied: AppliedState) -> bool {
        let order = |applied: &AppliedState| (applied.incarnation, applied.sequence);
        let held = self.latest.get(&applied.instance).map(order);
        let is_newer = held.is_none_or(|held| held < order(&applied));
        if is_newer {
            self.latest.insert(applied.instance.clone(), applied);
        }
        is_newer
    }

    /// Returns the latest word of an instance.
    pub fn get(&self, instance: &InstanceName) -> Option<&AppliedState> {
        self.latest.get(instance)
    }

    /// Returns on how many live instances a bundle is in force.
    pub fn bundle_coverage(&self, revision: Revision, live: &[InstanceName]) -> Coverage {
        self.coverage(live, |applied| applied.revision >= revision)
    }

    /// Returns how many live instances fulfil a condition by their latest word.
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

    /// Drops the words of instances that the list of the platform no longer names.
    pub fn retain_live(&mut self, live: &[InstanceName]) {
        self.latest.retain(|name, _| live.contains(name));
    }
}
