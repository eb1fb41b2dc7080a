//! A log of recent changes of targets.

use std::collections::{BTreeSet, VecDeque};

use celerypond_types::TargetName;

/// The maximum number of changes that are kept. If all engines of a data centre die and restart,
/// that is two changes for each engine. An instance that is further behind gets the full list.
const MAX_CHANGES: usize = 2_048;

/// The targets that changed since a revision of the store.
#[derive(Clone, Debug, Default)]
pub(crate) struct ChangeLog {
    /// The revision since which the log is complete; `None` before the first full list.
    complete_after: Option<u64>,
    changes: VecDeque<(u64, TargetName)>,
}

impl ChangeLog {
    /// Clears the log after the full list of a revision was taken in.
    pub(crate) fn reset(&mut self, revision: u64) {
        self.complete_after = Some(revision);
        self.changes.clear();
    }

    pub(crate) fn push(&mut self, revision: u64, name: &TargetName) {
        self.changes.push_back((revision, name.clone()));
        if self.changes.len() > MAX_CHANGES {
            let oldest = self.changes.pop_front();
            self.complete_after = oldest.map(|(revision, _)| revision);
        }
    }

    /// Returns the targets that changed after a revision; `None` if the log does not go back that
    /// far.
    pub(crate) fn since(&self, revision: u64) -> Option<BTreeSet<&TargetName>> {
        if self
            .complete_after
            .is_none_or(|complete_after| revision < complete_after)
        {
            return None;
        }
        let later = self.changes.iter().filter(|(at, _)| *at > revision);
        Some(later.map(|(_, name)| name).collect())
    }
}
