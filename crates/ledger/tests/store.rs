//! A store in memory.

use std::collections::BTreeMap;

use bytes::Bytes;
use celerypond_ledger::{Effect, ReadReply, WriteReply};
use celerypond_platform::{Object, Version};
use smol_str::SmolStr;

#[derive(Debug)]
pub(crate) struct Store {
    pub(crate) objects: BTreeMap<SmolStr, Object>,
    pub(crate) writes: u64,
    version: u64,
    /// Off, every write takes effect.
    pub(crate) conditions: bool,
}

impl Store {
    pub(crate) fn new() -> Self {
        Self {
            objects: BTreeMap::new(),
            writes: 0,
            version: 0,
            conditions: true,
        }
    }

    pub(crate) fn write(&mut self, effect: &Effect) -> WriteReply {
        let (key, before, value) = match effect {
            Effect::Create { key, value } => (key, None, value),
            Effect::Update {
                key,
                expected_version,
                value,
            } => (key, Some(*expected_version), value),
            other => panic!("not a write: {other:?}"),
        };
        self.put(key, before, value.clone())
    }

    pub(crate) fn put(&mut self, key: &str, before: Option<Version>, value: Bytes) -> WriteReply {
        let found = self.objects.get(key).map(|object| object.version);
        if self.conditions && found != before {
            return WriteReply::Conflict;
        }
        self.version += 1;
        self.writes += 1;
        let version = Version(self.version);
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
