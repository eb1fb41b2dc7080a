//! What an instance that starts while the store is away gets from a peer.

use celerypond_types::{ServiceName, VersionName};
use serde::{Deserialize, Serialize};

use crate::{Config, TargetEntry};

/// The state of the store as one instance knows it.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Snapshot {
    /// The configuration in force.
    pub config: Config,
    /// The targets.
    pub targets: Vec<TargetEntry>,
    /// The revision of the store up to which the targets are known.
    pub revision: u64,
    /// The version of each service's software that has the traffic.
    pub versions: Vec<(ServiceName, VersionName)>,
}

impl Snapshot {
    /// Puts the snapshot into bytes.
    pub fn encode(&self) -> Vec<u8> {
        // The types have no maps with other keys than text, so this does not fail.
        serde_json::to_vec(self).unwrap_or_default()
    }

    /// Reads a snapshot.
    ///
    /// # Errors
    ///
    /// When the bytes are not of a snapshot.
    pub fn decode(bytes: &[u8]) -> Result<Self, serde_json::Error> {
        serde_json::from_slice(bytes)
    }
}
