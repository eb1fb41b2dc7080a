//! An in-memory store.

use std::collections::BTreeMap;

use bytes::Bytes;
use celerypond_ledger::{Effect, ReadReply, WriteReply};
use celerypond_platform::{Object, Version};
use smol_str::SmolStr;

/// A versioned object store with conditional writes, like the one of the platform.
#[derive(Debug)]
pub(crate) struct MemoryStore {
    pub(crate) objects: BTreeMap<SmolStr, Object>,
    pub(crate) write_count: u64,
    last_version: u64,
    /// Whether conditions of writes are checked. If not, every write takes effect.
    pub(crate) checks_conditions: bool,
}

impl MemoryStore {
    pub(crate) fn new() -> Self {
        Self {
            objects: BTreeMap::new(),
            write_count: 0,
            last_version: 0,
            checks_conditions: true,
        }
    }

    pub(crate) fn write(&mut self, effect: &Effect) -> WriteReply {
        let (key, expected_version, value) = match effect {
            Effect::Create { key, value } => (key, None, value),
            Effect::Update {
                key,
                expected_version,
                value,
            } => (key, Some(*expected_version), value),
            other => panic!("not a write: {other:?}"),
        };
        self.put(key, expected_version, value.clone())
    }

    pub(crate) fn put(
        &mut self,
        key: &str,
        expected_version: Option<Version>,
        value: Bytes,
    ) -> WriteReply {
        let found = self.objects.get(key).map(|object| object.version);
        if self.checks_conditions && found != expected_version {
            return WriteReply::Conflict;
        }
        self.last_version += 1;
        self.write_count += 1;
        let version = Version(self.last_version);
        let key = SmolStr::new(key);
        let object = Object {
            key: key.clone(),
            version,
            value,
        };
        self.objects.insert(key, object);
        WriteReply::Written(version)
    }

    pub(crate) fn copy(&self) -> Self {
        Self {
            objects: self.objects.clone(),
            ..*self
        }
    }

    pub(crate) fn get(&self, key: &str) -> ReadReply {
        let found = self.objects.get(key).cloned();
        found.map_or(ReadReply::Missing, ReadReply::Found)
    }

    /// Returns up to `limit` objects whose keys are greater than `after`.
    pub(crate) fn page(&self, after: &str, limit: usize) -> Vec<Object> {
        let later = self.objects.values().filter(|object| *object.key > *after);
        later.take(limit).cloned().collect()
    }
}
