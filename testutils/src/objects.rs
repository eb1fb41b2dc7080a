//! The object store of the stand-in platform.

use std::collections::BTreeMap;

use bytes::Bytes;

/// The maximum size of a value, in bytes.
pub const VALUE_LIMIT: usize = 1 << 20;

/// The precondition of a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Condition {
    /// The object must not exist.
    Absent,
    /// The object must have this version.
    Version(u64),
}

/// The reason that a write or deletion failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteError {
    /// The precondition is not met.
    Conflict,
    /// The object does not exist.
    Missing,
    /// The value is larger than [`VALUE_LIMIT`].
    TooLarge,
}

/// An object.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Object {
    /// The version, which is the revision that the store reached by writing it.
    pub version: u64,
    /// The value.
    pub value: Bytes,
}

/// Versioned objects with conditional writes and a record of the last change of each key.
#[derive(Clone, Debug, Default)]
pub struct ObjectStore {
    revision: u64,
    objects: BTreeMap<String, Object>,
    changes: BTreeMap<u64, String>,
}

impl ObjectStore {
    /// Returns the revision, which is the number of writes and deletions so far.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the object with this key.
    pub fn get(&self, key: &str) -> Option<&Object> {
        self.objects.get(key)
    }

    /// Writes an object if the precondition is met. Returns its new version.
    ///
    /// # Errors
    ///
    /// Returns a [`WriteError`] if nothing was written.
    pub fn put(
        &mut self,
        key: &str,
        value: Bytes,
        condition: Condition,
    ) -> Result<u64, WriteError> {
        if value.len() > VALUE_LIMIT {
            return Err(WriteError::TooLarge);
        }
        let current = self.objects.get(key).map(|object| object.version);
        let is_met = match condition {
            Condition::Absent => current.is_none(),
            Condition::Version(version) => current == Some(version),
        };
        if !is_met {
            return Err(WriteError::Conflict);
        }
        let version = self.record_change(key);
        self.objects
            .insert(key.to_owned(), Object { version, value });
        Ok(version)
    }

    /// Deletes an object if it has the given version.
    ///
    /// # Errors
    ///
    /// Returns a [`WriteError`] if nothing was deleted.
    pub fn delete(&mut self, key: &str, version: u64) -> Result<(), WriteError> {
        match self.objects.get(key) {
            None => Err(WriteError::Missing),
            Some(object) if object.version != version => Err(WriteError::Conflict),
            Some(_) => {
                self.objects.remove(key);
                self.record_change(key);
                Ok(())
            }
        }
    }

    /// Returns up to `limit` objects whose keys start with `prefix` and sort after `after`, in key
    /// order.
    pub fn list(&self, prefix: &str, after: &str, limit: usize) -> Vec<(&str, &Object)> {
        self.objects
            .range(prefix.to_owned()..)
            .take_while(|(key, _)| key.starts_with(prefix))
            .filter(|(key, _)| key.as_str() > after)
            .take(limit)
            .map(|(key, object)| (key.as_str(), object))
            .collect()
    }

    /// Returns the keys under `prefix` that changed after the revision `since`, in the order of
    /// their changes. A key whose object was rewritten is listed once, at its last change.
    pub fn changed_keys(&self, prefix: &str, since: u64) -> Vec<&str> {
        self.changes
            .range(since + 1..)
            .map(|(_, key)| key.as_str())
            .filter(|key| key.starts_with(prefix))
            .collect()
    }

    fn record_change(&mut self, key: &str) -> u64 {
        self.revision += 1;
        if let Some(object) = self.objects.get(key) {
            self.changes.remove(&object.version);
        }
        self.changes.insert(self.revision, key.to_owned());
        self.revision
    }
}
