//! Whether a run may have a copy of its memory.

use crate::{MemoryUse, Urgency};

/// The number of prompts that may arrive at each engine, for which copies leave room. An engine
/// reads one prompt at a time.
const ARRIVING_PROMPTS: u64 = 1;
/// The number of prompts at each engine for which there has to be room before copies return. The
/// margin is a further prompt at each engine, so that copies do not come and go with each one.
const RETURN_PROMPTS: u64 = 2;

/// Whether a run may have a copy of its memory, or yields that room to prompts.
///
/// The load: a burst of prompts fills the engines' memory. Each copy holds as much memory as its
/// run, so prompts wait behind copies until their callers' deadlines. Copies are allowed as long as
/// all streams and the copies of those that are at least as urgent fit into the memory beside the
/// prompts that arrive; the copies of the least urgent runs yield first. Copies themselves are not
/// part of the figure, so that yielding does not make it appear that there is room again.
///
/// # Examples
///
/// ```
/// use celerypond_relay::{CopyRoom, MemoryUse, Urgency, UsageLevels};
///
/// let urgency = Urgency::new(1);
/// let streams = |count: usize| {
///     let mut levels = UsageLevels::default();
///     (0..count).for_each(|_| levels.add(urgency, 10_000, false));
///     MemoryUse { engines: 1, capacity: 100_000, prompt: 10_000, levels }
/// };
/// let mut room = CopyRoom::default();
/// assert!(!room.update(urgency, &streams(4)));
/// assert!(room.update(urgency, &streams(5)));
/// assert!(room.yields());
/// room.update(urgency, &streams(4));
/// assert!(!room.yields());
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CopyRoom {
    yields: bool,
}

impl CopyRoom {
    /// Returns the decision for a run of this urgency that has no copy yet. Its copy needs as much
    /// room as one that returns.
    ///
    /// # Examples
    ///
    /// ```
    /// use celerypond_relay::{CopyRoom, MemoryUse, Urgency, UsageLevels};
    ///
    /// let urgency = Urgency::new(1);
    /// let mut levels = UsageLevels::default();
    /// levels.add(urgency, 10_000, false);
    /// let memory = MemoryUse { engines: 1, capacity: 35_000, prompt: 10_000, levels };
    /// assert!(CopyRoom::of_new_run(urgency, &memory).yields());
    /// assert!(!CopyRoom::default().update(urgency, &memory));
    /// ```
    pub fn of_new_run(urgency: Urgency, memory: &MemoryUse) -> Self {
        let yields = !memory.has_room(urgency, RETURN_PROMPTS);
        Self { yields }
    }

    /// Updates the decision for a run of this urgency; returns whether it changed.
    pub fn update(&mut self, urgency: Urgency, memory: &MemoryUse) -> bool {
        let prompts = match self.yields {
            true => RETURN_PROMPTS,
            false => ARRIVING_PROMPTS,
        };
        let yields = !memory.has_room(urgency, prompts);
        std::mem::replace(&mut self.yields, yields) != yields
    }

    /// Returns whether the run must not have a copy.
    pub const fn yields(self) -> bool {
        self.yields
    }
}
