//! Brakes: versions that get no traffic until a later bundle changes the model.

use std::collections::BTreeMap;

use celerypond_types::{ModelName, Revision};
use serde::{Deserialize, Serialize};

use crate::{record::ModelPart, share_increase::Candidate, verdict::Cause};

/// The braked versions.
///
/// Merging only adds entries, so instances converge in whatever order they exchange sets, also
/// while the store is down.
///
/// # Examples
///
/// ```
/// use celerypond_rollout::{Brakes, Candidate, Cause};
/// use celerypond_types::Revision;
///
/// let bad = Candidate { model: "draft".into(), version: "v2".into() };
/// let mut mine = Brakes::default();
/// let mut theirs = Brakes::default();
/// theirs.insert(Revision(3), bad.clone(), Cause::Failures);
/// assert!(mine.merge(&theirs));
/// assert!(mine.cause(Revision(3), &bad).is_some());
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Brakes {
    entries: Vec<Entry>,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Entry {
    origin: Revision,
    candidate: Candidate,
    cause: Cause,
}

impl Brakes {
    /// Brakes a version; returns whether it was not braked before.
    pub fn insert(&mut self, origin: Revision, candidate: Candidate, cause: Cause) -> bool {
        let is_same = |entry: &&mut Entry| entry.origin == origin && entry.candidate == candidate;
        if let Some(entry) = self.entries.iter_mut().find(is_same) {
            // Two instances may brake for different causes; the smaller one wins on all instances.
            entry.cause = entry.cause.min(cause);
            return false;
        }
        self.entries.push(Entry {
            origin,
            candidate,
            cause,
        });
        true
    }

    /// Adds the entries of another set; returns whether any was new.
    pub fn merge(&mut self, other: &Self) -> bool {
        let mut is_new = false;
        for entry in &other.entries {
            is_new |= self.insert(entry.origin, entry.candidate.clone(), entry.cause);
        }
        is_new
    }

    /// Returns why a version is braked, or `None` if it is not.
    pub fn cause(&self, origin: Revision, candidate: &Candidate) -> Option<Cause> {
        let is_same = |entry: &&Entry| entry.origin == origin && entry.candidate == *candidate;
        self.entries.iter().find(is_same).map(|entry| entry.cause)
    }

    /// Removes the entries of models that the bundle in force changed later or no longer has.
    pub fn remove_superseded(&mut self, parts: &BTreeMap<ModelName, ModelPart>) {
        self.entries.retain(|entry| {
            let part = parts.get(&entry.candidate.model);
            part.is_some_and(|part| part.origin <= entry.origin)
        });
    }

    /// Returns the entries that meet a condition.
    #[must_use]
    pub fn filtered(&self, holds: impl Fn(Revision, &Candidate) -> bool) -> Self {
        let kept = self
            .entries
            .iter()
            .filter(|entry| holds(entry.origin, &entry.candidate));
        Self {
            entries: kept.cloned().collect(),
        }
    }

    /// Returns whether no version is braked.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}
