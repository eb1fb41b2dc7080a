//! The records that an instance keeps for others.

use std::collections::HashMap;

use celerypond_types::{Attempt, RequestKey};
use tokio::time::Instant;

use crate::{KeeperCopy, KeeperRecord};

/// The records that an instance keeps for others.
///
/// # Examples
///
/// ```
/// use celerypond_answer::Keeper;
/// use tokio::time::Instant;
///
/// let now = Instant::now();
/// let mut keeper = Keeper::default();
/// assert!(keeper.get(now, &"r".into()).is_none());
/// keeper.expire(now);
/// assert!(keeper.is_empty());
/// ```
#[derive(Clone, Debug, Default)]
pub struct Keeper {
    records: HashMap<RequestKey, Kept>,
}

#[derive(Clone, Debug)]
struct Kept {
    record: KeeperRecord,
    expires: Instant,
}

impl Keeper {
    /// Takes a record, unless a higher one is here; that one is returned to fence the sender.
    ///
    /// The failure: an instance is paused or cut off, another takes its request over, and the
    /// first comes back. The symptom would be two drivers that start attempts against each other
    /// and stop each other's streams. The lower one gets the higher one's record back and gives up.
    pub fn put(&mut self, now: Instant, record: KeeperRecord) -> Option<KeeperRecord> {
        let attempt = record.attempt();
        let merged = match self.get(now, &record.key) {
            Some(held) => held.clone().merge(record),
            None => record,
        };
        let higher = (merged.attempt() > attempt).then(|| merged.clone());
        let expires = now + merged.time_left();
        // A record that stays keeps its own time to live.
        if higher.is_none() {
            let kept = Kept {
                record: merged,
                expires,
            };
            self.records.insert(kept.record.key.clone(), kept);
        }
        higher
    }

    /// Adds tokens to a record, if they follow its last one.
    pub fn extend(&mut self, copy: &KeeperCopy) {
        if let Some(kept) = self.records.remove(&copy.key) {
            let kept = Kept {
                record: kept.record.extend(copy),
                ..kept
            };
            self.records.insert(copy.key.clone(), kept);
        }
    }

    /// Returns the record of a request.
    pub fn get(&self, now: Instant, key: &RequestKey) -> Option<&KeeperRecord> {
        self.records
            .get(key)
            .filter(|kept| now < kept.expires)
            .map(|kept| &kept.record)
    }

    /// Removes the record of a request, if it is not of a later attempt than `attempt`.
    pub fn forget(&mut self, key: &RequestKey, attempt: Attempt) {
        if self
            .records
            .get(key)
            .is_some_and(|kept| kept.record.attempt() <= attempt)
        {
            self.records.remove(key);
        }
    }

    /// Removes the records whose deadline has passed.
    pub fn expire(&mut self, now: Instant) {
        self.records.retain(|_, kept| now < kept.expires);
    }

    /// Returns how many records are held.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether no record is held.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }
}
