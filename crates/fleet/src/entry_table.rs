//! The entries of all origins.

use std::collections::{BTreeMap, BTreeSet};

use crate::{stream::Stream, Class, Delta, EntryError, EntryKind, Item, Origin};

type Streams = [Stream; Class::ALL.len()];

/// The entries of all origins.
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
    origins: BTreeMap<Origin, Streams>,
}

impl EntryTable {
    /// Sets an entry and returns its sequence number.
    ///
    /// # Errors
    ///
    /// Fails when the value is too long or the class is full.
    pub fn set(&mut self, origin: Origin, item: Item) -> Result<u64, EntryError> {
        let class = item.kind.class();
        self.stream_mut(origin, class).set(item)
    }

    /// Clears an entry and returns the sequence number, if there was one.
    pub fn clear(&mut self, origin: Origin, kind: EntryKind, key: &str) -> Option<u64> {
        self.stream_mut(origin, kind.class()).clear(kind, key)
    }

    /// Returns the entries of a kind in order of origin.
    pub fn items(&self, kind: EntryKind) -> impl Iterator<Item = (Origin, &Item)> {
        self.origins.iter().flat_map(move |(origin, streams)| {
            let items = streams[kind.class() as usize].items();
            items
                .filter(move |item| item.kind == kind)
                .map(|item| (*origin, item))
        })
    }

    /// Returns the sequence number up to which nothing is missing.
    pub fn reached(&self, origin: Origin, class: Class) -> u64 {
        self.stream(origin, class).map_or(0, Stream::reached)
    }

    /// Returns the origins from `first` to `last`, `limit` at most.
    pub(crate) fn between(&self, first: Origin, last: Origin, limit: usize) -> Vec<Origin> {
        let range = self.origins.range(first..=last);
        range.map(|(origin, _)| *origin).take(limit).collect()
    }

    pub(crate) fn stream(&self, origin: Origin, class: Class) -> Option<&Stream> {
        let streams = self.origins.get(&origin)?;
        Some(&streams[class as usize])
    }

    /// Takes in changes and returns the sequence numbers that are news.
    pub(crate) fn apply(&mut self, delta: Delta) -> Vec<u64> {
        self.stream_mut(delta.origin, delta.class).apply(delta)
    }

    pub(crate) fn remove(&mut self, origin: Origin) {
        self.origins.remove(&origin);
    }

    /// Drops the group's classes of all origins but these.
    pub(crate) fn keep_group(&mut self, group: &BTreeSet<Origin>) {
        for (origin, streams) in &mut self.origins {
            if group.contains(origin) {
                continue;
            }
            for class in Class::GROUP {
                streams[class as usize] = Stream::default();
            }
        }
    }

    pub(crate) fn rename(&mut self, from: Origin, to: Origin) {
        if let Some(streams) = self.origins.remove(&from) {
            self.origins.insert(to, streams);
        }
    }

    fn stream_mut(&mut self, origin: Origin, class: Class) -> &mut Stream {
        &mut self.origins.entry(origin).or_default()[class as usize]
    }
}
