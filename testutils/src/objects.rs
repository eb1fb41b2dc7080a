//! The versioned objects of the stand-in platform.

use std::collections::BTreeMap;

use bytes::Bytes;

/// The largest value that the platform takes, in bytes.
pub const VALUE_LIMIT: usize = 1 << 20;

/// The condition of a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Condition {
    /// The object must not exist.
    Absent,
    /// The object must have this version.
    Version(u64),
}

/// Why a write had no effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteError {
    /// The condition does not hold.
    Conflict,
    /// The object does not exist.
    Missing,
    /// The value is over [`VALUE_LIMIT`].
    TooLarge,
}

/// An object.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Object {
    /// The version: the store's revision when it was written.
    pub version: u64,
    /// The value.
    pub value: Bytes,
}

/// Versioned objects with conditional writes and a record of changes.
#[derive(Clone, Debug, Default)]
pub struct ObjectStore {
    revision: u64,
    objects: BTreeMap<String, Object>,
    changes: BTreeMap<u64, String>,
}

impl ObjectStore {
    /// Returns the revision: the number of writes so far.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Finds an object.
    pub fn get(&self, key: &str) -> Option<&Object> {
        self.objects.get(key)
    }

    /// Writes an object if the condition holds and returns its new version.
    ///
    /// # Errors
    ///
    /// Gives a [`WriteError`] when nothing was written.
    pub fn put(
        &mut self,
        key: &str,
        value: Bytes,
        condition: Condition,
    ) -> Result<u64, WriteError> {
        if value.len() > VALUE_LIMIT {
            return Err(WriteError::TooLarge);
        }
        let held = self.objects.get(key).map(|object| object.version);
        let holds = match condition {
            Condition::Absent => held.is_none(),
            Condition::Version(version) => held == Some(version),
        };
        if !holds {
            return Err(WriteError::Conflict);
        }
        let version = self.record(key);
        self.objects
            .insert(key.to_owned(), Object { version, value });
        Ok(version)
    }

    /// Deletes an object that has this version.
    ///
    /// # Errors
    ///
    /// Gives a [`WriteError`] when nothing was deleted.
    pub fn delete(&mut self, key: &str, version: u64) -> Result<(), WriteError> {
        match self.objects.get(key) {
            None => Err(WriteError::Missing),
            Some(object) if object.version != version => Err(WriteError::Conflict),
            Some(_) => {
                self.objects.remove(key);
                self.record(key);
                Ok(())
            }
        }
    }

    /// Returns objects under a prefix in key order, after a key, up to a limit.
    pub fn list(&self, prefix: &str, after: &str, limit: usize) -> Vec<(&str, &Object)> {
        self.objects
            .range(prefix.to_owned()..)
            .take_while(|(key, _)| key.starts_with(prefix))
            .filter(|(key, _)| key.as_str() > after)
            .take(limit)
            .map(|(key, object)| (key.as_str(), object))
            .collect()
    }

    /// Returns keys under a prefix that changed after a revision, each once, oldest change first.
    pub fn changed_keys(&self, prefix: &str, since: u64) -> Vec<&str> {
        self.changes
            .range(since + 1..)
            .map(|(_, key)| key.as_str())
            .filter(|key| key.starts_with(prefix))
            .collect()
    }

    fn record(&mut self, key: &str) -> u64 {
        self.revision += 1;
        if let Some(object) = self.objects.get(key) {
            self.changes.remove(&object.version);
        }
        self.changes.insert(self.revision, key.to_owned());
        self.revision
    }
}
