//! An order that this instance drives.

use std::time::Duration;

use celerypond_platform::Version;
use celerypond_relay::{Phase, Rollout, Stage};
use smol_str::SmolStr;
use tokio::time::Instant;

use super::order_store::{is_stored, StatusUpdate, StoredOrder};

/// An order that this instance drives.
pub(super) struct DrivenOrder {
    pub(super) rollout: Rollout,
    /// The key of the order in the store.
    key: SmolStr,
    /// The version of the order's object in the store.
    object_version: Version,
    /// The phase that the store is known to have for the order.
    stored_phase: Option<Phase>,
}

impl DrivenOrder {
    /// Takes an order, given the progress that a previous driver has reported.
    pub(super) fn new(found: StoredOrder, known: Option<Stage>, now: Instant) -> Self {
        let age = known.as_ref().map_or(0, |stage| stage.age_ms);
        let mut rollout = Rollout::new(found.order, Duration::from_millis(age.into()), now);
        let phases = known.map(|stage| stage.phase).into_iter();
        for phase in phases
            .chain(found.stored_phase)
            .filter(|phase| phase.is_ended())
        {
            if phase.replaces(rollout.phase) {
                rollout.phase = phase;
            }
        }
        log::info!(
            service = rollout.order.service.as_str(),
            version = rollout.order.version.as_str(),
            time_ms = rollout.order.time.as_millis() as u64,
            age_ms = age,
            object_version = found.object_version.0,
            stored:? = found.stored_phase,
            phase:? = rollout.phase;
            "order taken"
        );
        Self {
            rollout,
            key: found.key,
            object_version: found.object_version,
            stored_phase: found.stored_phase,
        }
    }

    /// Returns the progress of the order.
    pub(super) fn stage(&self, now: Instant) -> Stage {
        Stage {
            order: self.rollout.order.clone(),
            revision: self.object_version.0,
            phase: self.rollout.phase,
            age_ms: u32::try_from(self.rollout.age(now).as_millis()).unwrap_or(u32::MAX),
        }
    }

    /// Returns the write of a phase to the store.
    pub(super) fn status_update(&self, phase: Phase) -> StatusUpdate {
        StatusUpdate {
            key: self.key.clone(),
            known_object_version: self.object_version,
            target_version: self.rollout.order.version.clone(),
            phase,
        }
    }

    /// Returns whether the store has the current phase.
    pub(super) fn is_stored(&self) -> bool {
        is_stored(self.stored_phase, self.rollout.phase)
    }

    /// Records that the store has accepted a phase.
    pub(super) fn record_stored(&mut self, phase: Phase, object_version: Version) {
        self.object_version = object_version;
        self.stored_phase = Some(phase);
    }

    /// Records what the store has for the order. A read that may be stale is ignored if it is older
    /// than what is known.
    pub(super) fn observe(&mut self, found: &StoredOrder) {
        if found.object_version < self.object_version {
            return;
        }
        self.object_version = found.object_version;
        self.stored_phase = found.stored_phase;
        if let Some(phase) = found.stored_phase {
            self.adopt(phase, "store");
        }
    }

    /// Takes over a final phase that another instance has decided.
    pub(super) fn adopt(&mut self, phase: Phase, source: &'static str) {
        let known = self.rollout.phase;
        if !phase.is_ended() || phase == known || !phase.replaces(known) {
            return;
        }
        log::warn!(
            service = self.rollout.order.service.as_str(),
            version = self.rollout.order.version.as_str(),
            before:? = known,
            phase:? = phase,
            source;
            "order ended by another instance"
        );
        self.rollout.phase = phase;
    }
}
