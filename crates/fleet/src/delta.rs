//! Changes of one origin in one class.

use serde::{Deserialize, Serialize};

use crate::{Class, Entry, Origin};

/// Changes of one origin in one class.
///
/// The entries are all that changed after `after` up to `upto`. A receiver that has everything up to
/// `after` has everything up to `upto` once it took them in. Without the lower end, a pushed entry
/// would hide the ones before it that were lost, and no digest would ask for them again.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Delta {
    /// The owner of the entries.
    pub origin: Origin,
    /// Their class.
    pub class: Class,
    /// The sequence number that the receiver must have reached.
    pub after: u64,
    /// The sequence number that the receiver then reaches.
    pub upto: u64,
    /// The entries in order of sequence.
    pub entries: Vec<Entry>,
}

impl Delta {
    /// A bound on the bytes of everything but the entries.
    pub(crate) const HEAD_BYTES: usize = 20;
}
