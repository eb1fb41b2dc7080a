//! An operator's order to move a service's traffic to another version.

use std::time::Duration;

use celerypond_types::{ServiceName, VersionName};
use serde::{Deserialize, Serialize};

/// An operator's order to move a service's traffic to another version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// The service.
    pub service: ServiceName,
    /// The version that is to get the traffic; its targets run beside the others.
    pub version: VersionName,
    /// The time within which the move is to be done.
    pub time: Duration,
}

/// How far an order has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Phase {
    /// The version gets a share of the requests.
    Running {
        /// The share, in parts per million.
        share: u32,
    },
    /// The version gets all requests.
    Completed,
    /// The version gets no request.
    TakenBack,
}

impl Phase {
    /// Returns whether no further step follows.
    pub const fn is_ended(self) -> bool {
        matches!(self, Self::Completed | Self::TakenBack)
    }
}

/// What the instance that drives an order tells the others.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stage {
    /// The order.
    pub order: Order,
    /// How far it has come.
    pub phase: Phase,
    /// The time since the order was seen first, in milliseconds.
    pub age_ms: u32,
}
