//! Tracks which engines have which prompt prefixes cached.

use std::collections::BTreeMap;

use celerypond_types::TargetKey;
use slotmap::SecondaryMap;

/// The maximum number of prefixes tracked per engine.
const MAX_PREFIXES_PER_ENGINE: usize = 256;
/// The maximum number of prefixes tracked in total. An entry takes about 100 bytes, including its
/// place in the index.
const MAX_PREFIXES: usize = 65_536;

/// An event of an engine's prefix cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CacheEvent {
    /// The engine stored the prefix with this hash.
    Stored(u64),
    /// The engine evicted it.
    Evicted(u64),
}

/// An engine that has a prefix cached.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PrefixHolder {
    /// The hash of the prefix.
    pub prefix: u64,
    /// The engine.
    pub target: TargetKey,
    /// Whether no event of the engine has been lost since it stored the prefix.
    pub certain: bool,
}

/// An immutable index from prefix hashes to the engines that hold them.
#[derive(Clone, Debug, Default)]
pub struct PrefixIndex {
    /// Sorted by prefix.
    entries: Box<[PrefixHolder]>,
}

impl PrefixIndex {
    /// Returns the engines that have a prefix cached.
    pub fn holders(&self, prefix: u64) -> &[PrefixHolder] {
        let start = self.entries.partition_point(|e| e.prefix < prefix);
        let rest = &self.entries[start..];
        &rest[..rest.partition_point(|e| e.prefix == prefix)]
    }
}

/// The state derived from the cache events of one engine.
#[derive(Clone, Debug, Default)]
struct EngineEvents {
    /// The sequence number of the last event.
    last_sequence: u64,
    /// The last event.
    last_event: Option<CacheEvent>,
    /// The sequence number of the last event that followed a gap.
    last_gap: u64,
    /// The sequence number at which each prefix was stored.
    prefixes: BTreeMap<u64, u64>,
}

/// Tracks the prefix caches of all engines from their events, in bounded memory.
///
/// If the event of an eviction is lost, requests would keep going to an engine for a prefix that it
/// no longer holds, past less loaded engines. After a gap in the sequence numbers, prefixes stored
/// before it are therefore uncertain, and affinity to them applies only while the engine has little
/// load.
///
/// # Examples
///
/// ```
/// use celerypond_route::{CacheEvent, PrefixTracker};
/// use celerypond_types::TargetKey;
/// use slotmap::SlotMap;
///
/// let mut targets =  SlotMap::<TargetKey, ()>::with_key();
/// let engine = targets.insert(());
/// let mut tracker = PrefixTracker::default();
/// tracker.apply(engine, 1, CacheEvent::Stored(7));
/// assert!(tracker.build_index().holders(7)[0].certain);
/// tracker.apply(engine, 3, CacheEvent::Stored(8)); // Event 2 is missing.
/// assert!(!tracker.build_index().holders(7)[0].certain);
/// assert!(tracker.build_index().holders(8)[0].certain);
/// ```
#[derive(Clone, Debug, Default)]
pub struct PrefixTracker {
    engines: SecondaryMap<TargetKey, EngineEvents>,
    len: usize,
}

impl PrefixTracker {
    /// Applies an event, unless its sequence number is not newer than the engine's last.
    pub fn apply(&mut self, target: TargetKey, sequence: u64, event: CacheEvent) {
        let mut engine = self.engines.remove(target).unwrap_or_default();
        self.len -= engine.prefixes.len();
        engine.apply(sequence, event, self.len < MAX_PREFIXES);
        self.len += engine.prefixes.len();
        self.engines.insert(target, engine);
    }

    /// Returns the sequence number after which to request an engine's events. It includes the last
    /// known event again, so that [`Self::apply_poll`] can tell whether the engine's sequence
    /// continues.
    pub fn poll_after(&self, target: TargetKey) -> u64 {
        let engine = self.engines.get(target);
        engine.map_or(0, |engine| engine.last_sequence.saturating_sub(1))
    }

    /// Applies an engine's events after [`Self::poll_after`]; returns whether anything changed.
    ///
    /// An engine that restarts has an empty cache and numbers its events from 1 again. Polling
    /// after the last known event would return nothing, and requests would keep going there for
    /// prefixes that it no longer holds. If the last known event is not returned again, the engine
    /// is therefore removed and its events are read from the start with the next poll.
    pub fn apply_poll(&mut self, target: TargetKey, events: &[(u64, CacheEvent)]) -> bool {
        let known = self
            .engines
            .get(target)
            .map(|engine| (engine.last_sequence, engine.last_event));
        if let Some((last, Some(event))) = known
            && events.first() != Some(&(last, event))
        {
            self.remove(target);
            return true;
        }
        let new_events = events
            .iter()
            .filter(|(sequence, _)| known.is_none_or(|(last, _)| *sequence > last));
        let mut changed = false;
        for (sequence, event) in new_events {
            self.apply(target, *sequence, *event);
            changed = true;
        }
        changed
    }

    /// Removes an engine that has left or restarted.
    pub fn remove(&mut self, target: TargetKey) {
        let engine = self.engines.remove(target);
        self.len -= engine.map_or(0, |engine| engine.prefixes.len());
    }

    /// Returns the number of tracked prefixes.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Returns whether no prefix is tracked.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Builds the index for the request path; call it at most every 500 ms.
    pub fn build_index(&self) -> PrefixIndex {
        let holders = self.engines.iter().flat_map(|(target, engine)| {
            engine
                .prefixes
                .iter()
                .map(move |(prefix, stored)| PrefixHolder {
                    prefix: *prefix,
                    target,
                    certain: *stored >= engine.last_gap,
                })
        });
        let mut entries: Vec<PrefixHolder> = holders.collect();
        entries.sort_by_key(|holder| holder.prefix);
        PrefixIndex {
            entries: entries.into_boxed_slice(),
        }
    }
}

impl EngineEvents {
    fn apply(&mut self, sequence: u64, event: CacheEvent, has_room: bool) {
        if sequence <= self.last_sequence {
            return;
        }
        // The first event seen of an engine may also follow a gap, but no prefix was stored before
        // it.
        if sequence > self.last_sequence + 1 {
            self.last_gap = sequence;
        }
        self.last_sequence = sequence;
        self.last_event = Some(event);
        match event {
            CacheEvent::Stored(prefix) => {
                self.prefixes.insert(prefix, sequence);
                if self.prefixes.len() > MAX_PREFIXES_PER_ENGINE || !has_room {
                    self.drop_oldest();
                }
            }
            CacheEvent::Evicted(prefix) => {
                self.prefixes.remove(&prefix);
            }
        }
    }

    fn drop_oldest(&mut self) {
        let oldest = self.prefixes.iter().min_by_key(|(_, stored)| **stored);
        if let Some((prefix, _)) = oldest.map(|(prefix, stored)| (*prefix, *stored)) {
            self.prefixes.remove(&prefix);
        }
    }
}
