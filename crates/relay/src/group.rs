//! Groups of instances that divide the engines of a large fleet.

/// A group of instances in a fleet whose groups divide the engines equally.
///
/// Instances tell each other where their streams run, so that no two prompts are sent to the same
/// engine. If this went to the whole fleet, the traffic of each instance would grow with the fleet,
/// most of it between data centres. Within a group that prefers engines of its own, it stays at
/// that of some tens of instances. Engines of other groups are used if none of the group's own has
/// room.
///
/// # Examples
///
/// ```
/// use celerypond_relay::Group;
///
/// let groups = [Group { index: 0, count: 2 }, Group { index: 1, count: 2 }];
/// let address_hash = 0x9e37_79b9_7f4a_7c15;
/// assert_eq!(groups.iter().filter(|group| group.contains(address_hash)).count(), 1);
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Group {
    /// The zero-based index of the group.
    pub index: usize,
    /// The number of groups.
    pub count: usize,
}

impl Group {
    /// Returns whether the group prefers the engine whose address has this hash. An engine that
    /// restarts keeps its address, and thus its group.
    pub const fn contains(&self, address_hash: u64) -> bool {
        // The upper bits of the product divide the range of hashes equally.
        ((address_hash as u128 * self.count as u128) >> u64::BITS) as usize == self.index
    }
}

impl Default for Group {
    /// A single group of all instances.
    fn default() -> Self {
        Self { index: 0, count: 1 }
    }
}
