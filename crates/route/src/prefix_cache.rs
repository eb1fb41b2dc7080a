//! Which engines hold which prompt prefixes.

use std::collections::BTreeMap;

use celerypond_types::TargetKey;
use slotmap::SecondaryMap;

/// How many prefixes are kept for one engine.
const PER_ENGINE: usize = 256;
/// How many prefixes are kept for all engines; an entry takes about 100 bytes with its place in
/// the index.
const IN_ALL: usize = 65_536;

/// An event of an engine's cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CacheEvent {
    /// The engine holds the prefix with this hash.
    Stored(u64),
    /// It no longer does.
    Evicted(u64),
}

/// An engine that holds a prefix.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PrefixHolder {
    /// The hash of the prefix.
    pub prefix: u64,
    /// The engine.
    pub target: TargetKey,
    /// Whether no event of the engine was missed since it stored the prefix.
    pub certain: bool,
}

/// An immutable index from prefix hashes to the engines that hold them.
#[derive(Clone, Debug, Default)]
pub struct PrefixIndex {
    /// Sorted by prefix.
    entries: Box<[PrefixHolder]>,
}

impl PrefixIndex {
    /// Returns the engines that hold a prefix.
    pub fn holders(&self, prefix: u64) -> &[PrefixHolder] {
        let start = self.entries.partition_point(|e| e.prefix < prefix);
        let rest = &self.entries[start..];
        &rest[..rest.partition_point(|e| e.prefix == prefix)]
    }
}

/// What the cache events of one engine have told.
#[derive(Clone, Debug, Default)]
struct Engine {
    /// The sequence number of the last event.
    last: u64,
    /// The last event.
    event: Option<CacheEvent>,
    /// The last event before which one is missing.
    gap: u64,
    /// The sequence number at which each prefix was stored.
    prefixes: BTreeMap<u64, u64>,
}

/// What the cache events of all engines have told; its size is bounded.
///
/// The failure: an engine evicts a prefix, the event is lost, and requests go on to that engine
/// for a prefix that it no longer holds, past engines with less to do. After a gap in the sequence
/// numbers, what was stored before it is uncertain, and a request goes there only if the engine has
/// little to do.
///
/// # Examples
///
/// ```
/// use celerypond_route::{CacheEvent, PrefixTracker};
/// use celerypond_types::TargetKey;
/// use slotmap::SlotMap;
///
/// let mut arena = SlotMap::<TargetKey, ()>::with_key();
/// let engine = arena.insert(());
/// let mut tracker = PrefixTracker::default();
/// tracker.apply(engine, 1, CacheEvent::Stored(7));
/// assert!(tracker.build_index().holders(7)[0].certain);
/// tracker.apply(engine, 3, CacheEvent::Stored(8)); // Event 2 is missing.
/// assert!(!tracker.build_index().holders(7)[0].certain);
/// assert!(tracker.build_index().holders(8)[0].certain);
/// ```
#[derive(Clone, Debug, Default)]
pub struct PrefixTracker {
    engines: SecondaryMap<TargetKey, Engine>,
    len: usize,
}

impl PrefixTracker {
    /// Takes an event; one that is not newer than the last of its engine is dropped.
    pub fn apply(&mut self, target: TargetKey, sequence: u64, event: CacheEvent) {
        let mut engine = self.engines.remove(target).unwrap_or_default();
        self.len -= engine.prefixes.len();
        engine.take(sequence, event, self.len < IN_ALL);
        self.len += engine.prefixes.len();
        self.engines.insert(target, engine);
    }

    /// Returns the sequence number after which to ask an engine for its events: the last event is
    /// asked for once more, so that [`Self::apply_poll`] knows whether the engine still counts on from it.
    pub fn poll_after(&self, target: TargetKey) -> u64 {
        let engine = self.engines.get(target);
        engine.map_or(0, |engine| engine.last.saturating_sub(1))
    }

    /// Takes an engine's events after [`Self::poll_after`]; returns whether anything changed.
    ///
    /// The failure: an engine starts anew with an empty cache and counts from 1. It has no events
    /// after the last that was heard, so its old prefixes stay in the index, and requests go there
    /// for what it no longer holds. When the last event is not there again, the engine is forgotten
    /// and read from its first event on with the next answer.
    pub fn apply_poll(&mut self, target: TargetKey, events: &[(u64, CacheEvent)]) -> bool {
        let known = self
            .engines
            .get(target)
            .map(|engine| (engine.last, engine.event));
        if let Some((last, Some(event))) = known
            && events.first() != Some(&(last, event))
        {
            self.remove(target);
            return true;
        }
        let news = events
            .iter()
            .filter(|(sequence, _)| known.is_none_or(|(last, _)| *sequence > last));
        let mut is_new = false;
        for (sequence, event) in news {
            self.apply(target, *sequence, *event);
            is_new = true;
        }
        is_new
    }

    /// Forgets an engine, when it has left or started anew.
    pub fn remove(&mut self, target: TargetKey) {
        let engine = self.engines.remove(target);
        self.len -= engine.map_or(0, |engine| engine.prefixes.len());
    }

    /// Returns how many prefixes are kept.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Returns whether no prefix is kept.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Makes the index for the request path; call it at most every 500 ms.
    pub fn build_index(&self) -> PrefixIndex {
        let holders = self.engines.iter().flat_map(|(target, engine)| {
            engine
                .prefixes
                .iter()
                .map(move |(prefix, stored)| PrefixHolder {
                    prefix: *prefix,
                    target,
                    certain: *stored >= engine.gap,
                })
        });
        let mut entries: Vec<PrefixHolder> = holders.collect();
        entries.sort_by_key(|holder| holder.prefix);
        PrefixIndex {
            entries: entries.into_boxed_slice(),
        }
    }
}

impl Engine {
    fn take(&mut self, sequence: u64, event: CacheEvent, has_room: bool) {
        if sequence <= self.last {
            return;
        }
        // The first event heard of an engine has no known one before it, but nothing is held then.
        if sequence > self.last + 1 {
            self.gap = sequence;
        }
        self.last = sequence;
        self.event = Some(event);
        match event {
            CacheEvent::Stored(prefix) => {
                self.prefixes.insert(prefix, sequence);
                if self.prefixes.len() > PER_ENGINE || !has_room {
                    self.drop_oldest();
                }
            }
            CacheEvent::Evicted(prefix) => {
                self.prefixes.remove(&prefix);
            }
        }
    }

    fn drop_oldest(&mut self) {
        let by_age = self.prefixes.iter().min_by_key(|(_, stored)| **stored);
        if let Some((prefix, _)) = by_age.map(|(prefix, stored)| (*prefix, *stored)) {
            self.prefixes.remove(&prefix);
        }
    }
}
