//! Which targets changed when.

use std::collections::{BTreeSet, VecDeque};

use celerypond_types::TargetName;

/// The most changes that are kept. A data centre's engines that die and start again are two changes
/// each; whoever is further behind gets the whole list.
const MAX_CHANGES: usize = 2_048;

/// Which targets changed after a revision of the store.
#[derive(Clone, Debug, Default)]
pub(crate) struct ChangeLog {
    /// The revision after which all changes are kept; nothing before the first list.
    complete_after: Option<u64>,
    changes: VecDeque<(u64, TargetName)>,
}

impl ChangeLog {
    /// Begins anew with a whole list of a revision.
    pub(crate) fn reset(&mut self, revision: u64) {
        self.complete_after = Some(revision);
        self.changes.clear();
    }

    /// Adds a change at a revision.
    pub(crate) fn push(&mut self, revision: u64, name: &TargetName) {
        self.changes.push_back((revision, name.clone()));
        if self.changes.len() > MAX_CHANGES {
            let oldest = self.changes.pop_front();
            self.complete_after = oldest.map(|(revision, _)| revision);
        }
    }

    /// Returns the targets that changed after a revision; nothing when not all of them are known.
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
