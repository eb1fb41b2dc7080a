//! What holds for the whole fleet, whoever said it first.

use std::collections::BTreeSet;

use celerypond_types::{Revision, VersionName};
use rapidhash::v3::rapidhash_v3;
use serde::{Deserialize, Serialize};

/// Brakes that are kept, those of the latest revisions.
const BRAKES_KEPT: usize = 64;

/// A version that gets no more traffic under a revision.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Brake {
    /// The revision under which the version was found bad.
    pub revision: Revision,
    /// The version.
    pub version: VersionName,
}

/// The highest revision and the brakes; both only grow.
///
/// These belong to no instance: if a brake were an entry of the instance that tripped it, it would
/// go when that instance dies, and the bad version would get traffic again. A maximum and a set
/// merge in any order and any number of times with the same result, so a late or repeated message
/// cannot take anything back.
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
    /// Returns the highest revision heard of.
    pub const fn revision(&self) -> Revision {
        self.revision
    }

    /// Returns the brakes in order of revision.
    pub fn brakes(&self) -> impl Iterator<Item = &Brake> {
        self.brakes.iter()
    }

    /// Returns whether a version is braked under a revision.
    pub fn is_braked(&self, brake: &Brake) -> bool {
        self.brakes.contains(brake)
    }

    /// Takes in a revision; returns whether it is news.
    pub fn raise_revision(&mut self, revision: Revision) -> bool {
        let news = revision > self.revision;
        self.revision = self.revision.max(revision);
        news
    }

    /// Takes in a brake; returns whether it is news.
    ///
    /// The set keeps the highest ones only, which every instance cuts alike.
    pub fn add_brake(&mut self, brake: Brake) -> bool {
        if !self.brakes.insert(brake.clone()) {
            return false;
        }
        if self.brakes.len() <= BRAKES_KEPT {
            return true;
        }
        self.brakes.pop_first() != Some(brake)
    }

    /// Takes in other facts; returns what was news.
    pub fn merge(&mut self, other: Self) -> Self {
        let mut news = Self::default();
        if self.raise_revision(other.revision) {
            news.revision = other.revision;
        }
        for brake in other.brakes {
            if self.add_brake(brake.clone()) {
                news.brakes.insert(brake);
            }
        }
        news
    }

    /// Returns whether nothing is known.
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
    }

    /// Returns a number by which two instances see that they know the same.
    pub fn summary(&self) -> u64 {
        let mut bytes = self.revision.0.to_le_bytes().to_vec();
        for brake in &self.brakes {
            bytes.extend_from_slice(&brake.revision.0.to_le_bytes());
            bytes.extend_from_slice(brake.version.as_str().as_bytes());
            bytes.push(0);
        }
        rapidhash_v3(&bytes)
    }
}
