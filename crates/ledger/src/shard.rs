//! One shard of the ledger.

use std::time::Duration;

use celerypond_platform::{Object, Version};
use celerypond_types::{NotRunReason, Outcome};
use rand::{rngs::SmallRng, Rng as _, SeedableRng as _};
use smol_str::{format_smolstr, SmolStr};
use tokio::time::Instant;

use crate::{
    batch::{Batch, Record, State},
    callers::{Callers, Pending, Running},
    flight::{Flight, Step},
    health::Health,
    log::{Entry, Log, Stored},
    Answer, BatchError, BodyTag, Call, CallKey, Effect, Finished, ListReply, ReadReply, Settings,
    Slot, Unsent, WriteReply, WriterId,
};

/// The size at which a batch is full, in bytes; an object holds a megabyte.
const BATCH_BYTES: usize = 700 << 10;

/// The size of an intent, in bytes, at most.
const INTENT_BYTES: usize = 300;

/// How many batches are read one by one before the log is listed instead.
const CATCH_UP: u32 = 16;

/// The ordinal of a shard.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ShardNumber(pub u16);

/// One shard of the ledger, as one instance sees it.
///
/// Any number of instances may run the same shard at once. An intent counts once a write under a
/// condition has put it into the log, so one instance at most gets to send the call of a key. That
/// one instance gets most calls of a shard only makes it faster.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// use celerypond_ledger::{BodyTag, Call, CallId, CallKey, Effect, ListReply};
/// use celerypond_ledger::{Settings, Shard, ShardNumber, WriteReply};
/// use celerypond_platform::Version;
/// use tokio::time::Instant;
///
/// let now = Instant::now();
/// let mut shard = Shard::new(ShardNumber(0), Settings::default(), 7, now);
/// let call = Call {
///     id: CallId(1),
///     key: CallKey::of(&"holding".into(), &"hold-17".into()),
///     body: BodyTag::of("POST", "/holds", b"{}"),
///     by: now + Duration::from_secs(2),
///     run: Duration::from_secs(5),
/// };
/// assert!(matches!(shard.call(call, now)[..], [Effect::List { .. }]));
/// let effects = shard.listed(ListReply::Listed(Vec::new()), now);
/// assert!(matches!(effects[..], [Effect::Create { .. }]));
/// let effects = shard.written(WriteReply::Written(Version(1)), now);
/// assert!(matches!(effects[..], [Effect::Dispatch { id: CallId(1), .. }]));
/// ```
#[derive(Debug)]
pub struct Shard {
    number: ShardNumber,
    settings: Settings,
    writer: WriterId,
    rng: SmallRng,
    log: Option<Log>,
    step: Step,
    callers: Callers,
    health: Health,
    /// Ends that are not in the log yet, oldest first, and when the first one came.
    ends: Vec<Record>,
    ended: Instant,
    next_write: Instant,
    /// No call of the store before this time.
    hold: Instant,
    poll_at: Instant,
    poll_wait: Duration,
    /// Whether the log must be listed again.
    reload: bool,
    /// How many batches of others were read since the log was known to its end; 0 if it is.
    behind: u32,
}

