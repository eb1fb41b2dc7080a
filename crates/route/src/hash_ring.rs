//! A hash ring over the targets of a pool, the same in every instance.

use crate::hash::mix;

/// How many points each target has; four keep the longest arc short without much memory.
const POINTS: u64 = 4;

/// A hash ring from prefix hashes to indexes of targets.
#[derive(Clone, Debug, Default)]
pub(crate) struct Ring(Box<[(u64, u32)]>);

impl Ring {
    /// Makes the ring of targets, each given by the hash of its name and its index.
    pub(crate) fn new(targets: impl Iterator<Item = (u64, u32)>) -> Self {
        let mut points: Vec<_> = targets
            .flat_map(|(name, index)| (0..POINTS).map(move |point| (mix(name, point), index)))
            .collect();
        points.sort_unstable();
        Self(points.into_boxed_slice())
    }

    /// Finds the target at probe `probe` of `prefix`.
    ///
    /// Each probe lands on an arc of its own, so the overflow of one busy target is spread over
    /// all and does not pile up on its neighbour.
    pub(crate) fn find(&self, prefix: u64, probe: u64) -> Option<u32> {
        let wanted = mix(prefix, probe + POINTS);
        let at = self.0.partition_point(|(hash, _)| *hash < wanted);
        let point = self.0.get(at).or_else(|| self.0.first());
        point.map(|(_, index)| *index)
    }
}
