//! Targets.

use std::net::SocketAddr;

use celerypond_types::{DataCentre, TargetName};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// A target: an engine or a process of a plain service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Target {
    /// The name, unique in the bundle.
    pub name: TargetName,
    /// The kind of the target.
    pub kind: TargetKind,
    /// The address that it listens on, as IP address and port.
    #[schemars(with = "String")]
    pub address: SocketAddr,
    /// The data centre that it runs in.
    pub data_centre: DataCentre,
    /// The number of requests that it serves concurrently. Further requests queue.
    #[serde(default = "default_slots")]
    pub slots: u32,
    /// Whether it checks the fencing numbers of orders.
    #[serde(default)]
    pub fencing: Fencing,
}

/// The kind of a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum TargetKind {
    /// A model engine.
    Engine,
    /// A process of a plain service.
    Service,
}

/// Whether a target rejects orders with an outdated fencing number.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum Fencing {
    /// It rejects them.
    Checked,
    /// It accepts any order, and closes connections that have been idle for 15 s.
    ClosesIdle,
    /// It accepts any order.
    #[default]
    Ignored,
}

fn default_slots() -> u32 {
    16
}
