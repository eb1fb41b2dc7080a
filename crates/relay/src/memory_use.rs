//! The use of engines' memory by streams.

use tokio::time::Instant;

use crate::{TargetQuery, Targets, Urgency, UsageLevels};

/// The use of the memory of a service's engines by the streams of all instances.
///
/// # Examples
///
/// ```
/// use celerypond_relay::{MemoryUse, Urgency, UsageLevels};
///
/// let (urgent, other) = (Urgency::new(0), Urgency::new(1));
/// let mut levels = UsageLevels::default();
/// levels.add(urgent, 9_000, false);
/// (0..4).for_each(|_| levels.add(other, 9_000, false));
/// let memory = MemoryUse { engines: 1, capacity: 88_000, prompt: 9_000, levels };
/// // The streams, the copy of the urgent one, and one prompt fit into the memory.
/// assert!(memory.has_room(urgent, 1));
/// assert!(!memory.has_room(other, 1));
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MemoryUse {
    /// The number of engines that may get new requests and are not avoided.
    pub engines: u32,
    /// The memory of one engine, in tokens.
    pub capacity: u64,
    /// The number of tokens of a prompt that arrives, with its maximum response.
    pub prompt: u64,
    /// The streams at these engines.
    pub levels: UsageLevels,
}

impl MemoryUse {
    /// Returns the share of the memory that streams take, without their copies. It exceeds 1 if
    /// prompts wait for memory.
    pub fn share(&self) -> f64 {
        self.streams_up_to(Urgency::LAST) as f64 / self.total().max(1) as f64
    }

    /// Returns whether there is room for all streams, for copies of those that are at least as
    /// urgent, and for this number of prompts at each engine.
    ///
    /// A copy takes as much memory as its run. As the copies of less urgent runs are not counted,
    /// room for them ends first.
    pub fn has_room(&self, urgency: Urgency, prompts: u64) -> bool {
        let streams = self.streams_up_to(Urgency::LAST);
        let copies = self.streams_up_to(urgency);
        let arriving = self.prompt * prompts * u64::from(self.engines);
        streams + copies + arriving <= self.total()
    }

    fn streams_up_to(&self, urgency: Urgency) -> u64 {
        self.levels.up_to(urgency).tokens
    }

    fn total(&self) -> u64 {
        self.capacity * u64::from(self.engines)
    }
}

impl Targets {
    /// Returns how much of the memory of a service's engines streams of all instances take. Returns
    /// `None` if the memory of an engine is not known, or if no engine is usable.
    ///
    /// Streams at engines that are avoided do not count, and neither does the memory of these
    /// engines. Lists of other instances that have expired do not count either, so that a view that
    /// is cut off seems to have too much room rather than too little.
    pub fn memory_use(&self, query: &TargetQuery<'_>, now: Instant) -> Option<MemoryUse> {
        let mut memory = MemoryUse {
            capacity: query.capacity?,
            prompt: query.tokens,
            ..MemoryUse::default()
        };
        let peer_usage = self.peer_usage(now);
        let usable = self.usable_targets(query.service);
        for (_, target) in usable.filter(|(_, target)| !target.is_avoided(now)) {
            memory.engines += 1;
            memory.levels = memory.levels.merged(&target.levels);
            if let Some(others) = peer_usage.get(&target.name_hash) {
                memory.levels = memory.levels.merged(&others.levels);
            }
        }
        (memory.engines > 0).then_some(memory)
    }
}
