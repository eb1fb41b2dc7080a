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

/// Sums over the trials of one version on one route; they only grow.
///
/// A trial is one chunk of an answer, the first token being the first. Whole answers take minutes and
/// failures come at once: counted by answer, a good version would seem to do nothing but fail for the
/// first minutes. By chunk, failures and successes are known about equally soon.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tally {
    /// Trials begun.
    pub sent: u64,
    /// Trials that failed, by class in the order of [`Failure`].
    pub failed: [u64; 5],
    /// Trials cut off by the death of one target, which count neither way.
    pub discounted: u64,
    /// Times to the first token.
    pub first: Histogram,
    /// Times per token of later chunks.
    pub gap: Histogram,
}

impl Tally {
    /// Counts a failed trial.
    pub fn fail(&mut self, failure: Failure) {
        self.failed[failure as usize] += 1;
    }

    /// Returns how many trials failed.
    pub fn failures(&self) -> u64 {
        self.failed.iter().sum()
    }

    /// Returns how many trials succeeded.
    pub fn successes(&self) -> u64 {
        self.first.count() + self.gap.count()
    }

    /// Adds the sums of another tally.
    pub fn merge(&mut self, other: &Self) {
        self.sent += other.sent;
        self.discounted += other.discounted;
        for (count, more) in self.failed.iter_mut().zip(other.failed) {
            *count += more;
        }
        self.first.merge(&other.first);
        self.gap.merge(&other.gap);
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
            first: self.first.since(&earlier.first),
            gap: self.gap.since(&earlier.gap),
        }
    }
}
