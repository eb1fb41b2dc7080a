//! What one instance knows of the calls of a shard.

use std::time::Duration;

use celerypond_platform::Version;
use celerypond_types::{NotRunReason, Outcome};
use rand::rngs::SmallRng;
use tokio::time::Instant;

use crate::{
    batch::{CallState, Record},
    batch_write::BatchWrite,
    call_state::Intent,
    log::{Entry, Log},
    store_backoff::StoreBackoff,
    stored_batch::StoredBatch,
    waiting_callers::{RunningCall, TimedOutCall, WaitingCall, WaitingCallers},
    Answer, CallKey, Effect, FinishedCall, RequestFingerprint, Settings, UnsentCall, WriterId,
};

/// The maximum size of the records of a batch, in bytes; an object holds a megabyte.
const MAX_BATCH_BYTES: usize = 700 << 10;
/// The maximum size of an intent, in bytes.
const MAX_INTENT_BYTES: usize = 300;

/// What one instance knows of the calls of a shard: the log as read, the results that are not
/// written to it yet, and the waiting callers.
#[derive(Debug)]
pub(crate) struct ShardState {
    pub(crate) settings: Settings,
    pub(crate) writer: WriterId,
    /// `None` until the log was listed for the first time.
    pub(crate) log: Option<Log>,
    pub(crate) callers: WaitingCallers,
    pub(crate) backoff: StoreBackoff,
    /// Results that are not in the log yet, oldest first.
    pub(crate) unwritten_results: Vec<Record>,
    /// When the oldest unwritten result was added.
    pub(crate) oldest_result_at: Instant,
    /// How many calls were handed out to be sent, which numbers their intents.
    intent_count: u64,
}

impl ShardState {
    pub(crate) fn new(settings: Settings, writer: WriterId, now: Instant) -> Self {
        Self {
            settings,
            writer,
            log: None,
            callers: WaitingCallers::default(),
            backoff: StoreBackoff::default(),
            unwritten_results: Vec::new(),
            oldest_result_at: now,
            intent_count: 0,
        }
    }

    pub(crate) fn key_count(&self) -> usize {
        self.log.as_ref().map_or(0, Log::key_count)
    }

    /// Answers, joins or queues a call, depending on the state of its key.
    ///
    /// `in_flight` are the calls whose intents are being written.
    pub(crate) fn admit(&mut self, in_flight: &mut [WaitingCall], call: WaitingCall, now: Instant) {
        let callers = &mut self.callers;
        if callers.join_running(&call) || callers.join_waiting(in_flight, &call) {
            return;
        }
        let mut queue = std::mem::take(&mut callers.queue);
        let joined = callers.join_waiting(&mut queue, &call);
        callers.queue = queue;
        if !joined {
            self.admit_by_log(call, now);
        }
    }

    fn admit_by_log(&mut self, call: WaitingCall, now: Instant) {
        match self.log.as_ref().and_then(|log| log.entry(call.key)) {
            None => self.enqueue(call, now),
            Some(entry) => self.admit_by_entry(&entry.clone(), call, now),
        }
    }

    fn admit_by_entry(&mut self, entry: &Entry, call: WaitingCall, now: Instant) {
        let callers = &mut self.callers;
        if entry.fingerprint != call.fingerprint {
            callers.answer(&call.callers, &Answer::KeyReused);
            return;
        }
        match &entry.state {
            CallState::Ran(response) => {
                callers.answer_outcome(&call.callers, Outcome::Ran(response.clone()))
            }
            CallState::Unknown => callers.answer_outcome(&call.callers, Outcome::Unknown),
            // Only the writer of an intent may send the call, and this instance does not run it, so
            // it can only wait for the result.
            CallState::Started { .. } => callers.awaiting_remote.push(call),
            CallState::Released => self.enqueue(call, now),
        }
    }

    fn enqueue(&mut self, call: WaitingCall, now: Instant) {
        let is_full = self.callers.queue.len() >= self.settings.max_queued_calls
            || self.key_count() >= self.settings.max_keys;
        let callers = &mut self.callers;
        match self.backoff.remaining(now) {
            Some(delay) => callers.answer_not_run(&call.callers, NotRunReason::StoreDown, delay),
            None if is_full => {
                let delay = self.settings.min_store_retry_delay;
                callers.answer_not_run(&call.callers, NotRunReason::Overload, delay);
            }
            None => callers.queue.push(call),
        }
    }

    /// Admits all waiting calls again, after the log or the unwritten results changed.
    pub(crate) fn readmit_waiting(&mut self, in_flight: &mut [WaitingCall], now: Instant) {
        let queue = std::mem::take(&mut self.callers.queue);
        let awaiting_remote = std::mem::take(&mut self.callers.awaiting_remote);
        // No two calls of the queue have the same key, so they need not be compared with each other,
        // which would be slow for a long queue.
        for call in queue {
            self.admit_by_log(call, now);
        }
        for call in awaiting_remote {
            self.admit(in_flight, call, now);
        }
    }

