//! The platform's list of instances and targets, which lags by a few seconds.

use std::net::SocketAddr;

use celerypond_types::{DataCentre, InstanceName, TargetName};
use serde::{Deserialize, Serialize};

/// Whether an instance or target accepts new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Presence {
    /// It accepts new work.
    Live,
    /// It finishes the work it has and accepts no more.
    Leaving,
}

/// An instance as the platform lists it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Instance {
    /// The name.
    pub name: InstanceName,
    /// The address for callers.
    pub address: SocketAddr,
    /// The address for other instances.
    pub peer_address: SocketAddr,
    /// The data centre that it runs in.
    pub data_centre: DataCentre,
    /// Whether it accepts new work.
    pub state: Presence,
}

/// A target as the platform lists it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    /// The name of the target in the bundle.
    pub name: TargetName,
    /// Whether it accepts new work.
    pub state: Presence,
}

/// The list of instances and targets.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceList {
    /// The instances.
    pub instances: Vec<Instance>,
    /// The targets.
    #[serde(default)]
    pub targets: Vec<Target>,
}
