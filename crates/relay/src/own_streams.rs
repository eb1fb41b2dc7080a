//! The streams of this instance.

use slotmap::SlotMap;

use crate::{Placement, Urgency};

slotmap::new_key_type! {
    /// The key of one of this instance's streams.
    pub struct PlacementKey;
}

/// The streams of this instance, as reported to other instances.
#[derive(Clone, Debug, Default)]
pub(crate) struct OwnStreams {
    arena: SlotMap<PlacementKey, Placement>,
}

impl OwnStreams {
    /// Adds a stream whose prompt is to be read.
    pub(crate) fn add(
        &mut self,
        target: u64,
        part: u64,
        tokens: u64,
        urgency: Urgency,
    ) -> PlacementKey {
        self.arena.insert(Placement {
            target_hash: target,
            part,
            // No engine has that much memory.
            tokens: u32::try_from(tokens).unwrap_or(u32::MAX),
            is_reading: true,
            urgency,
        })
    }

    /// Records that the prompt of a stream was read; returns the stream if this was not known.
    pub(crate) fn mark_read(&mut self, key: PlacementKey) -> Option<Placement> {
        let stream = self.arena.get_mut(key)?;
        let was_reading = std::mem::take(&mut stream.is_reading);
        was_reading.then_some(*stream)
    }

    /// Removes a stream; returns it if it existed.
    pub(crate) fn remove(&mut self, key: PlacementKey) -> Option<Placement> {
        self.arena.remove(key)
    }

    pub(crate) fn all(&self) -> impl Iterator<Item = Placement> + '_ {
        self.arena.values().copied()
    }
}
