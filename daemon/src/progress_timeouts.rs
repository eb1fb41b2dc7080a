//! Progress timeouts of engines, estimated from the gaps between their tokens.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use celerypond_answer::{TimeoutEstimator, TimeoutLimits, Timeouts};
use celerypond_types::TargetName;

/// The timeout estimators of all engines.
#[derive(Default)]
pub struct ProgressTimeouts {
    estimators: Mutex<HashMap<TargetName, Arc<Mutex<TimeoutEstimator>>>>,
}

impl ProgressTimeouts {
    /// Returns the estimator of an engine.
    pub fn estimator(&self, target: &TargetName) -> Arc<Mutex<TimeoutEstimator>> {
        let mut estimators = self
            .estimators
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let estimator = estimators.entry(target.clone()).or_insert_with(|| {
            Arc::new(Mutex::new(TimeoutEstimator::new(TimeoutLimits::default())))
        });
        Arc::clone(estimator)
    }

    /// Returns the timeouts of an attempt that first reads a prompt of `prompt_tokens` tokens.
    pub fn timeouts(&self, target: &TargetName, prompt_tokens: u32) -> Timeouts {
        let estimator = self.estimator(target);
        let estimator = estimator.lock().unwrap_or_else(PoisonError::into_inner);
        estimator.timeouts(prompt_tokens)
    }

    /// Removes engines that are no longer declared.
    pub fn retain(&self, mut is_declared: impl FnMut(&TargetName) -> bool) {
        let mut estimators = self
            .estimators
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        estimators.retain(|name, _| is_declared(name));
    }
}

/// Records the time between two tokens.
pub fn observe_gap(estimator: &Mutex<TimeoutEstimator>, gap: Duration) {
    let mut estimator = estimator.lock().unwrap_or_else(PoisonError::into_inner);
    estimator.observe(gap);
}