    /// Answers the callers whose deadline has passed.
    pub(crate) fn expire(&mut self, now: Instant) {
        let delay = self.backoff.remaining(now);
        let reason = delay.map_or(NotRunReason::Overload, |_| NotRunReason::StoreDown);
        let delay = delay.unwrap_or(self.settings.min_store_retry_delay);
        self.callers.expire_queue(reason, delay, now);
        self.callers.give_up_remote(|call| call.send_by <= now);
        let is_over = |running: &RunningCall| running.deadline <= now;
        let timed_out = self
            .callers
            .running
            .extract_if(.., |_, running| is_over(running));
        for (key, running) in timed_out.collect::<Vec<_>>() {
            self.callers
                .answer_outcome(&running.callers, Outcome::Unknown);
            let (fingerprint, state) = (running.fingerprint, CallState::Unknown);
            let timed_out_at = now;
            self.callers.timed_out.insert(
                running.intent_number,
                TimedOutCall {
                    fingerprint,
                    timed_out_at,
                },
            );
            self.add_result(
                Record {
                    key,
                    fingerprint,
                    state,
                },
                now,
            );
        }
        let retention = self.settings.retention;
        self.callers
            .timed_out
            .retain(|_, call| now < call.timed_out_at + retention);
    }

    /// Adds a result, which is written with the next batch.
    fn add_result(&mut self, record: Record, now: Instant) {
        if let Some(log) = &mut self.log {
            log.apply_unwritten_result(self.writer, &record);
        }
        if self.unwritten_results.is_empty() {
            self.oldest_result_at = now;
        }
        self.unwritten_results.push(record);
    }

    /// Takes the outcome of a call that was handed out to be sent.
    ///
    /// An outcome that arrives after the callers were told that it is unknown is still recorded. The
    /// process may have been paused, and a retry then gets the result, or can use the key again.
    pub(crate) fn finish(&mut self, finished: FinishedCall, now: Instant) {
        let Some(Intent { key, number }) = finished.intent() else {
            return;
        };
        let timed_out = self
            .callers
            .timed_out
            .remove(&number)
            .map(|call| (call.fingerprint, Vec::new()));
        let running = self.callers.running.get(&key);
        let running = match running.filter(|running| running.intent_number == number) {
            Some(_) => self.callers.running.remove(&key),
            None => None,
        };
        let running = running.map(|running| (running.fingerprint, running.callers));
        let Some((fingerprint, callers)) = running.or(timed_out) else {
            return;
        };
        let outcome = finished.outcome();
        let state = match &outcome {
            Outcome::Ran(response) => CallState::Ran(response.truncated_for_storage()),
            Outcome::NotRun { .. } => CallState::Released,
            Outcome::Unknown => CallState::Unknown,
        };
        // No other caller waits for this key: those that came meanwhile joined the running call.
        self.callers.answer_outcome(&callers, outcome);
        self.add_result(
            Record {
                key,
                fingerprint,
                state,
            },
            now,
        );
    }

    /// Hands out a call whose intent is in the log to be sent.
    pub(crate) fn dispatch(&mut self, call: WaitingCall, now: Instant) {
        let (key, fingerprint) = (call.key, call.fingerprint);
        let Some(id) = call
            .callers
            .first()
            .copied()
            .filter(|_| now <= call.send_by)
        else {
            // The call was abandoned, or the process was paused between the write and its reply.
            // The call was not sent; the record allows a retry to use the key.
            let delay = self.settings.min_store_retry_delay;
            self.callers
                .answer_not_run(&call.callers, NotRunReason::Overload, delay);
            let state = CallState::Released;
            return self.add_result(
                Record {
                    key,
                    fingerprint,
                    state,
                },
                now,
            );
        };
        self.intent_count += 1;
        let number = self.intent_count;
        let running = RunningCall {
            intent_number: number,
            fingerprint,
            deadline: call.send_by + call.service_timeout + self.settings.timeout_margin,
            callers: call.callers,
        };
        self.callers.running.insert(key, running);
        let unsent = UnsentCall::keyed(Intent { key, number }, call.send_by);
        self.callers.effects.push(Effect::Dispatch { id, unsent });
    }

    /// Releases those of this writer's intents in the log whose calls it does not run.
    ///
    /// The write of such an intent seemed to have no effect, so the call was not sent. Only the
    /// writer may release it; otherwise the call would stay unknown until the key expires.
    pub(crate) fn release_unsent(
        &mut self,
        open_intents: Vec<(CallKey, RequestFingerprint)>,
        now: Instant,
    ) {
        for (key, fingerprint) in open_intents {
            if !self.callers.running.contains_key(&key) {
                let state = CallState::Released;
                self.add_result(
                    Record {
                        key,
                        fingerprint,
                        state,
                    },
                    now,
                );
            }
        }
    }

