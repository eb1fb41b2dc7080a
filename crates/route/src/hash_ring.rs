//! A consistent hash ring over the targets of a pool, identical in every instance.

use crate::hash::mix;

/// Points on the ring for each target. Four keep the longest arc short without using much memory.
const POINTS_PER_TARGET: u64 = 4;

/// A consistent hash ring that maps prefix hashes to indexes of targets.
#[derive(Clone, Debug, Default)]
pub(crate) struct HashRing(Box<[(u64, u32)]>);

impl HashRing {
    /// Builds the ring from the name hash and index of each target.
    pub(crate) fn new(targets: impl Iterator<Item = (u64, u32)>) -> Self {
        let mut points: Vec<_> = targets
            .flat_map(|(name, index)| {
                (0..POINTS_PER_TARGET).map(move |point| (mix(name, point), index))
            })
            .collect();
        points.sort_unstable();
        Self(points.into_boxed_slice())
    }

    /// Returns the target at attempt `probe` for `prefix`.
    ///
    /// Each probe hashes to an independent position, so the overflow of a busy target is spread
    /// over all targets instead of going to its neighbour on the ring.
    pub(crate) fn lookup(&self, prefix: u64, probe: u64) -> Option<u32> {
        let position = mix(prefix, probe + POINTS_PER_TARGET);
        let index = self.0.partition_point(|(hash, _)| *hash < position);
        let point = self.0.get(index).or_else(|| self.0.first());
        point.map(|(_, index)| *index)
    }
}
