//! The lease object, which names the instance that may send orders to a shard.

use celerypond_types::InstanceName;
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// The content of a lease object.
///
/// It contains no timestamp, since the clocks of instances are not compared. An instance that waits
/// to take over measures the lease duration on its own clock, from the time at which it first read
/// this version of the object.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lease {
    /// The instance that holds the lease, or that released it.
    pub holder: InstanceName,
    /// A random number for each write. A writer that got no reply recognizes its own write by it.
    pub nonce: u64,
    /// Whether the holder has given up the lease and has no orders in flight.
    pub released: bool,
}

/// Bytes that are not a lease.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
#[error("the content of the lease object is not a valid lease")]
pub struct LeaseError;

impl Lease {
    /// Encodes the lease as JSON.
    pub fn to_bytes(&self) -> Vec<u8> {
        // Serialization cannot fail: all fields are strings, numbers or booleans.
        serde_json::to_vec(self).unwrap_or_default()
    }

    /// Decodes a lease from JSON.
    ///
    /// # Errors
    ///
    /// Returns a [`LeaseError`] if the bytes are not a valid lease.
    pub fn from_bytes(bytes: &[u8]) -> Result<Self, LeaseError> {
        serde_json::from_slice(bytes).map_err(|_| LeaseError)
    }
}
