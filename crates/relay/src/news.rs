//! What one instance tells another of the store.

use celerypond_types::TargetName;
use serde::{Deserialize, Serialize};

use crate::{Config, TargetEntry};

/// What one instance tells another of the store.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct News {
    /// The configuration, unless the other knows it.
    pub config: Option<Config>,
    /// The store's revision up to which the targets are told.
    pub revision: u64,
    /// Whether the targets are all there are, and not only those that changed.
    pub is_whole: bool,
    /// Targets that are there.
    pub targets: Vec<TargetEntry>,
    /// Targets that are gone.
    pub gone: Vec<TargetName>,
    /// Targets whose entries may still come back after an outage.
    pub missing: Vec<TargetName>,
}

impl News {
    /// Puts the news into bytes.
    pub fn encode(&self) -> Vec<u8> {
        // The types have no maps with other keys than text, so this does not fail.
        serde_json::to_vec(self).unwrap_or_default()
    }

    /// Reads news.
    ///
    /// # Errors
    ///
    /// When the bytes do not have their form.
    pub fn decode(bytes: &[u8]) -> Result<Self, serde_json::Error> {
        serde_json::from_slice(bytes)
    }
}
