//! Notices of targets that have stated that they leave.

use serde::{Deserialize, Serialize};

/// A notice that a target has stated to the sending instance that it leaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeavingNotice {
    /// The hash of the target's name.
    pub target_hash: u64,
    /// When its process started, in milliseconds of Unix time.
    pub born: Option<u64>,
}
