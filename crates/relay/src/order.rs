//! Orders of operators to move a service to another version.

use std::time::Duration;

use celerypond_types::{ServiceName, VersionName};
use serde::{Deserialize, Serialize};

/// An order of an operator to move a service to another version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// The service.
    pub service: ServiceName,
    /// The version that is to get all requests; its targets run alongside those of other versions.
    pub version: VersionName,
    /// The time limit for the move.
    pub time: Duration,
}

/// The phase of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Phase {
    /// The version gets a share of the requests.
    Running {
        /// The share, in parts per million.
        share: u32,
    },
    /// The version gets all requests.
    Completed,
    /// The order was taken back; the version gets no requests.
    TakenBack,
}

impl Phase {
    /// Returns whether the phase is final.
    pub const fn is_ended(self) -> bool {
        matches!(self, Self::Completed | Self::TakenBack)
    }
}

/// The progress of an order, as the instance that drives it tells the others.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stage {
    /// The order.
    pub order: Order,
    /// The phase of the order.
    pub phase: Phase,
    /// The time since the order was first seen, in milliseconds.
    pub age_ms: u32,
}
