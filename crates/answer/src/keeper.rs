//! The store of records that an instance keeps for other instances.

use std::collections::{BTreeSet, HashMap};

use celerypond_types::{Attempt, RequestKey};
use thiserror::Error;
use tokio::time::Instant;

use crate::{KeeperRecord, RecordExtension};

/// The memory limit of a default keeper.
const DEFAULT_MAX_BYTES: usize = 32 << 20;
/// The memory of a record without its key, tokens and text.
const RECORD_OVERHEAD_BYTES: usize = 320;
const TOKEN_BYTES: usize = size_of::<u32>();

/// Why a record was not stored.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum PutError {
    /// A record of a higher attempt is stored; the sender must stop driving the request.
    #[error("a record of a later attempt is stored")]
    Fenced(Box<KeeperRecord>),
    /// The memory limit is reached; the sender continues without a record.
    #[error("the memory limit is reached")]
    Full,
}

/// The store of records that an instance keeps for other instances, with a memory limit.
///
/// # Examples
///
/// ```
/// use celerypond_answer::Keeper;
/// use tokio::time::Instant;
///
/// let now = Instant::now();
/// let mut keeper = Keeper::new(1 << 20);
/// assert!(keeper.get(now, &"r".into()).is_none());
/// keeper.expire(now);
/// assert!(keeper.is_empty());
/// ```
#[derive(Clone, Debug)]
pub struct Keeper {
    max_bytes: usize,
    used_bytes: usize,
    records: HashMap<RequestKey, Entry>,
    expiry: BTreeSet<(Instant, RequestKey)>,
}

#[derive(Clone, Debug)]
struct Entry {
    record: KeeperRecord,
    expires: Instant,
}

impl Default for Keeper {
    fn default() -> Self {
        Self::new(DEFAULT_MAX_BYTES)
    }
}

impl Keeper {
    /// Creates a keeper that uses at most about `max_bytes` bytes of memory.
    pub fn new(max_bytes: usize) -> Self {
        Self {
            max_bytes,
            used_bytes: 0,
            records: HashMap::new(),
            expiry: BTreeSet::new(),
        }
    }

    /// Stores a record, unless the stored one has a higher attempt.
    ///
    /// When an instance was paused or partitioned, and another one has taken over its request in
    /// the meantime, there are two drivers, which would start competing attempts and cancel each
    /// other's streams. The driver with the lower attempt gets the other record back and stops.
    ///
    /// # Errors
    ///
    /// Returns [`PutError::Fenced`] with the higher record, or [`PutError::Full`].
    pub fn put(&mut self, now: Instant, record: KeeperRecord) -> Result<(), PutError> {
        self.expire(now);
        let attempt = record.attempt();
        let merged = match self.get(now, &record.key) {
            Some(stored) => stored.clone().merge(record),
            None => record,
        };
        // The stored record remains, with its own expiry.
        if merged.attempt() > attempt {
            return Err(PutError::Fenced(Box::new(merged)));
        }
        let freed = self
            .records
            .get(&merged.key)
            .map_or(0, |stored| record_bytes(&stored.record));
        if self.used_bytes - freed + record_bytes(&merged) > self.max_bytes {
            return Err(PutError::Full);
        }
        self.take(&merged.key.clone());
        let expires = now + merged.time_left();
        self.insert(Entry {
            record: merged,
            expires,
        });
        Ok(())
    }

    /// Appends tokens to a record, if they directly follow its prefix and the memory limit allows.
    pub fn extend(&mut self, extension: &RecordExtension) {
        let more = extension.tokens.len() * TOKEN_BYTES + extension.text.len();
        if self.used_bytes + more > self.max_bytes {
            return;
        }
        if let Some(entry) = self.take(&extension.key) {
            self.insert(Entry {
                record: entry.record.extend(extension),
                ..entry
            });
        }
    }

    /// Returns the record of a request, unless it has expired.
    pub fn get(&self, now: Instant, key: &RequestKey) -> Option<&KeeperRecord> {
        self.records
            .get(key)
            .filter(|entry| now < entry.expires)
            .map(|entry| &entry.record)
    }

    /// Removes the record of a request, unless it belongs to a later attempt than `attempt`.
    pub fn remove(&mut self, key: &RequestKey, attempt: Attempt) {
        let stored = self.records.get(key);
        if stored.is_some_and(|entry| entry.record.attempt() <= attempt) {
            self.take(key);
        }
    }

    /// Removes the records whose deadline has passed.
    pub fn expire(&mut self, now: Instant) {
        while let Some((expires, key)) = self.expiry.first() {
            if *expires > now {
                break;
            }
            let key = key.clone();
            self.take(&key);
        }
    }

    /// Returns the number of stored records.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether no record is stored.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    fn insert(&mut self, entry: Entry) {
        let key = entry.record.key.clone();
        self.used_bytes += record_bytes(&entry.record);
        self.expiry.insert((entry.expires, key.clone()));
        self.records.insert(key, entry);
    }

    fn take(&mut self, key: &RequestKey) -> Option<Entry> {
        let entry = self.records.remove(key)?;
        self.used_bytes -= record_bytes(&entry.record);
        self.expiry.remove(&(entry.expires, key.clone()));
        Some(entry)
    }
}

fn record_bytes(record: &KeeperRecord) -> usize {
    let names = 2 * record.key.as_str().len();
    RECORD_OVERHEAD_BYTES + names + record.prefix.len() * TOKEN_BYTES + record.text.len()
}
