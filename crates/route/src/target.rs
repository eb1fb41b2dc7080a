//! A target in the arena.

use std::{net::SocketAddr, sync::Arc};

use celerypond_bundle::TargetKind;
use celerypond_types::{DataCentre, TargetName};

use crate::TargetState;

/// A target in the arena of a [`crate::RoutingView`].
#[derive(Clone, Debug)]
pub struct Target {
    /// The name in the bundle.
    pub name: TargetName,
    /// What the target is.
    pub kind: TargetKind,
    /// Where it listens.
    pub address: SocketAddr,
    /// Where it stands.
    pub data_centre: DataCentre,
    /// How many requests it serves at once before they queue.
    pub slots: u32,
    /// Its load and state.
    pub state: Arc<TargetState>,
}

impl Target {
    /// Makes a target as the bundle declares it, with a new gauge.
    pub fn new(declared: &celerypond_bundle::Target) -> Self {
        Self {
            name: declared.name.clone(),
            kind: declared.kind,
            address: declared.address,
            data_centre: declared.data_centre.clone(),
            slots: declared.slots,
            state: TargetState::new(),
        }
    }

    /// Returns the target as a later bundle declares it, with the same gauge, or `None` when
    /// another process is meant.
    pub(crate) fn updated(&self, declared: &celerypond_bundle::Target) -> Option<Self> {
        let same = self.address == declared.address && self.kind == declared.kind;
        same.then(|| Self {
            state: Arc::clone(&self.state),
            ..Self::new(declared)
        })
    }
}
