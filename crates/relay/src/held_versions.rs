//! New versions that get no requests before their order is known.

use std::time::Duration;

use tokio::time::Instant;

use crate::{Target, TargetEntry, Targets};

/// How long a new version of a service gets no requests without an order. Its targets are listed
/// before its order is known, which takes about 1.25 s.
const HOLD_TIME: Duration = Duration::from_secs(3);

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
        self.held_versions.insert(key, now + HOLD_TIME);
    }

    /// Returns whether a target's version is held back.
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
