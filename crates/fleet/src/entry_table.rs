//! Entries of all origins.

use std::collections::{BTreeMap, BTreeSet};

use crate::{class_entries::ClassEntries, Delta, EntryClass, EntryError, EntryKind, Item, Origin};

/// Entries of one origin, indexed by class.
type OriginEntries = [ClassEntries; EntryClass::ALL.len()];

/// Entries of all origins.
///
/// # Examples
///
/// ```
/// use celerypond_fleet::{EntryKind, Item, Origin, EntryTable};
///
/// let mut table = EntryTable::default();
/// let item = Item { kind: EntryKind::Acting, key: "".into(), value: Box::new([4]) };
/// table.set(Origin(1), item.clone()).unwrap();
/// assert_eq!(table.items(EntryKind::Acting).next(), Some((Origin(1), &item)));
/// ```
#[derive(Clone, Debug, Default)]
pub struct EntryTable {
    origins: BTreeMap<Origin, OriginEntries>,
}

impl EntryTable {
    /// Sets an entry and returns the sequence number of the change.
    ///
    /// # Errors
    ///
    /// Fails if the value is too long or the class is full.
    pub fn set(&mut self, origin: Origin, item: Item) -> Result<u64, EntryError> {
        let class = item.kind.class();
        self.class_entries_mut(origin, class).set(item)
    }

    /// Clears an entry. Returns the sequence number of the change, or `None` if there is no such entry.
    pub fn clear(&mut self, origin: Origin, kind: EntryKind, key: &str) -> Option<u64> {
        self.class_entries_mut(origin, kind.class())
            .clear(kind, key)
    }

    /// Returns the entries of a kind in order of origin.
    pub fn items(&self, kind: EntryKind) -> impl Iterator<Item = (Origin, &Item)> {
        self.origins.iter().flat_map(move |(origin, classes)| {
            let items = classes[kind.class() as usize].items();
            items
                .filter(move |item| item.kind == kind)
                .map(|item| (*origin, item))
        })
    }

    /// Returns the sequence number up to which no change of an origin is missing.
    pub fn reached(&self, origin: Origin, class: EntryClass) -> u64 {
        self.class_entries(origin, class)
            .map_or(0, ClassEntries::reached)
    }

    /// Returns the origins from `first` to `last` in order, at most `limit` of them.
    pub(crate) fn between(&self, first: Origin, last: Origin, limit: usize) -> Vec<Origin> {
        let range = self.origins.range(first..=last);
        range.map(|(origin, _)| *origin).take(limit).collect()
    }

    pub(crate) fn class_entries(&self, origin: Origin, class: EntryClass) -> Option<&ClassEntries> {
        let classes = self.origins.get(&origin)?;
        Some(&classes[class as usize])
    }

    /// Applies changes from a peer and returns the sequence numbers of the entries that were stored.
    pub(crate) fn apply(&mut self, delta: Delta) -> Vec<u64> {
        self.class_entries_mut(delta.origin, delta.class)
            .apply(delta)
    }

    pub(crate) fn remove(&mut self, origin: Origin) {
        self.origins.remove(&origin);
    }

    /// Drops the entries of the group-local classes of all origins outside `group`.
    pub(crate) fn keep_group(&mut self, group: &BTreeSet<Origin>) {
        for (origin, classes) in &mut self.origins {
            if group.contains(origin) {
                continue;
            }
            for class in EntryClass::GROUP_LOCAL {
                classes[class as usize] = ClassEntries::default();
            }
        }
    }

    /// Moves the entries of `from` to `to`.
    pub(crate) fn rename(&mut self, from: Origin, to: Origin) {
        if let Some(classes) = self.origins.remove(&from) {
            self.origins.insert(to, classes);
        }
    }

    fn class_entries_mut(&mut self, origin: Origin, class: EntryClass) -> &mut ClassEntries {
        &mut self.origins.entry(origin).or_default()[class as usize]
    }
}
