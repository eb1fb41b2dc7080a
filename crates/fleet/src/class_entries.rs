//! Entries of one origin in one class.

use crate::{
    entry::{MAX_SLOTS, MAX_VALUE_BYTES},
    message::size,
    Delta, Entry, EntryClass, EntryError, EntryKind, Item, Origin,
};

/// Entries of one origin in one class.
#[derive(Clone, Debug, Default)]
pub(crate) struct ClassEntries {
    reached: u64,
    slots: Vec<Entry>,
}

impl ClassEntries {
    /// Returns the sequence number up to which no change is missing.
    pub(crate) const fn reached(&self) -> u64 {
        self.reached
    }

    /// Returns the contents of the slots that are not cleared.
    pub(crate) fn items(&self) -> impl Iterator<Item = &Item> {
        self.slots.iter().filter_map(|entry| entry.item.as_ref())
    }

    /// Sets an entry owned by this instance and returns the sequence number of the change.
    pub(crate) fn set(&mut self, item: Item) -> Result<u64, EntryError> {
        if item.value.len() > MAX_VALUE_BYTES {
            return Err(EntryError::ValueTooLong(item.value.len()));
        }
        let (kind, key) = (item.kind, item.key.clone());
        let slot = match self.slot_of(kind, &key) {
            Some(slot) => slot,
            None => self.free_slot()?,
        };
        Ok(self.write_next(slot, Some(item)))
    }

    /// Clears an entry owned by this instance. Returns the sequence number of the change, or `None` if
    /// there is no such entry.
    pub(crate) fn clear(&mut self, kind: EntryKind, key: &str) -> Option<u64> {
        let slot = self.slot_of(kind, key)?;
        Some(self.write_next(slot, None))
    }

    fn slot_of(&self, kind: EntryKind, key: &str) -> Option<u16> {
        let found = |entry: &&Entry| {
            entry
                .item
                .as_ref()
                .is_some_and(|item| item.kind == kind && item.key == key)
        };
        self.slots.iter().find(found).map(|entry| entry.slot)
    }

    fn free_slot(&self) -> Result<u16, EntryError> {
        let cleared = self.slots.iter().find(|entry| entry.item.is_none());
        match cleared {
            Some(entry) => Ok(entry.slot),
            None if self.slots.len() < MAX_SLOTS => Ok(self.slots.len() as u16),
            None => Err(EntryError::ClassFull),
        }
    }

    fn write_next(&mut self, slot: u16, item: Option<Item>) -> u64 {
        self.reached += 1;
        self.store(Entry {
            slot,
            sequence: self.reached,
            item,
        });
        self.reached
    }

    /// Applies changes from a peer and returns the sequence numbers of the entries that were stored.
    pub(crate) fn apply(&mut self, delta: Delta) -> Vec<u64> {
        let mut stored = Vec::new();
        for entry in delta.entries {
            let sequence = entry.sequence;
            if self.store(entry) {
                stored.push(sequence);
            }
        }
        if self.reached >= delta.after {
            self.reached = self.reached.max(delta.upto);
        }
        stored
    }

    /// Stores an entry in its slot unless the slot holds the same or a later change. Returns whether
    /// it was stored.
    fn store(&mut self, entry: Entry) -> bool {
        let is_too_long = |item: &Item| item.value.len() > MAX_VALUE_BYTES;
        if usize::from(entry.slot) >= MAX_SLOTS || entry.item.as_ref().is_some_and(is_too_long) {
            return false;
        }
        match self.slots.iter_mut().find(|old| old.slot == entry.slot) {
            Some(old) if old.sequence >= entry.sequence => false,
            Some(old) => {
                *old = entry;
                true
            }
            None => {
                self.slots.push(entry);
                true
            }
        }
    }

    /// Returns the changes after sequence number `after`, in order, as far as they fit into `room`
    /// bytes.
    pub(crate) fn delta_since(
        &self,
        origin: Origin,
        class: EntryClass,
        after: u64,
        room: usize,
    ) -> Option<Delta> {
        let mut entries: Vec<&Entry> = self
            .slots
            .iter()
            .filter(|entry| entry.sequence > after && entry.sequence <= self.reached)
            .collect();
        entries.sort_by_key(|entry| entry.sequence);
        let mut left = room.checked_sub(Delta::MAX_HEADER_BYTES)?;
        let mut delta = Delta {
            origin,
            class,
            after,
            upto: self.reached,
            entries: Vec::new(),
        };
        for entry in entries {
            let Some(rest) = left.checked_sub(size(entry)) else {
                delta.upto = delta.entries.last()?.sequence;
                break;
            };
            left = rest;
            delta.entries.push(entry.clone());
        }
        Some(delta)
    }

    /// Returns a delta with only the change `sequence`, if its slot has not changed since.
    pub(crate) fn single_delta(
        &self,
        origin: Origin,
        class: EntryClass,
        sequence: u64,
    ) -> Option<Delta> {
        let entry = self.slots.iter().find(|e| e.sequence == sequence)?;
        let sequences = self.slots.iter().map(|e| e.sequence);
        let previous = sequences.filter(|s| *s < sequence).max().unwrap_or(0);
        // If this instance itself misses changes before `sequence`, the delta must not make a receiver
        // count them as received.
        let after = if sequence <= self.reached {
            previous
        } else {
            sequence
        };
        Some(Delta {
            origin,
            class,
            after,
            upto: sequence,
            entries: vec![entry.clone()],
        })
    }
}
