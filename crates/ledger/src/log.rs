//! What is known of a shard's log.

use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    time::Duration,
};

use celerypond_platform::Version;
use thiserror::Error;
use tokio::time::Instant;

use crate::{
    batch::{Batch, Record, State},
    stored::{Place, Stored},
    CallKey, RequestFingerprint, SequenceNumber, Slot, WriterId,
};

/// The log of a shard as far as it was read, and the keys it remembers.
///
/// The log is a chain: each batch names the slot that takes the next one, either a new slot or that
/// of the oldest batch once its records have expired. A write names the version that the slot had,
/// and versions of the store never repeat, so a writer with an old view of the log can't append.
///
/// Objects are never deleted. With create-if-absent at `<sequence>` and deletion of old objects, a
/// writer that was paused for long finds its place free again, appends where others have long been,
/// and runs a call for the second time.
#[derive(Debug)]
pub(crate) struct Log {
    retention: Duration,
    entries: HashMap<CallKey, Entry>,
    batches: VecDeque<Applied>,
    /// How many slots there are.
    slots: u32,
    /// The version of the slot that takes the next batch; `None` when there is no such object.
    before: Option<Version>,
    seen: Instant,
}

/// What is known of one key.
#[derive(Clone, Debug)]
pub(crate) struct Entry {
    pub(crate) fingerprint: RequestFingerprint,
    pub(crate) state: State,
    pub(crate) writer: WriterId,
    sequence: SequenceNumber,
    at: Duration,
}

#[derive(Debug)]
struct Applied {
    sequence: SequenceNumber,
    slot: Slot,
    version: Version,
    next: Slot,
    /// Time since the start of the log, at least.
    at: Duration,
    keys: Box<[CallKey]>,
}

/// A list of objects that does not hold a whole log, as batches were written meanwhile.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
#[error("the list has a gap")]
pub(crate) struct Gap;

impl Log {
    pub(crate) fn new(retention: Duration, now: Instant) -> Self {
        Self {
            retention,
            entries: HashMap::new(),
            batches: VecDeque::new(),
            slots: 0,
            before: None,
            seen: now,
        }
    }

    /// Builds the log from a list of its objects.
    ///
    /// The list may be read in pages while others write, so the newest batch counts whose
    /// predecessors are all there; later ones are read when a write or a poll finds them.
    pub(crate) fn load(
        retention: Duration,
        objects: Vec<Stored>,
        now: Instant,
    ) -> Result<Self, Gap> {
        let mut log = Self::new(retention, now);
        let slots: BTreeMap<_, _> = objects.iter().map(|o| (o.slot, o.clone())).collect();
        let batches: BTreeMap<_, _> = objects
            .into_iter()
            .map(|object| (object.batch.sequence, object))
            .collect();
        let Some(last) = batches.values().rev().find(|last| whole(&batches, last)) else {
            return batches.is_empty().then_some(log).ok_or(Gap);
        };
        for object in batches
            .range(last.batch.first..=last.batch.sequence)
            .map(|(_, object)| object)
        {
            log.apply(object, now);
        }
        let next = slots.get(&last.batch.next);
        // A write over a batch that is newer than the log as read would take it out of the log.
        if next.is_some_and(|next| next.batch.sequence >= last.batch.first) {
            return Err(Gap);
        }
        log.before = next.map(|next| next.version);
        log.slots = log.slots.max(slots.len() as u32);
        Ok(log)
    }

    pub(crate) fn entry(&self, key: CallKey) -> Option<&Entry> {
        self.entries.get(&key)
    }

    pub(crate) fn keys(&self) -> usize {
        self.entries.len()
    }

    pub(crate) fn slots(&self) -> u32 {
        self.slots
    }

    /// Returns all keys, those of older batches first; a key can come more than once.
    pub(crate) fn all(&self) -> impl Iterator<Item = CallKey> {
        let keys = self.batches.iter().flat_map(|batch| &batch.keys);
        keys.copied()
    }

    /// Returns which of the keys have an intent of `writer` without an end.
    pub(crate) fn open(
        &self,
        writer: WriterId,
        keys: impl Iterator<Item = CallKey>,
    ) -> Vec<(CallKey, RequestFingerprint)> {
        let entries = keys.filter_map(|key| Some((key, self.entry(key)?)));
        let open = entries.filter(|(_, entry)| {
            entry.writer == writer && matches!(entry.state, State::Started { .. })
        });
        open.map(|(key, entry)| (key, entry.fingerprint)).collect()
    }

