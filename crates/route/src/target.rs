//! A target of a routing view.

use std::{net::SocketAddr, sync::Arc};

use celerypond_bundle::TargetKind;
use celerypond_types::{DataCentre, TargetName};

use crate::TargetState;

/// A target that a [`crate::RoutingView`] routes to.
#[derive(Clone, Debug)]
pub struct Target {
    /// The name in the bundle.
    pub name: TargetName,
    /// Whether the target is an engine or a plain service.
    pub kind: TargetKind,
    /// The address it listens on.
    pub address: SocketAddr,
    /// The data centre it runs in.
    pub data_centre: DataCentre,
    /// How many requests it processes at once; further ones queue at the target.
    pub slots: u32,
    /// Its load and availability, shared by all views.
    pub state: Arc<TargetState>,
}

impl Target {
    /// Creates a target as the bundle declares it, with a new state.
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

    /// Returns the target as a later bundle declares it, with its state kept, or `None` if the
    /// address or kind changed and the name therefore refers to another process.
    pub(crate) fn updated(&self, declared: &celerypond_bundle::Target) -> Option<Self> {
        let same = self.address == declared.address && self.kind == declared.kind;
        same.then(|| Self {
            state: Arc::clone(&self.state),
            ..Self::new(declared)
        })
    }
}
