//! A small, mergeable latency histogram.

use serde::{Deserialize, Serialize};

/// Number of buckets of a histogram; the last has no upper bound.
pub const BUCKET_COUNT: usize = 40;
/// Upper bound of the first bucket, in microseconds.
const FIRST_BOUND_US: f64 = 1_000.0;
/// Ratio of the bounds of adjacent buckets.
const RATIO: f64 = 1.25;

/// Counts of times in buckets whose bounds grow by a quarter each, from 1 ms to 6 s.
///
/// # Examples
///
/// ```
/// use celerypond_rollout::Histogram;
///
/// let mut times = Histogram::default();
/// times.add(52_000);
/// assert_eq!(times.count(), 1);
/// assert_eq!(times.count_above(times.quantile_bucket(0.5)), 0);
/// ```
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "Sparse", into = "Sparse")]
pub struct Histogram {
    counts: [u32; BUCKET_COUNT],
}

/// Serialized form: only the range of buckets in use.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct Sparse {
    first: u8,
    counts: Vec<u32>,
}

impl Default for Histogram {
    fn default() -> Self {
        Self {
            counts: [0; BUCKET_COUNT],
        }
    }
}

impl Histogram {
    /// Adds a time in microseconds.
    pub fn add(&mut self, time_us: u64) {
        let steps = (time_us.max(1) as f64 / FIRST_BOUND_US).ln() / RATIO.ln();
        let bucket = (steps.ceil().max(0.0) as usize).min(BUCKET_COUNT - 1);
        self.counts[bucket] = self.counts[bucket].saturating_add(1);
    }

    /// Adds all counts of another histogram.
    pub fn merge(&mut self, other: &Self) {
        for (count, more) in self.counts.iter_mut().zip(other.counts) {
            *count = count.saturating_add(more);
        }
    }

    /// Returns the counts added since `earlier`.
    #[must_use]
    pub fn since(&self, earlier: &Self) -> Self {
        let mut counts = self.counts;
        for (count, before) in counts.iter_mut().zip(earlier.counts) {
            *count = count.saturating_sub(before);
        }
        Self { counts }
    }

    /// Returns the number of times.
    pub fn count(&self) -> u64 {
        self.count_from(0)
    }

    /// Returns the number of times above a bucket.
    pub fn count_above(&self, bucket: usize) -> u64 {
        self.count_from(bucket + 1)
    }

    /// Returns the lowest bucket that at least this fraction of all times does not exceed.
    pub fn quantile_bucket(&self, fraction: f64) -> usize {
        let allowed = (self.count() as f64 * (1.0 - fraction)) as u64;
        let mut above = 0;
        for bucket in (0..BUCKET_COUNT).rev() {
            above += u64::from(self.counts[bucket]);
            if above > allowed {
                return bucket;
            }
        }
        0
    }

    fn count_from(&self, first: usize) -> u64 {
        self.counts
            .iter()
            .skip(first)
            .map(|count| u64::from(*count))
            .sum()
    }
}

impl From<Sparse> for Histogram {
    fn from(sparse: Sparse) -> Self {
        let mut histogram = Self::default();
        let slots = histogram.counts.iter_mut().skip(usize::from(sparse.first));
        for (slot, count) in slots.zip(sparse.counts) {
            *slot = count;
        }
        histogram
    }
}

impl From<Histogram> for Sparse {
    fn from(histogram: Histogram) -> Self {
        let is_used = |count: &u32| *count > 0;
        let first = histogram.counts.iter().position(is_used).unwrap_or(0);
        let end = histogram
            .counts
            .iter()
            .rposition(is_used)
            .map_or(first, |last| last + 1);
        Self {
            first: first as u8,
            counts: histogram.counts[first..end].to_vec(),
        }
    }
}
