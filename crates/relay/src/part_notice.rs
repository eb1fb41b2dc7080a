//! What instances tell each other about parts of prompts under which engines end.

use std::fmt;

use celerypond_types::ServiceName;
use serde::{Deserialize, Serialize};

use crate::{target::service_hash, TargetRun};

/// Identifies a part of the prompts that the engines of a service get. The accounts and paths of the
/// requests that name it do not matter.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct PartKey {
    service: u64,
    id: u64,
}

impl PartKey {
    /// Returns the key of the part with this id.
    ///
    /// # Examples
    ///
    /// ```
    /// use celerypond_relay::PartKey;
    /// use celerypond_types::ServiceName;
    ///
    /// let [writer, reader] = ["writer", "reader"].map(ServiceName::new);
    /// assert_ne!(PartKey::new(&writer, 7), PartKey::new(&reader, 7));
    /// assert_eq!(PartKey::new(&writer, 0xfa0).to_string(), "fa0");
    /// ```
    pub fn new(service: &ServiceName, id: u64) -> Self {
        Self {
            service: service_hash(service),
            id,
        }
    }
}

/// Writes the id as callers do.
impl fmt::Display for PartKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:x}", self.id)
    }
}

/// A part that may have ended an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectPart {
    /// The part.
    pub part: PartKey,
    /// The number of requests with it that the sender knows.
    pub requests: u32,
    /// The number of answers to them that engines survived.
    pub survivals: u32,
}

/// A part that is quarantined.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantinedPart {
    /// The part.
    pub part: PartKey,
    /// The engines that ended under it.
    pub targets: Vec<TargetRun>,
    /// The number of probes so far.
    pub probes: u32,
    /// The time until the next probe, in milliseconds.
    pub due_ms: u64,
}

/// A notice about parts of prompts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PartNotice {
    /// An engine ended, and requests with these parts may be the cause.
    Ended(TargetRun, Vec<SuspectPart>),
    /// Engines answered requests with these parts and went on.
    Cleared(Vec<PartKey>),
    /// What the sender knows of parts that the receiver suspects.
    Known(Vec<SuspectPart>),
    /// The instance with this origin probes these quarantined parts with a request.
    Probed(u64, Vec<PartKey>),
    /// All parts that the sender has quarantined.
    Quarantined(Vec<QuarantinedPart>),
    /// Requests the parts that the receiver has quarantined.
    Query,
}
