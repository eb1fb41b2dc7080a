//! Trial counts of one version and request class.

use serde::{Deserialize, Serialize};

use crate::histogram::Histogram;

/// How a trial failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Failure {
    /// The target answered with an error.
    Error,
    /// The answer was not continuous or came from another version.
    Wrong,
    /// The target had no capacity.
    Refused,
    /// The target made no progress within the timeout.
    Stalled,
    /// The connection broke.
    Cut,
}

/// Monotonic counts of trials.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TrialCounts {
    /// Trials begun.
    pub sent: u64,
    /// Failed trials, in the order of the variants of [`Failure`].
    pub failed: [u64; 5],
    /// Trials cut off by the crash of a target, which count neither as failures nor as successes.
    pub discounted: u64,
    /// Times of successful trials: to the first token, or per token.
    pub times: Histogram,
}

impl TrialCounts {
    /// Counts a failed trial.
    pub fn count_failure(&mut self, failure: Failure) {
        self.failed[failure as usize] += 1;
    }

    /// Returns the number of failed trials.
    pub fn failures(&self) -> u64 {
        self.failed.iter().sum()
    }

    /// Returns the number of trials without a result yet.
    pub fn pending(&self) -> u64 {
        let known = self.failures() + self.times.count() + self.discounted;
        self.sent.saturating_sub(known)
    }

    /// Adds other counts.
    pub fn merge(&mut self, other: &Self) {
        self.sent += other.sent;
        self.discounted += other.discounted;
        for (count, more) in self.failed.iter_mut().zip(other.failed) {
            *count += more;
        }
        self.times.merge(&other.times);
    }

    /// Returns the counts added since `earlier`.
    #[must_use]
    pub fn since(&self, earlier: &Self) -> Self {
        let mut failed = self.failed;
        for (count, before) in failed.iter_mut().zip(earlier.failed) {
            *count = count.saturating_sub(before);
        }
        Self {
            sent: self.sent.saturating_sub(earlier.sent),
            failed,
            discounted: self.discounted.saturating_sub(earlier.discounted),
            times: self.times.since(&earlier.times),
        }
    }
}

/// Trial counts of one version and request class.
///
/// A trial is one chunk of an answer. Whole answers take minutes while failures show at once, so
/// counts by answer would show nothing but failures of a good version in the first minutes. Chunks
/// succeed about as fast as they fail. First chunks are counted separately: most faults show there,
/// and the many later chunks would hide them.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tally {
    /// First chunks: up to the first token.
    pub first: TrialCounts,
    /// Later chunks.
    pub later: TrialCounts,
}

impl Tally {
    /// Adds the counts of another tally.
    pub fn merge(&mut self, other: &Self) {
        self.first.merge(&other.first);
        self.later.merge(&other.later);
    }
}
