//! The object that says who may give orders.

use celerypond_types::InstanceName;
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// The content of a lease object.
///
/// It has no time: clocks of instances are not compared. Who wants to take over measures the lease
/// on its own clock, from when it saw this version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lease {
    /// The holder.
    pub holder: InstanceName,
    /// A number chosen anew for each write, by which a writer whose reply was lost finds its own.
    pub nonce: u64,
    /// Whether the holder is done and has no order under way.
    pub released: bool,
}

/// The way in which bytes are not a lease.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
#[error("the lease object cannot be read")]
pub struct LeaseError;

impl Lease {
    /// Renders the lease as JSON.
    pub fn to_bytes(&self) -> Vec<u8> {
        // A structure of texts and numbers has a JSON form.
        serde_json::to_vec(self).unwrap_or_default()
    }

    /// Reads a lease.
    ///
    /// # Errors
    ///
    /// Fails when the bytes are not a lease.
    pub fn from_bytes(bytes: &[u8]) -> Result<Self, LeaseError> {
        serde_json::from_slice(bytes).map_err(|_| LeaseError)
    }
}
