//! The streams of this instance.

use slotmap::SlotMap;

use crate::Placement;

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
    pub(crate) fn add(&mut self, target: u64, part: u64, tokens: u64) -> PlacementKey {
        self.arena.insert(Placement {
            target_hash: target,
            part,
            // No engine has that much memory.
            tokens: u32::try_from(tokens).unwrap_or(u32::MAX),
            is_reading: true,
        })
    }

    /// Records that the prompt of a stream was read; returns the tokens of the stream if this was
    /// not known.
    pub(crate) fn mark_read(&mut self, key: PlacementKey) -> Option<u64> {
        let stream = self.arena.get_mut(key)?;
        let was_reading = std::mem::take(&mut stream.is_reading);
        was_reading.then_some(u64::from(stream.tokens))
    }

    /// Removes a stream; returns its tokens if it existed.
    pub(crate) fn remove(&mut self, key: PlacementKey) -> Option<u64> {
        let stream = self.arena.remove(key)?;
        Some(u64::from(stream.tokens))
    }

    pub(crate) fn all(&self) -> impl Iterator<Item = Placement> + '_ {
        self.arena.values().copied()
    }
}
