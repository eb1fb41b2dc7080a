//! The outcome of a write whose response was lost.

use crate::{Object, Version};

/// What a later read of the object tells about a write that may have taken effect.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    /// The write took effect.
    Applied(Version),
    /// The write has not taken effect yet, and still may, because its request can be in flight.
    /// It is safe to retry it with the same precondition.
    Pending,
    /// The object has another value. Either it prevented the write, or it replaced the written
    /// value after the write had taken effect.
    Other(Object),
}

impl WriteOutcome {
    /// Compares the object that was read back with the value that was written. `before` is the
    /// version that the write required, or `None` for a create.
    ///
    /// The value must contain a nonce of its writer. Otherwise an equal value of another writer
    /// would count as this one.
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
