//! The log of a shard, as far as this instance has read it.

use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    time::Duration,
};

use celerypond_platform::Version;
use thiserror::Error;
use tokio::time::Instant;

use crate::{
    batch::{Batch, CallState, Record},
    stored_batch::{AppendPosition, StoredBatch},
    CallKey, RequestFingerprint, SequenceNumber, Slot, WriterId,
};

/// The log of a shard as far as it was read, and the keys that it remembers.
///
/// The log is a chain: each batch names the slot of the next one, which is either a new slot or that
/// of the oldest batch if its records have expired. A write is conditional on the version of the
/// slot, and the store never reuses versions, so a writer with an outdated view of the log can't
/// append to it.
///
/// Objects are never deleted. If batches were created at `<sequence>` on the condition that there is
/// no object, and old objects were deleted, a writer that was paused for long would find its
/// position free again, append in the middle of the log, and run a call a second time.
#[derive(Debug)]
pub(crate) struct Log {
    retention: Duration,
    entries: HashMap<CallKey, Entry>,
    batches: VecDeque<AppliedBatch>,
    slot_count: u32,
    /// The version of the slot that takes the next batch; `None` if the object does not exist.
    next_slot_version: Option<Version>,
    last_applied_at: Instant,
}

/// The state of one key.
#[derive(Clone, Debug)]
pub(crate) struct Entry {
    pub(crate) fingerprint: RequestFingerprint,
    pub(crate) state: CallState,
    pub(crate) writer: WriterId,
    sequence: SequenceNumber,
    /// The log time of the batch with the record; see [`AppliedBatch::log_time`].
    log_time: Duration,
}

#[derive(Debug)]
struct AppliedBatch {
    sequence: SequenceNumber,
    slot: Slot,
    version: Version,
    next_slot: Slot,
    /// A lower bound of the time from the start of the log to this batch.
    log_time: Duration,
    keys: Box<[CallKey]>,
}

/// The error for a list of objects that does not contain a complete log, as batches were written
/// while it was read.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
#[error("batches were written while the log was listed")]
pub(crate) struct IncompleteList;

impl Log {
    pub(crate) fn new(retention: Duration, now: Instant) -> Self {
        Self {
            retention,
            entries: HashMap::new(),
            batches: VecDeque::new(),
            slot_count: 0,
            next_slot_version: None,
            last_applied_at: now,
        }
    }

    /// Builds the log from a list of its objects.
    ///
    /// The list may be read in pages while others write. The log therefore ends with the newest
    /// batch whose predecessors are all in the list; later batches are read when a write or a poll
    /// finds them.
    pub(crate) fn from_list(
        retention: Duration,
        objects: Vec<StoredBatch>,
        now: Instant,
    ) -> Result<Self, IncompleteList> {
        let mut log = Self::new(retention, now);
        let slots: BTreeMap<_, _> = objects.iter().map(|o| (o.slot, o.clone())).collect();
        let batches: BTreeMap<_, _> = objects
            .into_iter()
            .map(|object| (object.batch.sequence, object))
            .collect();
        let Some(last) = batches
            .values()
            .rev()
            .find(|last| has_all_predecessors(&batches, last))
        else {
            return batches.is_empty().then_some(log).ok_or(IncompleteList);
        };
        for object in batches
            .range(last.batch.oldest..=last.batch.sequence)
            .map(|(_, object)| object)
        {
            log.apply(object, now);
        }
        let next = slots.get(&last.batch.next_slot);
        // Overwriting a batch that is newer than the log as read would remove it from the log.
        if next.is_some_and(|next| next.batch.sequence >= last.batch.oldest) {
            return Err(IncompleteList);
        }
        log.next_slot_version = next.map(|next| next.version);
        log.slot_count = log.slot_count.max(slots.len() as u32);
        Ok(log)
    }

    pub(crate) fn entry(&self, key: CallKey) -> Option<&Entry> {
        self.entries.get(&key)
    }

    pub(crate) fn key_count(&self) -> usize {
        self.entries.len()
    }

    pub(crate) fn slot_count(&self) -> u32 {
        self.slot_count
    }

    /// Returns the keys of all records, those of older batches first. A key can occur repeatedly.
    pub(crate) fn recorded_keys(&self) -> impl Iterator<Item = CallKey> {
        let keys = self.batches.iter().flat_map(|batch| &batch.keys);
        keys.copied()
    }

    /// Returns those of the keys that have an intent of `writer` without a result.
    pub(crate) fn open_intents(
        &self,
        writer: WriterId,
        keys: impl Iterator<Item = CallKey>,
    ) -> Vec<(CallKey, RequestFingerprint)> {
        let entries = keys.filter_map(|key| Some((key, self.entry(key)?)));
        let open = entries.filter(|(_, entry)| {
            entry.writer == writer && matches!(entry.state, CallState::Started { .. })
        });
        open.map(|(key, entry)| (key, entry.fingerprint)).collect()
    }

