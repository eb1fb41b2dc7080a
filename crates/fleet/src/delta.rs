//! Changes to the entries of one origin in one class.

use serde::{Deserialize, Serialize};

use crate::{Entry, EntryClass, Origin};

/// Changes to the entries of one origin in one class.
///
/// Contains all changes after `after` up to and including `upto`. A receiver that has all changes up
/// to `after` has all changes up to `upto` once it has applied the delta. Without the lower bound, a
/// pushed entry would hide lost changes before it, and no digest would request them again.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Delta {
    /// The origin that owns the entries.
    pub origin: Origin,
    /// The class of the entries.
    pub class: EntryClass,
    /// The sequence number that the receiver must have reached for `upto` to apply.
    pub after: u64,
    /// The sequence number that the receiver has reached after applying the delta.
    pub upto: u64,
    /// The changed entries in order of sequence number.
    pub entries: Vec<Entry>,
}

impl Delta {
    /// Upper bound on the encoded size without the entries, in bytes.
    pub(crate) const MAX_HEADER_BYTES: usize = 20;
}
