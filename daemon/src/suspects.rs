//! Targets that recently refused or broke a connection.

use std::{
    collections::HashMap,
    sync::{Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use celerypond_types::TargetKey;
use tokio::time::Instant;

/// How long a target stays suspect. Beyond that, polls and outlier detection decide.
const SUSPECT_DURATION: Duration = Duration::from_secs(1);

/// Targets that recently refused or broke a connection.
///
/// When an engine crashes, all its answers look for another target at once. Until a poll detects
/// the crash, one in `n` of them would be sent to the crashed engine again and lose time. A target
/// that is suspected wrongly only goes unused for a second.
#[derive(Debug, Default)]
pub struct Suspects(Mutex<HashMap<TargetKey, Instant>>);

impl Suspects {
    /// Adds a target for the next `SUSPECT_DURATION`.
    pub fn add(&self, target: TargetKey, now: Instant) {
        self.lock().insert(target, now + SUSPECT_DURATION);
    }

    /// Returns `excluded` with all current suspects added.
    pub fn add_to(&self, mut excluded: Vec<TargetKey>, now: Instant) -> Vec<TargetKey> {
        let mut suspects = self.lock();
        suspects.retain(|_, until| *until > now);
        excluded.extend(suspects.keys());
        excluded
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<TargetKey, Instant>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
