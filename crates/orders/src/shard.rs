//! Assignment of targets to leases.

use celerypond_types::{Digest, TargetName};

/// The number of a shard, which is a set of targets that share a lease.
///
/// The shard of a target depends only on the target's name and the number of shards. It must not
/// depend on which instances are live: two instances with different views of that could each hold a
/// valid lease for the same target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Shard(pub u32);

impl Shard {
    /// Returns the shard of a target. `shards` is the number of shards, which is the same on all
    /// instances.
    ///
    /// # Examples
    ///
    /// ```
    /// use celerypond_orders::Shard;
    ///
    /// let shard = Shard::of(&"engine-1".into(), 8);
    /// assert!(shard.0 < 8);
    /// assert_eq!(shard, Shard::of(&"engine-1".into(), 8));
    /// ```
    pub fn of(target: &TargetName, shards: u32) -> Self {
        let digest = Digest::of(target.as_str().as_bytes());
        let [a, b, c, d, ..] = *digest.as_bytes();
        Self(u32::from_le_bytes([a, b, c, d]) % shards.max(1))
    }

    /// Returns the key of the shard's lease object in the store.
    pub fn object_key(self) -> String {
        format!("lease/orders/{}", self.0)
    }
}
