//! Which engines an instance of a large fleet uses first.

/// The group of instances to which this one belongs, among equal groups that divide the engines.
///
/// The load it answers: each instance tells others where its streams run, so that no two prompts meet at one
/// engine. If all tell all, what an instance sends and hears grows with the fleet, most of it between
/// data centres. In a group that uses engines of its own it stays as it is at some tens of instances. Engines of other groups are used
/// where none of the own ones has room.
///
/// # Examples
///
/// ```
/// use celerypond_relay::Group;
///
/// let groups = [Group { index: 0, count: 2 }, Group { index: 1, count: 2 }];
/// let spot = 0x9e37_79b9_7f4a_7c15;
/// assert_eq!(groups.iter().filter(|group| group.contains(spot)).count(), 1);
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Group {
    /// The ordinal of the group.
    pub index: usize,
    /// How many groups there are.
    pub count: usize,
}

impl Group {
    /// Returns whether the group uses the engine whose address has this hash. An engine that starts again
    /// keeps its address, and so its group.
    pub const fn contains(&self, spot: u64) -> bool {
        // The upper bits of the product divide the hashes into equal ranges.
        ((spot as u128 * self.count as u128) >> u64::BITS) as usize == self.index
    }
}

impl Default for Group {
    /// All instances together.
    fn default() -> Self {
        Self { index: 0, count: 1 }
    }
}