    /// Returns whether the call has a result or its intent has expired, by when its writer has
    /// either got the result or given up.
    pub(crate) fn is_over(&self, entry: &Entry, now: Instant) -> bool {
        match entry.state {
            CallState::Started { ttl_ms } => {
                self.min_age(entry.log_time, now) >= Duration::from_millis(ttl_ms)
            }
            CallState::Ran(_) | CallState::Unknown | CallState::Released => true,
        }
    }

    /// Applies a result of `writer` that is not in the log yet to the entry of its key.
    pub(crate) fn apply_unwritten_result(&mut self, writer: WriterId, record: &Record) {
        let entry = self.entries.get_mut(&record.key);
        let Some(entry) = entry.filter(|entry| entry.writer == writer) else {
            return;
        };
        entry.state = record.state.clone();
        if record.state == CallState::Released {
            self.entries.remove(&record.key);
        }
    }

    pub(crate) fn append_position(&self) -> AppendPosition {
        self.batches.back().map_or(
            AppendPosition {
                sequence: SequenceNumber(0),
                slot: Slot(0),
                expected_version: None,
            },
            |last| AppendPosition {
                sequence: SequenceNumber(last.sequence.0 + 1),
                slot: last.next_slot,
                expected_version: self.next_slot_version,
            },
        )
    }

    /// Creates the batch for the next position.
    pub(crate) fn next_batch(
        &self,
        writer: WriterId,
        nonce: u64,
        records: Vec<Record>,
        now: Instant,
    ) -> Batch {
        let position = self.append_position();
        let oldest = self.batches.front();
        let expired = oldest.filter(|oldest| self.min_age(oldest.log_time, now) >= self.retention);
        let oldest_sequence = oldest.map_or(position.sequence, |oldest| oldest.sequence);
        let new_slot = Slot(self.slot_count.max(position.slot.0 + 1));
        Batch {
            sequence: position.sequence,
            oldest: SequenceNumber(oldest_sequence.0 + u64::from(expired.is_some())),
            next_slot: expired.map_or(new_slot, |oldest| oldest.slot),
            writer,
            nonce,
            since_previous_ms: oldest
                .map_or(0, |_| self.since_last_applied(now).as_millis() as u64),
            records,
        }
    }

    /// Adds the batch that the store has at the next position.
    pub(crate) fn apply(&mut self, stored: &StoredBatch, now: Instant) {
        let batch = &stored.batch;
        let log_time = self.last_log_time() + batch.since_previous();
        for record in &batch.records {
            self.apply_record(record, batch, log_time);
        }
        self.batches.push_back(AppliedBatch {
            sequence: batch.sequence,
            slot: stored.slot,
            version: stored.version,
            next_slot: batch.next_slot,
            log_time,
            keys: batch.records.iter().map(|record| record.key).collect(),
        });
        self.slot_count = self.slot_count.max(stored.slot.0 + 1);
        self.last_applied_at = now;
        self.next_slot_version = None;
        while let Some(old) = self.batches.pop_front_if(|old| old.sequence < batch.oldest) {
            self.forget_keys(&old);
            if old.slot == batch.next_slot {
                self.next_slot_version = Some(old.version);
            }
        }
    }

    fn apply_record(&mut self, record: &Record, batch: &Batch, log_time: Duration) {
        let intent_writer = self.entry(record.key).map(|entry| entry.writer);
        let is_intent = matches!(record.state, CallState::Started { .. });
        // A result applies only to an intent of its own writer. Otherwise a result that was delayed
        // by an outage longer than the retention could free the key of a later call that runs.
        if !is_intent && intent_writer.is_some_and(|writer| writer != batch.writer) {
            return;
        }
        if record.state == CallState::Released {
            self.entries.remove(&record.key);
            return;
        }
        let entry = Entry {
            fingerprint: record.fingerprint,
            state: record.state.clone(),
            writer: batch.writer,
            sequence: batch.sequence,
            log_time,
        };
        self.entries.insert(record.key, entry);
    }

    fn forget_keys(&mut self, old: &AppliedBatch) {
        for key in &old.keys {
            if self.entry(*key).is_some_and(|e| e.sequence == old.sequence) {
                self.entries.remove(key);
            }
        }
    }

    /// Returns a lower bound of the age of a record.
    fn min_age(&self, log_time: Duration, now: Instant) -> Duration {
        (self.last_log_time() + self.since_last_applied(now)).saturating_sub(log_time)
    }

    fn last_log_time(&self) -> Duration {
        self.batches
            .back()
            .map_or(Duration::ZERO, |last| last.log_time)
    }

    fn since_last_applied(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.last_applied_at)
    }
}

fn has_all_predecessors(
    batches: &BTreeMap<SequenceNumber, StoredBatch>,
    last: &StoredBatch,
) -> bool {
    let (oldest, end) = (last.batch.oldest, last.batch.sequence);
    oldest <= end && batches.range(oldest..=end).count() as u64 == end.0 - oldest.0 + 1
}
