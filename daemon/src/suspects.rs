//! Targets that refused or broke a connection a moment ago.

use std::{
    collections::HashMap,
    sync::{Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use celerypond_types::TargetKey;
use tokio::time::Instant;

/// How long a target stays suspect. Polls and the ejector decide on anything longer.
const HOLD: Duration = Duration::from_secs(1);

/// Targets that refused or broke a connection a moment ago.
///
/// The failure: an engine dies, and all its answers look for another target at once. Before polls
/// find out, one in `n` would be sent to the dead engine again, and lose time there. A target that
/// is suspect for nothing is missed for a second.
#[derive(Debug, Default)]
pub struct Suspects(Mutex<HashMap<TargetKey, Instant>>);

impl Suspects {
    /// Suspects a target from now on.
    pub fn add(&self, target: TargetKey, now: Instant) {
        self.lock().insert(target, now + HOLD);
    }

    /// Returns `others` and all suspects.
    pub fn add_to(&self, mut others: Vec<TargetKey>, now: Instant) -> Vec<TargetKey> {
        let mut suspects = self.lock();
        suspects.retain(|_, until| *until > now);
        others.extend(suspects.keys());
        others
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<TargetKey, Instant>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
