//! New versions that get no requests before their order is known.

use std::time::Duration;

use tokio::time::Instant;

use crate::{Target, TargetEntry, Targets};

/// The minimum time for which a new version of a service gets no requests without an order. Its
/// targets are listed before its order is known, which takes about 1.25 s.
const HOLD_TIME: Duration = Duration::from_secs(3);
/// The time after which the order of a new version has been given, if it gets one. Half of the hold
/// time is left for reading the orders and reporting them.
const ORDER_TIME: Duration = Duration::from_millis(1_500);

impl Targets {
    /// Holds back a version that is new at a service with other versions.
    ///
    /// Operators start the targets of a bad version and order it a moment later. Until the order is
    /// known, the version would get as many requests as the old one.
    pub(crate) fn hold_back(&mut self, entry: &TargetEntry, now: Instant) {
        let of_service = self.arena.values().map(|target| &target.entry);
        let mut of_service = of_service.filter(|known| known.service == entry.service);
        let is_first = of_service.clone().next().is_none();
        if is_first || of_service.any(|known| known.version == entry.version) {
            return;
        }
        let key = (entry.service.clone(), entry.version.clone());
        self.held_versions.insert(key, now);
    }

    /// Records that the orders in the store were read at a moment or later, and that the order of
    /// each service was reported.
    pub fn record_orders_read(&mut self, at: Instant) {
        self.orders_read = self.orders_read.max(Some(at));
    }

    /// Returns when the orders were last read; `None` if that is not known.
    pub fn orders_read(&self) -> Option<Instant> {
        self.orders_read
    }

    /// Returns whether any version is held back, so that the orders have to be read.
    pub fn has_held_versions(&self, now: Instant) -> bool {
        let mut first_seen = self.held_versions.values();
        first_seen.any(|at| !self.is_released(*at, now))
    }

    /// Returns whether a target's version is held back.
    pub(crate) fn is_held(&self, target: &Target, now: Instant) -> bool {
        if self.held_versions.is_empty() {
            return false;
        }
        let key = (target.entry.service.clone(), target.entry.version.clone());
        self.held_versions
            .get(&key)
            .is_some_and(|first_seen| !self.is_released(*first_seen, now))
    }

    /// Forgets versions that are no longer held back.
    pub(crate) fn sweep_held_versions(&mut self, now: Instant) {
        let mut held = std::mem::take(&mut self.held_versions);
        held.retain(|_, first_seen| !self.is_released(*first_seen, now));
        self.held_versions = held;
    }

    /// Returns whether a version without an order may get requests. Time alone does not show that
    /// it has none: the orders may have been unreadable.
    fn is_released(&self, first_seen: Instant, now: Instant) -> bool {
        let is_read = self
            .orders_read
            .is_some_and(|at| at >= first_seen + ORDER_TIME);
        is_read && now >= first_seen + HOLD_TIME
    }
}
