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
    /// The version was found good and gets all requests. The order is completed once the store has
    /// that.
    Moving,
}

impl Phase {
    /// Returns whether the phase is final.
    pub const fn is_ended(self) -> bool {
        matches!(self, Self::Completed | Self::TakenBack)
    }

    /// Returns whether a report of this phase replaces one of another phase of the same order.
    ///
    /// A final phase stays. `Completed` is only reported once the store has it, and then the targets
    /// of the old version stop, so it replaces `TakenBack`, which is reported as soon as one instance
    /// has decided it.
    ///
    /// # Examples
    ///
    /// ```
    /// use celerypond_relay::Phase;
    ///
    /// let running = Phase::Running { share: 100_000 };
    /// assert!(running.replaces(running));
    /// assert!(Phase::TakenBack.replaces(running));
    /// assert!(!running.replaces(Phase::TakenBack));
    /// assert!(Phase::Completed.replaces(Phase::TakenBack));
    /// assert!(!Phase::TakenBack.replaces(Phase::Completed));
    /// ```
    pub const fn replaces(self, other: Self) -> bool {
        match other {
            Self::Running { .. } | Self::Moving => true,
            Self::TakenBack => self.is_ended(),
            Self::Completed => matches!(self, Self::Completed),
        }
    }
}

/// The progress of an order, as the instance that drives it tells the others.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stage {
    /// The order.
    pub order: Order,
    /// A revision of the store at which the order was the service's newest one.
    pub revision: u64,
    /// The phase of the order.
    pub phase: Phase,
    /// The time since the order was first seen, in milliseconds.
    pub age_ms: u32,
}
