//! What one instance knows of a shard's calls.

use std::time::Duration;

use celerypond_platform::Version;
use celerypond_types::{NotRunReason, Outcome};
use rand::rngs::SmallRng;
use tokio::time::Instant;

use crate::{
    batch::{Record, State},
    call_state::Intent,
    callers::{Callers, Late, Pending, Running},
    flight::Flight,
    health::Health,
    log::{Entry, Log},
    stored::Stored,
    Answer, CallKey, Effect, FinishedCall, RequestFingerprint, Settings, UnsentCall, WriterId,
};

/// The size at which a batch is full, in bytes; an object holds a megabyte.
const BATCH_BYTES: usize = 700 << 10;
/// The size of an intent, in bytes, at most.
const INTENT_BYTES: usize = 300;

/// What one instance knows of a shard's calls: the log as read, the ends that are not in it yet, and
/// who waits for what.
#[derive(Debug)]
pub(crate) struct Book {
    pub(crate) settings: Settings,
    pub(crate) writer: WriterId,
    pub(crate) log: Option<Log>,
    pub(crate) callers: Callers,
    pub(crate) health: Health,
    /// Ends that are not in the log yet, oldest first.
    pub(crate) ends: Vec<Record>,
    /// When the first of them came.
    pub(crate) ended: Instant,
    /// How many intents were handed out.
    intents: u64,
}

impl Book {
    pub(crate) fn new(settings: Settings, writer: WriterId, now: Instant) -> Self {
        Self {
            settings,
            writer,
            log: None,
            callers: Callers::default(),
            health: Health::default(),
            ends: Vec::new(),
            ended: now,
            intents: 0,
        }
    }

    pub(crate) fn keys(&self) -> usize {
        self.log.as_ref().map_or(0, Log::keys)
    }

    /// Puts a call where it belongs by what is known of its key.
    ///
    /// `flying` are the calls whose intents are on their way into the log.
    pub(crate) fn admit(&mut self, flying: &mut [Pending], pending: Pending, now: Instant) {
        let callers = &mut self.callers;
        if callers.join_running(&pending) || callers.join(flying, &pending) {
            return;
        }
        let mut queue = std::mem::take(&mut callers.queue);
        let joined = callers.join(&mut queue, &pending);
        callers.queue = queue;
        if !joined {
            self.sort(pending, now);
        }
    }

    fn sort(&mut self, pending: Pending, now: Instant) {
        match self.log.as_ref().and_then(|log| log.entry(pending.key)) {
            None => self.enqueue(pending, now),
            Some(entry) => self.meet(&entry.clone(), pending, now),
        }
    }

    fn meet(&mut self, entry: &Entry, pending: Pending, now: Instant) {
        let callers = &mut self.callers;
        if entry.fingerprint != pending.fingerprint {
            callers.answer(&pending.callers, &Answer::KeyReused);
            return;
        }
        match &entry.state {
            State::Ran(reply) => callers.outcome(&pending.callers, Outcome::Ran(reply.clone())),
            State::Unknown => callers.outcome(&pending.callers, Outcome::Unknown),
            // Only the writer of an intent may send it, and it is not this one: all that can be
            // done is to wait for the result.
            State::Started { .. } => callers.followers.push(pending),
            State::Released => self.enqueue(pending, now),
        }
    }

    fn enqueue(&mut self, pending: Pending, now: Instant) {
        let full = self.callers.queue.len() >= self.settings.max_queued_calls
            || self.keys() >= self.settings.max_keys;
        let callers = &mut self.callers;
        match self.health.wait(now) {
            Some(wait) => callers.refuse(&pending.callers, NotRunReason::StoreDown, wait),
            None if full => {
                let wait = self.settings.min_store_retry_delay;
                callers.refuse(&pending.callers, NotRunReason::Overload, wait);
            }
            None => callers.queue.push(pending),
        }
    }

    /// Looks again at all who wait, after the log or its ends changed.
    pub(crate) fn admit_again(&mut self, flying: &mut [Pending], now: Instant) {
        let queue = std::mem::take(&mut self.callers.queue);
        let followers = std::mem::take(&mut self.callers.followers);
        // No two calls of the queue have the same key, so they need no look at each other, which
        // would take long when many wait.
        for pending in queue {
            self.sort(pending, now);
        }
        for pending in followers {
            self.admit(flying, pending, now);
        }
    }

