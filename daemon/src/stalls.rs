//! The gaps between tokens of each engine, from which progress timeouts follow.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use celerypond_answer::{TimeoutEstimator, TimeoutLimits, Timeouts};
use celerypond_types::TargetName;

/// The gaps between tokens of each engine.
#[derive(Default)]
pub struct Stalls {
    targets: Mutex<HashMap<TargetName, Arc<Mutex<TimeoutEstimator>>>>,
}

impl Stalls {
    /// Returns the gaps of one engine.
    pub fn of(&self, target: &TargetName) -> Arc<Mutex<TimeoutEstimator>> {
        let mut targets = self.targets.lock().unwrap_or_else(PoisonError::into_inner);
        let stall = targets.entry(target.clone()).or_insert_with(|| {
            Arc::new(Mutex::new(TimeoutEstimator::new(TimeoutLimits::default())))
        });
        Arc::clone(stall)
    }

    /// Returns the timeouts of an attempt that first reads `tokens` tokens.
    pub fn patience(&self, target: &TargetName, tokens: u32) -> Timeouts {
        let stall = self.of(target);
        let stall = stall.lock().unwrap_or_else(PoisonError::into_inner);
        stall.timeouts(tokens)
    }

    /// Forgets engines that are no longer declared.
    pub fn retain(&self, mut is_declared: impl FnMut(&TargetName) -> bool) {
        let mut targets = self.targets.lock().unwrap_or_else(PoisonError::into_inner);
        targets.retain(|name, _| is_declared(name));
    }
}

/// Takes the time between two tokens into account.
pub fn observe(stall: &Mutex<TimeoutEstimator>, gap: Duration) {
    let mut stall = stall.lock().unwrap_or_else(PoisonError::into_inner);
    stall.observe(gap);
}
