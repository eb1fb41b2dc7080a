//! The streams of this instance, as it tells the others of them.

use slotmap::SlotMap;

use crate::Placement;

slotmap::new_key_type! {
    /// A stream of this instance among those that it tells the others of.
    pub struct PlacementKey;
}

/// The streams of this instance.
#[derive(Clone, Debug, Default)]
pub(crate) struct Streams {
    arena: SlotMap<PlacementKey, Placement>,
}

impl Streams {
    /// Adds a stream whose prompt is to be read.
    pub(crate) fn add(&mut self, target: u64, part: u64, tokens: u64) -> PlacementKey {
        self.arena.insert(Placement {
            target,
            part,
            // No engine's memory comes near this bound.
            tokens: u32::try_from(tokens).unwrap_or(u32::MAX),
            is_reading: true,
        })
    }

    /// Takes in that a prompt was read; returns its tokens if that is news.
    pub(crate) fn has_read(&mut self, key: PlacementKey) -> Option<u64> {
        let stream = self.arena.get_mut(key)?;
        let was_reading = std::mem::take(&mut stream.is_reading);
        was_reading.then_some(u64::from(stream.tokens))
    }

    /// Removes a stream; returns its tokens if it was there.
    pub(crate) fn remove(&mut self, key: PlacementKey) -> Option<u64> {
        let stream = self.arena.remove(key)?;
        Some(u64::from(stream.tokens))
    }

    /// Returns all streams.
    pub(crate) fn all(&self) -> impl Iterator<Item = Placement> + '_ {
        self.arena.values().copied()
    }
}
