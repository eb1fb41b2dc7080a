//! Which lease covers a target.

use celerypond_types::{Digest, TargetName};

/// The ordinal of a lease.
///
/// The shard of a target depends on its name and on the number of shards only. It must not depend on
/// which instances are live: two instances that see different ones would each hold a lease for the
/// same target, and both leases would be good.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Shard(pub u32);

impl Shard {
    /// Returns the shard of a target among `shards`, which is the same at all instances.
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

    /// Returns the key of the lease object.
    pub fn object_key(self) -> String {
        format!("lease/orders/{}", self.0)
    }
}
