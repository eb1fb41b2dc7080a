//! What an instance has seen of one version on one route.

use serde::{Deserialize, Serialize};

use crate::histogram::Histogram;

/// How a trial failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Failure {
    /// The target answered with an error.
    Error,
    /// The answer broke its continuity or came from another version.
    Wrong,
    /// The target had no room.
    Refused,
    /// Nothing came for longer than the progress timeout.
    Stalled,
    /// The connection broke.
    Cut,
}

/// Sums over trials of one kind; they only grow.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TrialCounts {
    /// TrialCounts begun.
    pub sent: u64,
    /// TrialCounts that failed, by class in the order of [`Failure`].
    pub failed: [u64; 5],
    /// TrialCounts cut off by the death of one target, which count neither way.
    pub discounted: u64,
    /// Times of those that succeeded: to the first token, or per token.
    pub times: Histogram,
}

impl TrialCounts {
    /// Counts a failed trial.
    pub fn count_failure(&mut self, failure: Failure) {
        self.failed[failure as usize] += 1;
    }

    /// Returns how many trials failed.
    pub fn failures(&self) -> u64 {
        self.failed.iter().sum()
    }

    /// Returns how many trials are under way.
    pub fn pending(&self) -> u64 {
        let known = self.failures() + self.times.count() + self.discounted;
        self.sent.saturating_sub(known)
    }

    /// Adds the sums of others.
    pub fn merge(&mut self, other: &Self) {
        self.sent += other.sent;
        self.discounted += other.discounted;
        for (count, more) in self.failed.iter_mut().zip(other.failed) {
            *count += more;
        }
        self.times.merge(&other.times);
    }

    /// Returns what was added since `earlier`.
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

/// Sums over the trials of one version on one route.
///
/// A trial is one chunk of an answer. Whole answers take minutes and failures come at once: counted by
/// answer, a good version would seem to do nothing but fail for the first minutes. By chunk, failures
/// and successes are known about equally soon. First chunks are counted apart, since most faults show
/// there and the many later chunks would hide them.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tally {
    /// First chunks: up to the first token.
    pub first: TrialCounts,
    /// Later chunks.
    pub later: TrialCounts,
}

impl Tally {
    /// Adds the sums of another tally.
    pub fn merge(&mut self, other: &Self) {
        self.first.merge(&other.first);
        self.later.merge(&other.later);
    }
}
