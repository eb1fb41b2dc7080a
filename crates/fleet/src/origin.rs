//! Who owns an entry: one run of one instance.

use celerypond_types::{DataCentre, InstanceName};
use rapidhash::v3::rapidhash_v3;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// The ordinal of a run of an instance, usually its start time in milliseconds.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Incarnation(pub u64);

/// One run of one instance.
///
/// An instance keeps nothing, so its sequence numbers begin again after a restart. If both runs had
/// the same key, peers would take the new entries for old ones and drop them. A key of its own for
/// each run rules that out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Origin(pub u64);

impl Origin {
    /// Returns the key of a run.
    pub fn of(name: &InstanceName, incarnation: Incarnation) -> Self {
        let mut bytes = name.as_str().as_bytes().to_vec();
        bytes.extend_from_slice(&incarnation.0.to_le_bytes());
        Self(rapidhash_v3(&bytes))
    }
}

/// What an instance says of itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Identity {
    /// The name, which survives a restart.
    pub name: InstanceName,
    /// The run.
    pub incarnation: Incarnation,
    /// The address for peers.
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
