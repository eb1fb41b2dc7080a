//! What one instance tells another of the store.

use celerypond_types::TargetName;
use serde::{de::DeserializeOwned, Deserialize, Serialize};

use crate::TargetEntry;

/// What one instance tells another of the targets in the store.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct TargetUpdate {
    /// The store's revision up to which the targets are told.
    pub revision: u64,
    /// The time since that was last known to be the newest revision, in milliseconds; nothing if it never was.
    pub age_ms: Option<u32>,
    /// Whether the targets are all there are, and not only those that changed.
    pub is_whole: bool,
    /// Targets that are there.
    pub targets: Vec<TargetEntry>,
    /// Targets that are gone.
    pub gone: Vec<TargetName>,
    /// Targets whose entries may still come back after an outage.
    pub missing: Vec<TargetName>,
    /// Those of the targets that the store does not list, and the time since each one answered, in milliseconds.
    pub observed: Vec<(TargetName, u32)>,
}

/// Puts what instances tell each other into bytes.
///
/// All instances ask one at the same moment, over a link that may be narrow, so the form is a dense
/// one: the entry of a target takes about 90 bytes, and 270 as JSON.
///
/// # Examples
///
/// ```
/// use celerypond_relay::{encode, decode, TargetUpdate};
///
/// let news = TargetUpdate { revision: 7, ..TargetUpdate::default() };
/// assert_eq!(decode::<TargetUpdate>(&encode(&news)).unwrap(), news);
/// ```
pub fn encode<T: Serialize>(told: &T) -> Vec<u8> {
    // The types have neither maps nor sequences of unknown length, so this does not fail.
    bincode::serialize(told).unwrap_or_default()
}

/// Reads what another instance told.
///
/// # Errors
///
/// When the bytes do not have their form.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, bincode::Error> {
    bincode::deserialize(bytes)
}