    /// Returns when a batch is due; `None` if there is nothing to write.
    pub(crate) fn write_due_at(&self) -> Option<Instant> {
        let results = (!self.unwritten_results.is_empty())
            .then_some(self.oldest_result_at + self.settings.linger);
        // An intent is due immediately, which any time in the past expresses.
        let intents = self.callers.queue.first().map(|_| self.oldest_result_at);
        intents.into_iter().chain(results).min()
    }

    /// Moves unwritten results and queued calls into a batch; `None` if the log was not listed yet.
    pub(crate) fn prepare_write(&mut self, nonce: u64, now: Instant) -> Option<BatchWrite> {
        let log = self.log.as_ref()?;
        let results = take_half_batch(&mut self.unwritten_results, Record::estimated_size);
        let calls = match &self.unwritten_results[..] {
            [] => take_half_batch(&mut self.callers.queue, |_| MAX_INTENT_BYTES),
            // A record that releases a key must not follow the next intent of that key.
            [_, ..] => Vec::new(),
        };
        let intents = calls
            .iter()
            .map(|call| intent_record(call, &self.settings, now));
        let records = results.iter().cloned().chain(intents).collect();
        let batch = log.next_batch(self.writer, nonce, records, now);
        Some(BatchWrite {
            position: log.append_position(),
            value: batch.encode(),
            batch,
            calls,
            results,
            may_have_taken_effect: false,
        })
    }

    /// Puts the results and calls of a write that did not take effect back into the queues.
    pub(crate) fn requeue(&mut self, mut write: BatchWrite) {
        write.results.append(&mut self.unwritten_results);
        self.unwritten_results = write.results;
        write.calls.retain(|call| !call.callers.is_empty());
        write.calls.append(&mut self.callers.queue);
        self.callers.queue = write.calls;
    }

    /// Adds a batch of this writer to the log and hands out its calls.
    pub(crate) fn commit(&mut self, write: BatchWrite, version: Version, now: Instant) {
        self.backoff = StoreBackoff::default();
        let stored = StoredBatch {
            slot: write.position.slot,
            version,
            batch: write.batch,
        };
        if let Some(log) = &mut self.log {
            log.apply(&stored, now);
        }
        for call in write.calls {
            self.dispatch(call, now);
        }
    }

    /// Adds a batch that a read has found. It can be of this writer, if its write seemed to have no
    /// effect.
    pub(crate) fn apply_found(&mut self, found: &StoredBatch, now: Instant) {
        let Some(log) = &mut self.log else { return };
        log.apply(found, now);
        if found.batch.writer == self.writer {
            let keys = found.batch.records.iter().map(|record| record.key);
            let open = log.open_intents(self.writer, keys);
            self.release_unsent(open, now);
        }
    }

    /// Replaces the log by one that was listed.
    pub(crate) fn replace_log(&mut self, mut log: Log, now: Instant) {
        for record in &self.unwritten_results {
            log.apply_unwritten_result(self.writer, record);
        }
        let open = log.open_intents(self.writer, log.recorded_keys());
        self.log = Some(log);
        self.backoff = StoreBackoff::default();
        self.release_unsent(open, now);
    }

    /// Stops waiting for the calls of other instances that are over, after the log was read to its
    /// end.
    pub(crate) fn end_of_log_reached(&mut self, now: Instant) {
        self.backoff = StoreBackoff::default();
        let Some(log) = &self.log else { return };
        let is_over = |call: &WaitingCall| {
            let entry = log.entry(call.key);
            entry.is_none_or(|entry| log.is_over(entry, now))
        };
        self.callers.give_up_remote(|call| is_over(call));
    }

    /// Answers the callers of calls whose intents may or may not be in the store, and returns the
    /// delay until the store is asked again.
    pub(crate) fn abandon(&mut self, calls: &mut [WaitingCall], now: Instant) -> Duration {
        let delay = self
            .backoff
            .remaining(now)
            .unwrap_or(self.settings.min_store_retry_delay);
        for call in calls {
            let callers = std::mem::take(&mut call.callers);
            self.callers
                .answer_not_run(&callers, NotRunReason::StoreDown, delay);
        }
        delay
    }

    pub(crate) fn store_failed(&mut self, rng: &mut SmallRng, now: Instant) {
        self.backoff = self.backoff.after_failure(&self.settings, rng, now);
    }
}

/// Takes as many items from the front as fit into half a batch.
fn take_half_batch<T>(items: &mut Vec<T>, size: impl Fn(&T) -> usize) -> Vec<T> {
    let mut bytes = 0;
    let fitting = items.iter().take_while(|item| {
        bytes += size(item);
        bytes <= MAX_BATCH_BYTES / 2
    });
    let count = fitting.count();
    items.drain(..count).collect()
}

fn intent_record(call: &WaitingCall, settings: &Settings, now: Instant) -> Record {
    let ttl = call.send_by.saturating_duration_since(now)
        + call.service_timeout
        + settings.timeout_margin;
    Record {
        key: call.key,
        fingerprint: call.fingerprint,
        state: CallState::Started {
            ttl_ms: ttl.as_millis() as u64,
        },
    }
}