impl Shard {
    /// Makes a shard that knows nothing yet. The seed must differ between processes, also between
    /// two runs of one instance, as the identity of the writer comes from it.
    pub fn new(number: ShardNumber, settings: Settings, seed: u64, now: Instant) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        Self {
            number,
            settings,
            writer: WriterId(rng.random()),
            rng,
            log: None,
            step: Step::Idle,
            callers: Callers::default(),
            health: Health::default(),
            ends: Vec::new(),
            ended: now,
            next_write: now,
            hold: now,
            poll_at: now,
            poll_wait: settings.poll,
            reload: true,
            behind: 0,
        }
    }

    /// Takes a call that arrives.
    pub fn call(&mut self, call: Call, now: Instant) -> Vec<Effect> {
        self.admit(call.into(), now);
        self.poll_wait = self.settings.poll;
        self.poll_at = self.poll_at.min(now + self.poll_wait);
        self.advance(now)
    }

    /// Takes the outcome of a call that was to be sent.
    pub fn finish(&mut self, finished: Finished, now: Instant) -> Vec<Effect> {
        let running = finished
            .key()
            .map(|key| (key, self.callers.running.remove(&key)));
        if let Some((key, Some(running))) = running {
            let outcome = finished.outcome();
            let state = match &outcome {
                Outcome::Ran(reply) => State::Ran(reply.kept()),
                Outcome::NotRun { .. } => State::Released,
                Outcome::Unknown => State::Unknown,
            };
            self.callers.outcome(&running.callers, outcome);
            let body = running.body;
            self.end(Record { key, body, state }, now);
            self.admit_again(now);
        }
        self.advance(now)
    }

    /// Takes the reply to a list.
    pub fn listed(&mut self, reply: ListReply, now: Instant) -> Vec<Effect> {
        if matches!(self.step, Step::Loading) {
            self.step = Step::Idle;
            match reply {
                ListReply::Listed(objects) => self.load(&objects, now),
                ListReply::Failed => self.store_failed(now),
            }
        }
        self.advance(now)
    }

    /// Takes the reply to a get.
    pub fn read(&mut self, reply: ReadReply, now: Instant) -> Vec<Effect> {
        match std::mem::take(&mut self.step) {
            Step::Polling => self.polled(reply, now),
            Step::Checking(flight) => self.checked(flight, reply, now),
            other => self.step = other,
        }
        self.advance(now)
    }

    /// Takes the reply to a create or update.
    pub fn written(&mut self, reply: WriteReply, now: Instant) -> Vec<Effect> {
        match std::mem::take(&mut self.step) {
            Step::Writing(flight) => self.wrote(flight, reply, now),
            other => self.step = other,
        }
        self.advance(now)
    }

    /// Does what is due; to be called at [`Shard::wake_at`].
    pub fn tick(&mut self, now: Instant) -> Vec<Effect> {
        self.advance(now)
    }

    /// Returns when [`Shard::tick`] is due.
    pub fn wake_at(&self) -> Option<Instant> {
        let open = self.hold.max(self.health.until().unwrap_or(self.hold));
        let store = match &self.step {
            Step::Idle => self.next_call().map(|at| at.max(open)),
            Step::Uncertain(_, at) => Some(*at),
            Step::Loading | Step::Polling | Step::Writing(_) | Step::Checking(_) => None,
        };
        store.into_iter().chain(self.callers.first_end()).min()
    }

    /// Returns whether nobody waits and nothing is left to write, so the shard may be dropped.
    pub fn is_idle(&self) -> bool {
        self.callers.first_end().is_none()
            && self.ends.is_empty()
            && matches!(self.step, Step::Idle)
    }

    /// Returns how many keys are remembered.
    pub fn keys(&self) -> usize {
        self.log.as_ref().map_or(0, Log::keys)
    }

    /// Returns how many objects the shard has.
    pub fn slots(&self) -> u32 {
        self.log.as_ref().map_or(0, Log::slots)
    }

    fn advance(&mut self, now: Instant) -> Vec<Effect> {
        self.expire(now);
        self.pump(now);
        std::mem::take(&mut self.callers.effects)
    }

    /// Puts a call where it belongs by what is known of its key.
    fn admit(&mut self, pending: Pending, now: Instant) {
        let callers = &mut self.callers;
        if callers.join_running(&pending) || callers.join(self.step.calls(), &pending) {
            return;
        }
        let mut queue = std::mem::take(&mut callers.queue);
        let joined = callers.join(&mut queue, &pending);
        callers.queue = queue;
        if joined {
            return;
        }
        match self.log.as_ref().and_then(|log| log.entry(pending.key)) {
            None => self.enqueue(pending, now),
            Some(entry) => self.meet(&entry.clone(), pending, now),
        }
    }

    fn meet(&mut self, entry: &Entry, pending: Pending, now: Instant) {
        let callers = &mut self.callers;
        if entry.body != pending.body {
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
        let full =
            self.callers.queue.len() >= self.settings.queue || self.keys() >= self.settings.keys;
        let callers = &mut self.callers;
        match self.health.wait(now) {
            Some(wait) => callers.refuse(&pending.callers, NotRunReason::StoreDown, wait),
            None if full => {
                let wait = self.settings.retry;
                callers.refuse(&pending.callers, NotRunReason::Overload, wait);
            }
            None => callers.queue.push(pending),
        }
    }

    /// Looks again at all who wait, after the log or its ends changed.
    fn admit_again(&mut self, now: Instant) {
        let callers = &mut self.callers;
        let mut waiting = std::mem::take(&mut callers.queue);
        waiting.append(&mut callers.followers);
        for pending in waiting {
            self.admit(pending, now);
        }
    }

    fn expire(&mut self, now: Instant) {
        let wait = self.health.wait(now);
        let reason = wait.map_or(NotRunReason::Overload, |_| NotRunReason::StoreDown);
        let wait = wait.unwrap_or(self.settings.retry);
        self.callers.expire_queue(reason, wait, now);
        self.callers.give_up(|call| call.by <= now);
        let over = |running: &Running| running.until <= now;
        let lost = self
            .callers
            .running
            .extract_if(.., |_, running| over(running));
        for (key, running) in lost.collect::<Vec<_>>() {
            self.callers.outcome(&running.callers, Outcome::Unknown);
            let (body, state) = (running.body, State::Unknown);
            self.end(Record { key, body, state }, now);
        }
    }

    fn end(&mut self, record: Record, now: Instant) {
        if let Some(log) = &mut self.log {
            log.note(self.writer, &record);
        }
        if self.ends.is_empty() {
            self.ended = now;
        }
        self.ends.push(record);
    }

    /// Starts the next call of the store if one is due.
    fn pump(&mut self, now: Instant) {
        if let Step::Uncertain(_, at) = self.step {
            if at <= now {
                self.write_again();
            }
            return;
        }
        let closed = now < self.hold || self.health.wait(now).is_some();
        let due = self.next_call().is_some_and(|at| at <= now);
        if closed || !due || !matches!(self.step, Step::Idle) {
            return;
        }
        if self.reload {
            self.step = Step::Loading;
            let prefix = self.prefix();
            self.callers.effects.push(Effect::List { prefix });
        } else if self.behind == 0 && self.write_due().is_some_and(|at| at <= now) {
            self.write(now);
        } else {
            self.step = Step::Polling;
            self.get_next();
        }
    }

    /// Returns when a call of the store is due.
    fn next_call(&self) -> Option<Instant> {
        let polls = self.behind > 0 || !self.callers.followers.is_empty();
        let poll = polls.then_some(self.poll_at);
        self.write_due().into_iter().chain(poll).min()
    }

    fn write_due(&self) -> Option<Instant> {
        let intents = (!self.callers.queue.is_empty()).then_some(self.next_write);
        let ends = (!self.ends.is_empty()).then_some(self.ended + self.settings.linger);
        let ends = ends.map(|at| at.max(self.next_write));
        intents.into_iter().chain(ends).min()
    }

    fn write(&mut self, now: Instant) {
        let Some(log) = &self.log else { return };
        let ends: Vec<_> = split(&mut self.ends, Record::size);
        let calls = match &self.ends[..] {
            [] => split(&mut self.callers.queue, |_| INTENT_BYTES),
            // An end that frees a key must not come after the next intent of that key.
            [_, ..] => Vec::new(),
        };
        let intents = calls.iter().map(|call| intent(call, &self.settings, now));
        let records = ends.iter().cloned().chain(intents).collect();
        let batch = log.batch(self.writer, self.rng.random(), records, now);
        let flight = Flight {
            place: log.place(),
            value: batch.encode(),
            batch,
            calls,
            ends,
            doubtful: false,
        };
        self.next_write = now + self.settings.pace;
        self.send(flight);
    }

    fn send(&mut self, flight: Flight) {
        let key = self.slot_key(flight.place.slot);
        self.callers.effects.push(flight.write(key));
        self.step = Step::Writing(flight);
    }

    fn write_again(&mut self) {
        match std::mem::take(&mut self.step) {
            Step::Uncertain(flight, _) => self.send(flight),
            other => self.step = other,
        }
    }

    fn wrote(&mut self, mut flight: Flight, reply: WriteReply, now: Instant) {
        match reply {
            WriteReply::Written(version) => self.won(flight, version, now),
            WriteReply::Conflict => self.check(flight),
            WriteReply::Ambiguous => {
                flight.doubtful = true;
                self.check(flight);
            }
            WriteReply::Down => self.stuck(flight, now),
            WriteReply::Later { retry_after } if flight.doubtful => {
                self.step = Step::Uncertain(flight, now + retry_after);
            }
            WriteReply::Later { retry_after } => {
                self.next_write = now + retry_after;
                self.put_back(flight, now);
            }
        }
    }

    /// Reads the place of the batch, to learn which batch is there.
    fn check(&mut self, flight: Flight) {
        let key = self.slot_key(flight.place.slot);
        self.callers.effects.push(Effect::Get { key });
        self.step = Step::Checking(flight);
    }

    fn checked(&mut self, flight: Flight, reply: ReadReply, now: Instant) {
        let found = match reply {
            ReadReply::Failed => return self.stuck(flight, now),
            ReadReply::Missing => None,
            ReadReply::Found(object) => match stored(flight.place.slot, &object) {
                Ok(found) => Some(found),
                Err(error) => return self.broken(flight, error, now),
            },
        };
        let sequence = flight.place.sequence;
        match found {
            Some(found) if found.batch.is(&flight.batch) => self.won(flight, found.version, now),
            Some(found) if found.batch.sequence == sequence => {
                self.put_back(flight, now);
                self.follow(&found, now);
            }
            // The place was used again since, so this instance was paused for long.
            Some(found) if found.batch.sequence > sequence => {
                self.reload = true;
                self.put_back(flight, now);
            }
            // The write has not taken effect and still may, or an old value was read.
            Some(_) | None => self.step = Step::Uncertain(flight, now + self.settings.poll),
        }
    }

    /// Sends the calls whose intents are in the log.
    fn won(&mut self, flight: Flight, version: Version, now: Instant) {
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
        self.admit_again(now);
    }

    fn dispatch(&mut self, call: Pending, now: Instant) {
        let (key, body) = (call.key, call.body);
        let Some(id) = call.callers.first().copied().filter(|_| now <= call.by) else {
            // The callers gave up, or the process was paused between the write and its reply. The
            // call was not sent, and the record makes the key free for a retry.
            let wait = self.settings.retry;
            self.callers
                .refuse(&call.callers, NotRunReason::Overload, wait);
            let state = State::Released;
            return self.end(Record { key, body, state }, now);
        };
        let running = Running {
            body,
            until: call.by + call.run + self.settings.margin,
            callers: call.callers,
        };
        self.callers.running.insert(key, running);
        let unsent = Unsent::keyed(key, call.by);
        self.callers.effects.push(Effect::Dispatch { id, unsent });
    }

    /// Ends a write that the store did not answer.
    ///
    /// Its callers are told at once that their calls did not run. That stays true though the
    /// intents may be in the log: nobody else sends them, and this instance has let them go.
    fn stuck(&mut self, mut flight: Flight, now: Instant) {
        self.store_failed(now);
        let wait = self.health.wait(now).unwrap_or(self.settings.retry);
        for call in &mut flight.calls {
            let callers = std::mem::take(&mut call.callers);
            self.callers.refuse(&callers, NotRunReason::StoreDown, wait);
        }
        if flight.doubtful {
            self.step = Step::Uncertain(flight, now + wait);
        } else {
            self.put_back(flight, now);
        }
    }

    fn store_failed(&mut self, now: Instant) {
        self.health = self.health.failed(&self.settings, &mut self.rng, now);
        // Refuses those in the queue.
        self.admit_again(now);
    }

    /// Takes back what a batch would have written, as the batch is not in the log and never will
    /// be.
    fn put_back(&mut self, mut flight: Flight, now: Instant) {
        flight.ends.append(&mut self.ends);
        self.ends = flight.ends;
        let open = flight
            .calls
            .into_iter()
            .filter(|call| !call.callers.is_empty());
        let mut queue: Vec<_> = open.collect();
        queue.append(&mut self.callers.queue);
        self.callers.queue = queue;
        self.admit_again(now);
    }

    fn polled(&mut self, reply: ReadReply, now: Instant) {
        let Some(log) = &self.log else { return };
        let place = log.place();
        let found = match reply {
            ReadReply::Failed => return self.store_failed(now),
            ReadReply::Missing => None,
            ReadReply::Found(object) => match stored(place.slot, &object) {
                Ok(found) => Some(found),
                Err(error) => return self.report(error, now),
            },
        };
        match found {
            Some(found) if found.batch.sequence == place.sequence => self.follow(&found, now),
            Some(found) if found.batch.sequence > place.sequence => self.reload = true,
            Some(_) | None => self.at_head(now),
        }
    }

    /// Gives up the intents of other writers that are over, after the log was read to its end.
    fn at_head(&mut self, now: Instant) {
        self.health = Health::default();
        self.behind = 0;
        self.poll_at = now + self.poll_wait;
        self.poll_wait = (self.poll_wait * 2).min(self.settings.poll_most);
        let Some(log) = &self.log else { return };
        let is_over = |call: &Pending| {
            let entry = log.entry(call.key);
            entry.is_none_or(|entry| log.is_over(entry, now))
        };
        self.callers.give_up(|call| is_over(call));
    }

    /// Adds a batch of another writer and reads on, as more are likely to follow.
    ///
    /// Without reading on, each missing batch would cost a write that loses, at the pace of writes,
    /// and a shard that is slower than the others together would never get to write.
    fn follow(&mut self, found: &Stored, now: Instant) {
        self.poll_at = now;
        self.behind += 1;
        self.reload |= self.behind > CATCH_UP;
        self.apply(found, now);
    }

    /// Adds a batch that this shard did not know to be in the log.
    fn apply(&mut self, found: &Stored, now: Instant) {
        let Some(log) = &mut self.log else { return };
        log.apply(found, now);
        if found.batch.writer == self.writer {
            let keys = found.batch.records.iter().map(|record| record.key);
            let open = log.open(self.writer, keys);
            self.release(open, now);
        }
        self.admit_again(now);
    }

    fn load(&mut self, objects: &[Object], now: Instant) {
        let batches = objects.iter().map(|object| {
            let slot = object
                .key
                .rsplit('/')
                .next()
                .and_then(|slot| slot.parse().ok());
            stored(Slot(slot.ok_or(BatchError(object.version))?), object)
        });
        let batches = match batches.collect() {
            Ok(batches) => batches,
            Err(error) => return self.report(error, now),
        };
        match Log::load(self.settings.retention, batches, now) {
            Ok(log) => self.take_over(log, now),
            Err(_gap) => self.hold = now + self.settings.poll,
        }
    }

    /// Goes on from a log that was listed.
    fn take_over(&mut self, mut log: Log, now: Instant) {
        for record in &self.ends {
            log.note(self.writer, record);
        }
        let open = log.open(self.writer, log.all());
        self.log = Some(log);
        self.reload = false;
        self.behind = 0;
        self.health = Health::default();
        self.release(open, now);
        self.admit_again(now);
    }

    /// Frees keys whose intents this writer has in the log without knowing them.
    ///
    /// Such an intent was in a write that seemed to have no effect. It was not sent, and only its
    /// writer may say so; left alone it would make the call unknown for good.
    fn release(&mut self, open: Vec<(CallKey, BodyTag)>, now: Instant) {
        for (key, body) in open {
            if !self.callers.running.contains_key(&key) {
                let state = State::Released;
                self.end(Record { key, body, state }, now);
            }
        }
    }

    fn broken(&mut self, flight: Flight, error: BatchError, now: Instant) {
        self.callers.effects.push(Effect::Broken { error });
        self.stuck(flight, now);
    }

    fn report(&mut self, error: BatchError, now: Instant) {
        self.callers.effects.push(Effect::Broken { error });
        self.store_failed(now);
    }

    fn get_next(&mut self) {
        let Some(log) = &self.log else { return };
        let key = self.slot_key(log.place().slot);
        self.callers.effects.push(Effect::Get { key });
    }

    fn prefix(&self) -> SmolStr {
        format_smolstr!("ledger/{:05}/", self.number.0)
    }

    fn slot_key(&self, slot: Slot) -> SmolStr {
        format_smolstr!("{}{:010}", self.prefix(), slot.0)
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
    let ttl = call.by.saturating_duration_since(now) + call.run + settings.margin;
    Record {
        key: call.key,
        body: call.body,
        state: State::Started {
            ttl_ms: ttl.as_millis() as u64,
        },
    }
}

fn stored(slot: Slot, object: &Object) -> Result<Stored, BatchError> {
    Ok(Stored {
        slot,
        version: object.version,
        batch: Batch::decode(object.version, &object.value)?,
    })
}
