//! Records that an instance holds for its peers.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use celerypond_types::{Attempt, Position, RequestKey};
use serde::{Deserialize, Serialize};
use thiserror::Error;
use tokio::time::Instant;

/// How far an answer had come; a record that is further replaces one that is less far.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Progress {
    /// The attempt.
    pub attempt: Attempt,
    /// The position within the attempt.
    pub position: Position,
}

/// What another instance needs to go on with an answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The request.
    pub request: RequestKey,
    /// How far the answer had come.
    pub progress: Progress,
    /// How long to keep the record, in milliseconds.
    pub keep_ms: u32,
    /// The content, opaque here.
    pub bytes: Box<[u8]>,
}

/// The ways in which a record is not kept.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq, Serialize, Deserialize)]
pub enum KeepersError {
    /// All bytes are in use by records that expire later.
    #[error("no room is left")]
    Full,
    /// A record that is further is held already.
    #[error("a later record is held")]
    Late,
}

#[derive(Clone, Debug)]
struct Held {
    record: Record,
    expires: Instant,
}

/// A bounded store of records.
///
/// # Examples
///
/// ```
/// use celerypond_fleet::{Keepers, Record};
/// use tokio::time::Instant;
///
/// let now = Instant::now();
/// let mut keepers = Keepers::new(1 << 20);
/// let record = Record {
///     request: "r1".into(),
///     progress: Default::default(),
///     keep_ms: 1000,
///     bytes: Box::new([1]),
/// };
/// keepers.keep(record.clone(), now).unwrap();
/// assert_eq!(keepers.kept(&"r1".into(), now), Some(&record));
/// ```
#[derive(Clone, Debug)]
pub struct Keepers {
    limit: usize,
    used: usize,
    held: BTreeMap<RequestKey, Held>,
    expiry: BTreeSet<(Instant, RequestKey)>,
}

/// What a record costs besides its key and content, in bytes.
const RECORD_BYTES: usize = 160;

impl Keepers {
    /// Makes a store of at most `limit` bytes.
    pub const fn new(limit: usize) -> Self {
        Self {
            limit,
            used: 0,
            held: BTreeMap::new(),
            expiry: BTreeSet::new(),
        }
    }

    /// Returns how many records are held.
    pub fn len(&self) -> usize {
        self.held.len()
    }

    /// Returns whether no record is held.
    pub fn is_empty(&self) -> bool {
        self.held.is_empty()
    }

    /// Keeps a record, in place of an earlier one for the same request.
    ///
    /// Messages of two entry instances may arrive in any order. If the last to arrive won, a paused
    /// instance could take a record back to an older attempt, and a take-over would begin from a
    /// place that the caller is already past. The highest progress wins instead.
    ///
    /// # Errors
    ///
    /// Fails with [`KeepersError::Late`] or [`KeepersError::Full`]; the sender goes on without.
    pub fn keep(&mut self, record: Record, now: Instant) -> Result<(), KeepersError> {
        self.expire(now);
        let old = self.held.get(&record.request);
        if old.is_some_and(|old| old.record.progress > record.progress) {
            return Err(KeepersError::Late);
        }
        let freed = old.map_or(0, |old| cost(&old.record));
        if self.used - freed + cost(&record) > self.limit {
            return Err(KeepersError::Full);
        }
        self.remove(&record.request.clone());
        let expires = now + Duration::from_millis(record.keep_ms.into());
        self.used += cost(&record);
        self.expiry.insert((expires, record.request.clone()));
        self.held
            .insert(record.request.clone(), Held { record, expires });
        Ok(())
    }

    /// Returns the record of a request.
    pub fn kept(&mut self, request: &RequestKey, now: Instant) -> Option<&Record> {
        self.expire(now);
        self.held.get(request).map(|held| &held.record)
    }

    /// Drops the record of a request whose answer has ended.
    pub fn remove(&mut self, request: &RequestKey) {
        if let Some(held) = self.held.remove(request) {
            self.used -= cost(&held.record);
            self.expiry.remove(&(held.expires, request.clone()));
        }
    }

    fn expire(&mut self, now: Instant) {
        while let Some((expires, request)) = self.expiry.first() {
            if *expires > now {
                break;
            }
            let request = request.clone();
            self.remove(&request);
        }
    }
}

fn cost(record: &Record) -> usize {
    RECORD_BYTES + 2 * record.request.as_str().len() + record.bytes.len()
}
