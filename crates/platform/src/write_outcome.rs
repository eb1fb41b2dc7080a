//! What became of a write whose reply was lost.

use crate::{Object, Version};

/// What a read-back tells about a write that may have taken effect.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    /// The write took effect.
    Applied(Version),
    /// The write has not taken effect so far, and still may: its request can be under way.
    /// Repeating it under the same condition is safe.
    Pending,
    /// Another value is there. It kept the write out, or replaced it after it took effect.
    Other(Object),
}

impl WriteOutcome {
    /// Compares what was read back with what was written under the condition `before`, the version
    /// of the object, or `None` for a create.
    ///
    /// The value must hold a nonce of its writer, or the equal value of another writer would be
    /// taken for one's own.
    ///
    /// # Examples
    ///
    /// ```
    /// use celerypond_platform::{Object, WriteOutcome, Version};
    ///
    /// let found = Object { key: "a".into(), version: Version(7), value: "writer-1".into() };
    /// let outcome = WriteOutcome::from_read_back(None, b"writer-1", Some(found));
    /// assert_eq!(outcome, WriteOutcome::Applied(Version(7)));
    /// assert_eq!(WriteOutcome::from_read_back(None, b"writer-1", None), WriteOutcome::Pending);
    /// ```
    pub fn from_read_back(before: Option<Version>, written: &[u8], found: Option<Object>) -> Self {
        match found {
            Some(object) if object.value == written => Self::Applied(object.version),
            Some(object) if Some(object.version) != before => Self::Other(object),
            Some(_) | None => Self::Pending,
        }
    }
}
