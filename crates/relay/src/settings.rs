//! The settings of an instance that relays routed requests.

use std::{
    net::{IpAddr, SocketAddr},
    time::Duration,
};

use celerypond_types::{DataCentre, InstanceName};

/// The settings of an instance that relays routed requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The name of the instance.
    pub instance: InstanceName,
    /// The data centre it runs in.
    pub data_centre: DataCentre,
    /// Its address.
    pub ip: IpAddr,
    /// Where it listens; nothing for what it does not serve.
    pub listen: Listen,
    /// The first and the last port that are free for traffic between instances.
    pub peer_ports: (u16, u16),
    /// Addresses of some instances, which may be stale.
    pub seeds: Vec<Seed>,
    /// The store.
    pub store: StoreSettings,
    /// The bounds that operators have set.
    pub bounds: Bounds,
    /// How many cores the instance has.
    pub cores: usize,
    /// The descriptors that the process may open.
    pub descriptors: usize,
}

/// An instance that a starting one tries first.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Seed(pub IpAddr);

/// Where an instance listens.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Listen {
    /// For callers.
    pub callers: Option<SocketAddr>,
    /// For the question whether it is ready.
    pub ready: Option<SocketAddr>,
    /// For callers that ask which addresses to use.
    pub directory: Option<SocketAddr>,
    /// For counters and latencies as text.
    pub metrics: Option<SocketAddr>,
}

/// Where the store is and what all instances may ask of it together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StoreSettings {
    /// Its address.
    pub address: SocketAddr,
    /// Reads a second.
    pub reads: f64,
    /// Writes a second.
    pub writes: f64,
}

/// The bounds that operators have set.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// From SIGTERM to SIGKILL.
    pub grace: Duration,
    /// From the store's answer to a new configuration until it is in force.
    pub config_apply: Duration,
    /// From the store's answer to a target's leaving until no new work reaches it.
    pub drain: Duration,
    /// The share of a service's requests that may be sent once more.
    pub retry_ratio: f64,
    /// Requests that may be sent once more beyond that share, over all instances.
    pub retry_slack: f64,
    /// The longest time for which callers may keep an answer of the directory.
    pub directory_ttl: Duration,
    /// The share of a service's requests that a version under trial may get.
    pub expose_share: f64,
}
