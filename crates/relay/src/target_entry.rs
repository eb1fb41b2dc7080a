//! The entry of a target in the store.

use std::{net::SocketAddr, time::Duration};

use celerypond_types::{DataCentre, ServiceName, TargetName, VersionName};
use serde::{Deserialize, Serialize};

/// Whether a target accepts new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Presence {
    /// It accepts new requests.
    Ready,
    /// It completes the requests that it has.
    Leaving,
}

/// A target, as the store lists it. Each start of a target has an entry of its own.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetEntry {
    /// The name.
    pub name: TargetName,
    /// The service that it belongs to.
    pub service: ServiceName,
    /// The address that it listens on.
    pub address: SocketAddr,
    /// The data centre it runs in.
    pub data_centre: DataCentre,
    /// The version of its software.
    pub version: VersionName,
    /// The maximum number of concurrent requests.
    pub slots: u32,
    /// Whether it accepts new requests.
    pub presence: Presence,
    /// The remaining time for which it is slow after its start.
    pub cold: Duration,
    /// When it started, in milliseconds of Unix time. This distinguishes restarts under the same
    /// name.
    pub born: Option<u64>,
}
