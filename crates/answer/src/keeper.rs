//! Holds the records that an instance keeps for others.

use std::collections::{BTreeSet, HashMap};

use celerypond_types::{Attempt, RequestKey};
use thiserror::Error;
use tokio::time::Instant;

use crate::{KeeperRecord, RecordExtension};

/// The memory of a keeper that is made without a limit, in bytes.
const DEFAULT_MAX_BYTES: usize = 32 << 20;
/// What a record takes beside its key, tokens and text, in bytes.
const RECORD_OVERHEAD_BYTES: usize = 320;
const TOKEN_BYTES: usize = size_of::<u32>();

/// Why a record is not entry.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum PutError {
    /// A record of a higher attempt is here; the sender is to give the answer up.
    #[error("a later record is held")]
    Fenced(Box<KeeperRecord>),
    /// All memory is in use by records that expire later; the sender goes on without.
    #[error("no room is left")]
    Full,
}

/// The records that an instance keeps for others, up to a limit of memory.
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
    /// Makes a keeper that uses at most about `max_bytes` bytes.
    pub fn new(max_bytes: usize) -> Self {
        Self {
            max_bytes,
            used_bytes: 0,
            records: HashMap::new(),
            expiry: BTreeSet::new(),
        }
    }

    /// Takes a record in place of one that is not higher.
    ///
    /// The failure: an instance is paused or cut off, another takes its request over, and the
    /// first comes back. The symptom would be two drivers that start attempts against each other
    /// and stop each other's streams. The lower one gets the higher one's record back and gives up.
    ///
    /// # Errors
    ///
    /// [`PutError::Fenced`] with the higher record, or [`PutError::Full`].
    pub fn put(&mut self, now: Instant, record: KeeperRecord) -> Result<(), PutError> {
        self.expire(now);
        let attempt = record.attempt();
        let merged = match self.get(now, &record.key) {
            Some(held) => held.clone().merge(record),
            None => record,
        };
        // A record that stays keeps its own time to live.
        if merged.attempt() > attempt {
            return Err(PutError::Fenced(Box::new(merged)));
        }
        let freed = self
            .records
            .get(&merged.key)
            .map_or(0, |held| record_bytes(&held.record));
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

    /// Adds tokens to a record, if they follow its last one and there is room.
    pub fn extend(&mut self, copy: &RecordExtension) {
        let more = copy.tokens.len() * TOKEN_BYTES + copy.text.len();
        if self.used_bytes + more > self.max_bytes {
            return;
        }
        if let Some(entry) = self.take(&copy.key) {
            self.insert(Entry {
                record: entry.record.extend(copy),
                ..entry
            });
        }
    }

    /// Returns the record of a request.
    pub fn get(&self, now: Instant, key: &RequestKey) -> Option<&KeeperRecord> {
        self.records
            .get(key)
            .filter(|entry| now < entry.expires)
            .map(|entry| &entry.record)
    }

    /// Removes the record of a request, if it is not of a later attempt than `attempt`.
    pub fn remove(&mut self, key: &RequestKey, attempt: Attempt) {
        let held = self.records.get(key);
        if held.is_some_and(|entry| entry.record.attempt() <= attempt) {
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

    /// Returns how many records are held.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether no record is held.
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
