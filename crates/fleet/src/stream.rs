//! The entries of one origin in one class.

use crate::{
    entry::{SLOTS, VALUE_BYTES},
    message::size,
    Class, Delta, Entry, EntryError, EntryKind, Item, Origin,
};

/// The entries of one origin in one class.
#[derive(Clone, Debug, Default)]
pub(crate) struct Stream {
    reached: u64,
    slots: Vec<Entry>,
}

impl Stream {
    /// Returns the sequence number up to which nothing is missing.
    pub(crate) const fn reached(&self) -> u64 {
        self.reached
    }

    pub(crate) fn items(&self) -> impl Iterator<Item = &Item> {
        self.slots.iter().filter_map(|entry| entry.item.as_ref())
    }

    /// Sets an entry of this instance and returns its sequence number.
    pub(crate) fn set(&mut self, item: Item) -> Result<u64, EntryError> {
        if item.value.len() > VALUE_BYTES {
            return Err(EntryError::Long(item.value.len()));
        }
        let (kind, key) = (item.kind, item.key.clone());
        let slot = match self.find(kind, &key) {
            Some(slot) => slot,
            None => self.free()?,
        };
        Ok(self.write(slot, Some(item)))
    }

    /// Clears an entry of this instance and returns the sequence number, if there was one.
    pub(crate) fn clear(&mut self, kind: EntryKind, key: &str) -> Option<u64> {
        let slot = self.find(kind, key)?;
        Some(self.write(slot, None))
    }

    fn find(&self, kind: EntryKind, key: &str) -> Option<u16> {
        let found = |entry: &&Entry| {
            entry
                .item
                .as_ref()
                .is_some_and(|item| item.kind == kind && item.key == key)
        };
        self.slots.iter().find(found).map(|entry| entry.slot)
    }

    fn free(&self) -> Result<u16, EntryError> {
        let cleared = self.slots.iter().find(|entry| entry.item.is_none());
        match cleared {
            Some(entry) => Ok(entry.slot),
            None if self.slots.len() < SLOTS => Ok(self.slots.len() as u16),
            None => Err(EntryError::Full),
        }
    }

    fn write(&mut self, slot: u16, item: Option<Item>) -> u64 {
        self.reached += 1;
        self.place(Entry {
            slot,
            sequence: self.reached,
            item,
        });
        self.reached
    }

    /// Takes in changes from a peer and returns the sequence numbers that are news.
    pub(crate) fn apply(&mut self, delta: Delta) -> Vec<u64> {
        let mut news = Vec::new();
        for entry in delta.entries {
            let sequence = entry.sequence;
            if self.place(entry) {
                news.push(sequence);
            }
        }
        if self.reached >= delta.after {
            self.reached = self.reached.max(delta.upto);
        }
        news
    }

    /// Puts an entry into its slot unless a later one is there.
    fn place(&mut self, entry: Entry) -> bool {
        let long = |item: &Item| item.value.len() > VALUE_BYTES;
        if usize::from(entry.slot) >= SLOTS || entry.item.as_ref().is_some_and(long) {
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

    /// Returns what changed after `after`, as far as it fits into `room` bytes.
    pub(crate) fn since(
        &self,
        origin: Origin,
        class: Class,
        after: u64,
        room: usize,
    ) -> Option<Delta> {
        let mut entries: Vec<&Entry> = self
            .slots
            .iter()
            .filter(|entry| entry.sequence > after && entry.sequence <= self.reached)
            .collect();
        entries.sort_by_key(|entry| entry.sequence);
        let mut left = room.checked_sub(Delta::HEAD_BYTES)?;
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

    /// Returns one entry, if it is still the last of its slot.
    pub(crate) fn one(&self, origin: Origin, class: Class, sequence: u64) -> Option<Delta> {
        let entry = self.slots.iter().find(|e| e.sequence == sequence)?;
        let before = self.slots.iter().map(|e| e.sequence);
        let before = before.filter(|s| *s < sequence).max().unwrap_or(0);
        // Past the gap of this instance the entries between are not known, so nothing is claimed.
        let after = if sequence <= self.reached {
            before
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
