//! Versions that wait for their order.

use std::time::Duration;

use tokio::time::Instant;

use crate::{Target, TargetEntry, Targets};

/// How long a version that is new at its service gets no request without an order. Its targets are
/// there before its order is known, which takes about a second and a quarter.
const HOLD_TIME: Duration = Duration::from_secs(3);

impl Targets {
    /// Holds a version back that comes to a service beside others.
    ///
    /// The failure: operators start targets of a bad version and order it a moment later. Until the order
    /// is known it would get as many requests as the old one.
    pub(crate) fn hold_back(&mut self, entry: &TargetEntry, now: Instant) {
        let of_service = self.arena.values().map(|target| &target.entry);
        let mut of_service = of_service.filter(|known| known.service == entry.service);
        let is_first = of_service.clone().next().is_none();
        if is_first || of_service.any(|known| known.version == entry.version) {
            return;
        }
        let key = (entry.service.clone(), entry.version.clone());
        self.held_versions.insert(key, now + HOLD_TIME);
    }

    /// Returns whether a target's version gets no request without an order.
    pub(crate) fn is_held(&self, target: &Target, now: Instant) -> bool {
        if self.held_versions.is_empty() {
            return false;
        }
        let key = (target.entry.service.clone(), target.entry.version.clone());
        self.held_versions
            .get(&key)
            .is_some_and(|until| *until > now)
    }
}
