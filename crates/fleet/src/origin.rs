//! Identification of the runs of instances, which own entries.

use celerypond_types::{DataCentre, InstanceName};
use rapidhash::v3::rapidhash_v3;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// The number of a run of an instance. Usually the start time in milliseconds since the Unix epoch;
/// of two runs of an instance, the one with the higher number is the later one.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Incarnation(pub u64);

/// The key of one run of an instance, from process start to exit.
///
/// An instance stores nothing on disk, so its sequence numbers start again after a restart. If both
/// runs had the same key, peers would drop the new entries as outdated.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Origin(pub u64);

impl Origin {
    /// Returns the key of the given run.
    pub fn of(name: &InstanceName, incarnation: Incarnation) -> Self {
        let mut bytes = name.as_str().as_bytes().to_vec();
        bytes.extend_from_slice(&incarnation.0.to_le_bytes());
        Self(rapidhash_v3(&bytes))
    }
}

/// What an instance publishes in its [identity entry](crate::EntryKind::Identity).
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Identity {
    /// The name, which stays the same across restarts.
    pub name: InstanceName,
    /// The number of the run.
    pub incarnation: Incarnation,
    /// The address at which peers reach the instance.
    pub address: SmolStr,
    /// The data centre.
    pub data_centre: DataCentre,
}

impl Identity {
    /// Returns the key of this run.
    pub fn origin(&self) -> Origin {
        Origin::of(&self.name, self.incarnation)
    }
}
