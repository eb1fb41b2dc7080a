//! What a target says of itself.

use std::{net::SocketAddr, time::Duration};

use celerypond_types::{DataCentre, ServiceName, TargetName, VersionName};
use serde::{Deserialize, Serialize};

/// Whether a target takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Presence {
    /// It takes new work.
    Ready,
    /// It finishes what it has.
    Leaving,
}

/// One start of a target, as the store lists it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetEntry {
    /// The name.
    pub name: TargetName,
    /// The service that it belongs to.
    pub service: ServiceName,
    /// Where it listens.
    pub address: SocketAddr,
    /// The data centre it runs in.
    pub data_centre: DataCentre,
    /// The version of its software.
    pub version: VersionName,
    /// Requests that run at once.
    pub slots: u32,
    /// Whether it takes new work.
    pub presence: Presence,
    /// How much longer it stays slow after its start.
    pub cold: Duration,
    /// When it started, in milliseconds of Unix time; a restart under the same name differs here.
    pub born: Option<u64>,
}