    /// Returns whether the writer of the intent has sent it and heard of it, or given up.
    pub(crate) fn is_over(&self, entry: &Entry, now: Instant) -> bool {
        match entry.state {
            State::Started { ttl_ms } => self.age(entry.at, now) >= Duration::from_millis(ttl_ms),
            State::Ran(_) | State::Unknown | State::Released => true,
        }
    }

    /// Notes an end by `writer` that is not in the log yet.
    pub(crate) fn note(&mut self, writer: WriterId, record: &Record) {
        let entry = self.entries.get_mut(&record.key);
        let Some(entry) = entry.filter(|entry| entry.writer == writer) else {
            return;
        };
        entry.state = record.state.clone();
        if record.state == State::Released {
            self.entries.remove(&record.key);
        }
    }

    pub(crate) fn place(&self) -> Place {
        self.batches.back().map_or(
            Place {
                sequence: SequenceNumber(0),
                slot: Slot(0),
                before: None,
            },
            |last| Place {
                sequence: SequenceNumber(last.sequence.0 + 1),
                slot: last.next,
                before: self.before,
            },
        )
    }

    /// Makes the batch that goes to the next place.
    pub(crate) fn batch(
        &self,
        writer: WriterId,
        nonce: u64,
        records: Vec<Record>,
        now: Instant,
    ) -> Batch {
        let place = self.place();
        let oldest = self.batches.front();
        let expired = oldest.filter(|oldest| self.age(oldest.at, now) >= self.retention);
        let first = oldest.map_or(place.sequence, |oldest| oldest.sequence);
        let fresh = Slot(self.slots.max(place.slot.0 + 1));
        Batch {
            sequence: place.sequence,
            first: SequenceNumber(first.0 + u64::from(expired.is_some())),
            next: expired.map_or(fresh, |oldest| oldest.slot),
            writer,
            nonce,
            gap_ms: oldest.map_or(0, |_| self.known(now).as_millis() as u64),
            records,
        }
    }

    /// Adds a batch that is in the store at the next place.
    pub(crate) fn apply(&mut self, stored: &Stored, now: Instant) {
        let batch = &stored.batch;
        let at = self.end() + batch.gap();
        for record in &batch.records {
            self.record(record, batch, at);
        }
        self.batches.push_back(Applied {
            sequence: batch.sequence,
            slot: stored.slot,
            version: stored.version,
            next: batch.next,
            at,
            keys: batch.records.iter().map(|record| record.key).collect(),
        });
        self.slots = self.slots.max(stored.slot.0 + 1);
        self.seen = now;
        self.before = None;
        while let Some(old) = self.batches.pop_front_if(|old| old.sequence < batch.first) {
            self.forget(&old);
            if old.slot == batch.next {
                self.before = Some(old.version);
            }
        }
    }

    fn record(&mut self, record: &Record, batch: &Batch, at: Duration) {
        let known = self.entry(record.key).map(|entry| entry.writer);
        let is_start = matches!(record.state, State::Started { .. });
        // An end counts for the intent of its own writer only. One that waited through an outage
        // longer than keys are remembered would else free the key of a later call that runs.
        if !is_start && known.is_some_and(|writer| writer != batch.writer) {
            return;
        }
        if record.state == State::Released {
            self.entries.remove(&record.key);
            return;
        }
        let entry = Entry {
            fingerprint: record.fingerprint,
            state: record.state.clone(),
            writer: batch.writer,
            sequence: batch.sequence,
            at,
        };
        self.entries.insert(record.key, entry);
    }

    fn forget(&mut self, old: &Applied) {
        for key in &old.keys {
            if self.entry(*key).is_some_and(|e| e.sequence == old.sequence) {
                self.entries.remove(key);
            }
        }
    }

    /// Returns the age of a record, or less.
    fn age(&self, at: Duration, now: Instant) -> Duration {
        (self.end() + self.known(now)).saturating_sub(at)
    }

    fn end(&self) -> Duration {
        self.batches.back().map_or(Duration::ZERO, |last| last.at)
    }

    fn known(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.seen)
    }
}

fn whole(batches: &BTreeMap<SequenceNumber, Stored>, last: &Stored) -> bool {
    let (first, end) = (last.batch.first, last.batch.sequence);
    first <= end && batches.range(first..=end).count() as u64 == end.0 - first.0 + 1
}
