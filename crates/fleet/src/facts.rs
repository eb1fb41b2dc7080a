//! Facts that concern the whole fleet and belong to no instance.

use std::collections::BTreeSet;

use celerypond_types::{Revision, VersionName};
use rapidhash::v3::rapidhash_v3;
use serde::{Deserialize, Serialize};

/// Maximum number of brakes kept. The lowest ones, by revision and version, are dropped first.
const MAX_BRAKES: usize = 64;

/// Stops all traffic to a version under a revision.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Brake {
    /// The revision under which the version was found to be faulty.
    pub revision: Revision,
    /// The version that gets no more traffic.
    pub version: VersionName,
}

/// The highest known revision and the brakes.
///
/// Facts belong to no instance: if a brake were an entry of the instance that added it, it would be
/// removed when that instance dies, and the faulty version would get traffic again. Both parts only
/// grow (a CRDT): the result of merging does not depend on the order or the number of merges, so a
/// late or repeated message cannot undo anything.
///
/// # Examples
///
/// ```
/// use celerypond_fleet::{Brake, Facts};
/// use celerypond_types::Revision;
///
/// let mut facts = Facts::default();
/// facts.raise_revision(Revision(4));
/// assert!(!facts.raise_revision(Revision(3)));
/// let brake = Brake { revision: Revision(4), version: "v2".into() };
/// assert!(facts.add_brake(brake.clone()));
/// assert!(!facts.add_brake(brake));
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Facts {
    revision: Revision,
    brakes: BTreeSet<Brake>,
}

impl Facts {
    /// Returns the highest known revision.
    pub const fn revision(&self) -> Revision {
        self.revision
    }

    /// Returns the brakes in order of revision and version.
    pub fn brakes(&self) -> impl Iterator<Item = &Brake> {
        self.brakes.iter()
    }

    /// Returns whether the brake is known.
    pub fn has_brake(&self, brake: &Brake) -> bool {
        self.brakes.contains(brake)
    }

    /// Adds a revision. Returns whether it is higher than the highest one known before.
    pub fn raise_revision(&mut self, revision: Revision) -> bool {
        let is_new = revision > self.revision;
        self.revision = self.revision.max(revision);
        is_new
    }

    /// Adds a brake. Returns whether it was unknown and is kept.
    ///
    /// Only the highest brakes are kept, so that all instances drop the same ones.
    pub fn add_brake(&mut self, brake: Brake) -> bool {
        if !self.brakes.insert(brake.clone()) {
            return false;
        }
        if self.brakes.len() <= MAX_BRAKES {
            return true;
        }
        self.brakes.pop_first() != Some(brake)
    }

    /// Merges other facts and returns those that were unknown.
    pub fn merge(&mut self, other: Self) -> Self {
        let mut added = Self::default();
        if self.raise_revision(other.revision) {
            added.revision = other.revision;
        }
        for brake in other.brakes {
            if self.add_brake(brake.clone()) {
                added.brakes.insert(brake);
            }
        }
        added
    }

    /// Returns whether no revision and no brake is known.
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
    }

    /// Returns a hash, by which two instances determine whether they know the same facts.
    pub fn fingerprint(&self) -> u64 {
        let mut bytes = self.revision.0.to_le_bytes().to_vec();
        for brake in &self.brakes {
            bytes.extend_from_slice(&brake.revision.0.to_le_bytes());
            bytes.extend_from_slice(brake.version.as_str().as_bytes());
            bytes.push(0);
        }
        rapidhash_v3(&bytes)
    }
}
