//! The state of orders to move a service to another version. One instance drives them, and all
//! instances act on them.

use std::{
    collections::HashMap,
    sync::{Mutex, MutexGuard, PoisonError},
};

use celerypond_relay::{EvidenceReport, Order, Stage, VersionRouting};
use celerypond_types::ServiceName;
use tokio::time::Instant;

use super::{driven_order::DrivenOrder, order_store::StoredOrder};

/// This instance's part in rollouts.
#[derive(Default)]
pub(super) struct Rollouts {
    versions: Mutex<VersionRouting>,
    /// The orders that this instance drives; empty if another instance is the driver.
    driven: Mutex<HashMap<ServiceName, DrivenOrder>>,
}

impl Rollouts {
    /// Returns which versions requests are sent to.
    pub(super) fn versions(&self) -> MutexGuard<'_, VersionRouting> {
        lock(&self.versions)
    }

    /// Records the stage that a driver sent at a moment. Returns the known one if it takes
    /// precedence.
    pub(super) fn record_stage(&self, stage: Stage, at: Instant) -> Option<Stage> {
        self.versions().update(stage, at)
    }

    /// Adds the evidence of another instance, if this one drives the order.
    pub(super) fn record_report(&self, service: &ServiceName, report: EvidenceReport) {
        let mut driven = self.driven();
        let rollout = driven.get_mut(service).map(|driven| &mut driven.rollout);
        if let Some(rollout) = rollout.filter(|rollout| rollout.order.version == report.version) {
            rollout.evidence.merge(report, Instant::now());
        }
    }

    /// Returns the orders that this instance drives.
    pub(super) fn driven(&self) -> MutexGuard<'_, HashMap<ServiceName, DrivenOrder>> {
        lock(&self.driven)
    }

    /// Returns the progress of the orders that this instance drives.
    pub(super) fn stages(&self) -> Vec<Stage> {
        let now = Instant::now();
        let driven = self.driven();
        driven.values().map(|driven| driven.stage(now)).collect()
    }

    /// Returns whether this instance drives an order of this service that equals the given one.
    pub(super) fn drives(&self, order: &Order) -> bool {
        let driven = self.driven();
        let known = driven.get(&order.service);
        known.is_some_and(|driven| driven.rollout.order == *order)
    }

    /// Takes over the final phases that other instances have reported.
    pub(super) fn adopt_reported_phases(&self) {
        let versions = self.versions();
        let now = Instant::now();
        for driven in self.driven().values_mut() {
            if let Some(stage) = versions.progress(&driven.rollout.order, now) {
                driven.adopt(stage.phase, "instance");
            }
        }
    }

    /// Updates the orders that this instance drives to those that the store has.
    pub(super) fn observe(&self, found: Vec<StoredOrder>) {
        let now = Instant::now();
        let versions = self.versions();
        let mut driven = self.driven();
        driven.retain(|service, _| found.iter().any(|found| found.order.service == *service));
        for found in found {
            let known = driven.get_mut(&found.order.service);
            match known.filter(|driven| driven.rollout.order == found.order) {
                Some(known) => known.observe(&found),
                None => {
                    let progress = versions.progress(&found.order, now);
                    let service = found.order.service.clone();
                    driven.insert(service, DrivenOrder::new(found, progress, now));
                }
            }
        }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
