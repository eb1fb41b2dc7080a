//! A target: an engine or one process of a plain service.

use std::net::SocketAddr;

use celerypond_types::{DataCentre, TargetName};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// A target: an engine or one process of a plain service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Target {
    /// The name, unique in the bundle.
    pub name: TargetName,
    /// What the target is.
    pub kind: TargetKind,
    /// Where it listens, as IP number and port.
    #[schemars(with = "String")]
    pub address: SocketAddr,
    /// Where it stands.
    pub data_centre: DataCentre,
    /// How many requests it serves at once before they queue.
    #[serde(default = "default_slots")]
    pub slots: u32,
    /// Whether it checks fencing numbers of orders.
    #[serde(default)]
    pub fencing: Fencing,
}

/// What a target is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum TargetKind {
    /// A model engine.
    Engine,
    /// A process of a plain service.
    Service,
}

/// Whether a target refuses orders that carry an old fencing number.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum Fencing {
    /// It refuses them.
    Checked,
    /// It obeys any order, and closes connections that are idle for 15 s.
    ClosesIdle,
    /// It obeys any order.
    #[default]
    Ignored,
}

fn default_slots() -> u32 {
    16
}