    /// Tells those who have waited long enough.
    pub(crate) fn expire(&mut self, now: Instant) {
        let wait = self.health.wait(now);
        let reason = wait.map_or(NotRunReason::Overload, |_| NotRunReason::StoreDown);
        let wait = wait.unwrap_or(self.settings.min_store_retry_delay);
        self.callers.expire_queue(reason, wait, now);
        self.callers.give_up(|call| call.send_by <= now);
        let over = |running: &Running| running.until <= now;
        let lost = self
            .callers
            .running
            .extract_if(.., |_, running| over(running));
        for (key, running) in lost.collect::<Vec<_>>() {
            self.callers.outcome(&running.callers, Outcome::Unknown);
            let (fingerprint, state) = (running.fingerprint, State::Unknown);
            let since = now;
            self.callers
                .late
                .insert(running.number, Late { fingerprint, since });
            self.end(
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
            .late
            .retain(|_, late| now < late.since + retention);
    }

    /// Takes an end, which goes into the log with the next batch.
    fn end(&mut self, record: Record, now: Instant) {
        if let Some(log) = &mut self.log {
            log.note(self.writer, &record);
        }
        if self.ends.is_empty() {
            self.ended = now;
        }
        self.ends.push(record);
    }

    /// Takes the outcome of a call that was to be sent.
    ///
    /// An outcome that comes after its callers were told unknown still goes into the log: the process
    /// was paused, and a retry gets the result, or a free key.
    pub(crate) fn finish(&mut self, finished: FinishedCall, now: Instant) {
        let Some(Intent { key, number }) = finished.intent() else {
            return;
        };
        let late = self
            .callers
            .late
            .remove(&number)
            .map(|late| (late.fingerprint, Vec::new()));
        let running = self.callers.running.get(&key);
        let running = match running.filter(|running| running.number == number) {
            Some(_) => self.callers.running.remove(&key),
            None => None,
        };
        let running = running.map(|running| (running.fingerprint, running.callers));
        let Some((fingerprint, callers)) = running.or(late) else {
            return;
        };
        let outcome = finished.outcome();
        let state = match &outcome {
            Outcome::Ran(reply) => State::Ran(reply.truncated_for_storage()),
            Outcome::NotRun { .. } => State::Released,
            Outcome::Unknown => State::Unknown,
        };
        // Nobody else waits for this key: who asked meanwhile joined the call.
        self.callers.outcome(&callers, outcome);
        self.end(
            Record {
                key,
                fingerprint,
                state,
            },
            now,
        );
    }

    /// Lets a call be sent whose intent is in the log.
    pub(crate) fn dispatch(&mut self, call: Pending, now: Instant) {
        let (key, fingerprint) = (call.key, call.fingerprint);
        let Some(id) = call
            .callers
            .first()
            .copied()
            .filter(|_| now <= call.send_by)
        else {
            // The callers gave up, or the process was paused between the write and its reply. The
            // call was not sent, and the record makes the key free for a retry.
            let wait = self.settings.min_store_retry_delay;
            self.callers
                .refuse(&call.callers, NotRunReason::Overload, wait);
            let state = State::Released;
            return self.end(
                Record {
                    key,
                    fingerprint,
                    state,
                },
                now,
            );
        };
        self.intents += 1;
        let number = self.intents;
        let running = Running {
            number,
            fingerprint,
            until: call.send_by + call.service_timeout + self.settings.timeout_margin,
            callers: call.callers,
        };
        self.callers.running.insert(key, running);
        let unsent = UnsentCall::keyed(Intent { key, number }, call.send_by);
        self.callers.effects.push(Effect::Dispatch { id, unsent });
    }

    /// Frees keys whose intents this writer has in the log without knowing them.
    ///
    /// Such an intent was in a write that seemed to have no effect. It was not sent, and only its
    /// writer may say so; left alone it would make the call unknown for good.
    pub(crate) fn release(&mut self, open: Vec<(CallKey, RequestFingerprint)>, now: Instant) {
        for (key, fingerprint) in open {
            if !self.callers.running.contains_key(&key) {
                let state = State::Released;
                self.end(
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

    /// Returns when a batch is due.
    pub(crate) fn write_due(&self) -> Option<Instant> {
        let ends = (!self.ends.is_empty()).then_some(self.ended + self.settings.linger);
        // An intent is due at once, so any time that has passed will do.
        let intents = self.callers.queue.first().map(|_| self.ended);
        intents.into_iter().chain(ends).min()
    }

    /// Makes a batch of the ends and intents that wait.
    pub(crate) fn flight(&mut self, nonce: u64, now: Instant) -> Option<Flight> {
        let log = self.log.as_ref()?;
        let ends = split(&mut self.ends, Record::size);
        let calls = match &self.ends[..] {
            [] => split(&mut self.callers.queue, |_| INTENT_BYTES),
            // An end that frees a key must not come after the next intent of that key.
            [_, ..] => Vec::new(),
        };
        let intents = calls.iter().map(|call| intent(call, &self.settings, now));
        let records = ends.iter().cloned().chain(intents).collect();
        let batch = log.batch(self.writer, nonce, records, now);
        Some(Flight {
            place: log.place(),
            value: batch.encode(),
            batch,
            calls,
            ends,
            doubtful: false,
        })
    }

    /// Takes back what a batch would have written.
    pub(crate) fn put_back(&mut self, mut flight: Flight) {
        flight.ends.append(&mut self.ends);
        self.ends = flight.ends;
        flight.calls.retain(|call| !call.callers.is_empty());
        flight.calls.append(&mut self.callers.queue);
        self.callers.queue = flight.calls;
    }

    /// Adds an own batch, and lets its calls be sent.
    pub(crate) fn won(&mut self, flight: Flight, version: Version, now: Instant) {
        self.health = Health::default();
        let stored = Stored {
            slot: flight.place.slot,
            version,
            batch: flight.batch,
        };
        if let Some(log) = &mut self.log {
            log.apply(&stored, now);
        }
        for call in flight.calls {
            self.dispatch(call, now);
        }
    }

    /// Adds a batch that was not known to be in the log.
    pub(crate) fn apply(&mut self, found: &Stored, now: Instant) {
        let Some(log) = &mut self.log else { return };
        log.apply(found, now);
        if found.batch.writer == self.writer {
            let keys = found.batch.records.iter().map(|record| record.key);
            let open = log.open(self.writer, keys);
            self.release(open, now);
        }
    }

    /// Goes on from a log that was listed.
    pub(crate) fn take_over(&mut self, mut log: Log, now: Instant) {
        for record in &self.ends {
            log.note(self.writer, record);
        }
        let open = log.open(self.writer, log.all());
        self.log = Some(log);
        self.health = Health::default();
        self.release(open, now);
    }

    /// Gives up the intents of other writers that are over, after the log was read to its end.
    pub(crate) fn at_head(&mut self, now: Instant) {
        self.health = Health::default();
        let Some(log) = &self.log else { return };
        let is_over = |call: &Pending| {
            let entry = log.entry(call.key);
            entry.is_none_or(|entry| log.is_over(entry, now))
        };
        self.callers.give_up(|call| is_over(call));
    }

    /// Refuses calls whose intents the store may or may not have, and returns the time to come back.
    pub(crate) fn let_go(&mut self, calls: &mut [Pending], now: Instant) -> Duration {
        let wait = self
            .health
            .wait(now)
            .unwrap_or(self.settings.min_store_retry_delay);
        for call in calls {
            let callers = std::mem::take(&mut call.callers);
            self.callers.refuse(&callers, NotRunReason::StoreDown, wait);
        }
        wait
    }

    pub(crate) fn store_failed(&mut self, rng: &mut SmallRng, now: Instant) {
        self.health = self.health.failed(&self.settings, rng, now);
    }
}

/// Takes from the front of `all` what fits into half a batch.
fn split<T>(all: &mut Vec<T>, size: impl Fn(&T) -> usize) -> Vec<T> {
    let mut bytes = 0;
    let fits = all.iter().take_while(|item| {
        bytes += size(item);
        bytes <= BATCH_BYTES / 2
    });
    let count = fits.count();
    all.drain(..count).collect()
}

fn intent(call: &Pending, settings: &Settings, now: Instant) -> Record {
    let ttl = call.send_by.saturating_duration_since(now)
        + call.service_timeout
        + settings.timeout_margin;
    Record {
        key: call.key,
        fingerprint: call.fingerprint,
        state: State::Started {
            ttl_ms: ttl.as_millis() as u64,
        },
    }
}
