//! The platform's list of instances and targets, which lags some seconds.

use std::net::SocketAddr;

use celerypond_types::{DataCentre, InstanceName, TargetName};
use serde::{Deserialize, Serialize};

/// Whether an instance or target takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Presence {
    /// It takes new work.
    Live,
    /// It finishes what it has.
    Leaving,
}

/// An instance of the system.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Instance {
    /// The name.
    pub name: InstanceName,
    /// Where callers connect.
    pub address: SocketAddr,
    /// Where other instances connect.
    pub peer_address: SocketAddr,
    /// The data centre it runs in.
    pub data_centre: DataCentre,
    /// Whether it takes new work.
    pub state: Presence,
}

/// A target as the platform sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    /// The name, as in the bundle.
    pub name: TargetName,
    /// Whether it takes new work.
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
