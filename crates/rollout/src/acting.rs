//! What each instance acts on, as it says itself.

use std::collections::BTreeMap;

use celerypond_types::{InstanceName, Revision};
use serde::{Deserialize, Serialize};

use crate::share_increase::Candidate;

/// What an instance does with one version under rollout.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ActingMove {
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
pub struct Acting {
    /// The instance.
    pub instance: InstanceName,
    /// Tells the runs of a restarted instance apart; rises.
    pub incarnation: u64,
    /// Tells newer words from older ones; rises.
    pub sequence: u64,
    /// The revision of the bundle in force.
    pub revision: Revision,
    /// The rollouts.
    pub moves: Vec<ActingMove>,
}

impl Acting {
    /// Finds what it does with a version.
    pub fn find(&self, origin: Revision, candidate: &Candidate) -> Option<&ActingMove> {
        let is_it =
            |acting: &&ActingMove| acting.origin == origin && acting.candidate == *candidate;
        self.moves.iter().find(is_it)
    }
}

/// How far something has spread over the live instances.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Spread {
    /// On how many instances.
    pub on: usize,
    /// Of how many.
    pub of: usize,
    /// Those that it is not known of.
    pub missing: Vec<InstanceName>,
}

impl Spread {
    /// Returns whether it is on all instances, of which there is one at least.
    pub fn is_full(&self) -> bool {
        self.missing.is_empty() && self.of > 0
    }
}

/// The latest words of all instances.
///
/// # Examples
///
/// ```
/// use celerypond_rollout::{Acting, Roster};
/// use celerypond_types::Revision;
///
/// let mut roster = Roster::default();
/// roster.merge(Acting {
///     instance: "i1".into(),
///     incarnation: 1,
///     sequence: 1,
///     revision: Revision(4),
///     moves: Vec::new(),
/// });
/// let spread = roster.in_force(Revision(4), &["i1".into(), "i2".into()]);
/// assert_eq!((spread.on, spread.of), (1, 2));
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Roster {
    latest: BTreeMap<InstanceName, Acting>,
}

impl Roster {
    /// Takes the word of an instance; returns whether it is newer than the one held.
    pub fn merge(&mut self, acting: Acting) -> bool {
        let order = |acting: &Acting| (acting.incarnation, acting.sequence);
        let held = self.latest.get(&acting.instance).map(order);
        let is_newer = held.is_none_or(|held| held < order(&acting));
        if is_newer {
            self.latest.insert(acting.instance.clone(), acting);
        }
        is_newer
    }

    /// Returns the latest word of an instance.
    pub fn get(&self, instance: &InstanceName) -> Option<&Acting> {
        self.latest.get(instance)
    }

    /// Returns on how many live instances a bundle is in force.
    pub fn in_force(&self, revision: Revision, live: &[InstanceName]) -> Spread {
        self.spread(live, |acting| acting.revision >= revision)
    }

    /// Returns how many live instances fulfil a condition by their latest word.
    pub fn spread(&self, live: &[InstanceName], holds: impl Fn(&Acting) -> bool) -> Spread {
        let is_on = |name: &&InstanceName| self.latest.get(*name).is_some_and(&holds);
        let missing: Vec<_> = live.iter().filter(|name| !is_on(name)).cloned().collect();
        Spread {
            on: live.len() - missing.len(),
            of: live.len(),
            missing,
        }
    }

    /// Drops the words of instances that the list of the platform no longer names.
    pub fn keep(&mut self, live: &[InstanceName]) {
        self.latest.retain(|name, _| live.contains(name));
    }
}
