//! How recent the configuration in force is.

use crate::Observation;

/// How recent the configuration in force is, by what the store or its watchers were seen to hold.
///
/// # Examples
///
/// ```
/// use celerypond_relay::{Freshness, Observation};
/// use tokio::time::Instant;
///
/// let at = Instant::now();
/// let mut freshness = Freshness::default();
/// freshness.observe(Observation { version: 2, revision: 40, at });
/// freshness.hold(2);
/// assert_eq!(freshness.revision(), Some(40));
/// freshness.observe(Observation { version: 3, revision: 52, at });
/// assert_eq!((freshness.newest(), freshness.revision()), (3, Some(40)));
/// ```
#[derive(Clone, Debug, Default)]
pub struct Freshness {
    /// The version in force.
    held: u64,
    /// The latest observation of the version in force.
    verified: Option<Observation>,
    /// The latest observation of the newest version.
    newest: Option<Observation>,
}

impl Freshness {
    /// Takes in what the store was seen to hold.
    pub fn observe(&mut self, seen: Observation) {
        keep_latest(&mut self.newest, seen);
        if seen.version == self.held {
            keep_latest(&mut self.verified, seen);
        }
    }

    /// Takes in that a version is in force now.
    pub fn hold(&mut self, version: u64) {
        self.held = version;
        self.verified = self.newest.filter(|newest| newest.version == version);
    }

    /// Returns the newest version that was observed or is in force.
    pub fn newest(&self) -> u64 {
        let observed = self.newest.map_or(0, |newest| newest.version);
        observed.max(self.held)
    }

    /// Returns the latest observation of the version in force; nothing if it has not been observed.
    pub const fn verified(&self) -> Option<Observation> {
        self.verified
    }

    /// Returns a revision of the store at which the version in force was the newest one; a watch from there tells
    /// each later one.
    pub fn revision(&self) -> Option<u64> {
        let revision = self.verified.map(|verified| verified.revision);
        revision.filter(|revision| *revision > 0)
    }
}

/// Replaces an observation by one of a higher version, or by a later one of the same version.
fn keep_latest(kept: &mut Option<Observation>, seen: Observation) {
    let Some(held) = kept else {
        *kept = Some(seen);
        return;
    };
    if seen.version > held.version {
        *held = seen;
    } else if seen.version == held.version {
        held.revision = held.revision.max(seen.revision);
        held.at = held.at.max(seen.at);
    }
}
