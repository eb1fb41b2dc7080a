//! Which engines hold which prompt prefixes.

use celerypond_types::TargetKey;

/// An immutable index from prefix hashes to the engines that hold them.
#[derive(Clone, Debug, Default)]
pub struct CacheIndex {
    /// Sorted by prefix.
    pub(crate) entries: Box<[Holder]>,
}

/// An engine that holds a prefix.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Holder {
    /// The hash of the prefix.
    pub prefix: u64,
    /// The engine.
    pub target: TargetKey,
    /// Whether no event of the engine was missed since it stored the prefix.
    pub certain: bool,
}

impl CacheIndex {
    /// Returns the engines that hold a prefix.
    pub fn holders(&self, prefix: u64) -> &[Holder] {
        let start = self.entries.partition_point(|e| e.prefix < prefix);
        let rest = &self.entries[start..];
        &rest[..rest.partition_point(|e| e.prefix == prefix)]
    }
}
