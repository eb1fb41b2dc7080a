//! One shard of the ledger.

use celerypond_platform::{Object, Version};
use rand::{rngs::SmallRng, Rng as _, SeedableRng as _};
use smol_str::{format_smolstr, SmolStr};
use tokio::time::Instant;

use crate::{
    book::Book,
    flight::{Flight, Step},
    log::Log,
    schedule::{Due, Schedule},
    stored::Stored,
    BatchDecodeError, Call, Effect, FinishedCall, ListReply, ReadReply, Settings, Slot, WriteReply,
    WriterId,
};

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
/// use celerypond_ledger::{RequestFingerprint, Call, CallId, CallKey, Effect, ListReply};
/// use celerypond_ledger::{Settings, Shard, ShardNumber, WriteReply};
/// use celerypond_platform::Version;
/// use tokio::time::Instant;
///
/// let now = Instant::now();
/// let mut shard = Shard::new(ShardNumber(0), Settings::default(), 7, now);
/// let call = Call {
///     id: CallId(1),
///     key: CallKey::of(&"holding".into(), &"hold-17".into()),
///     fingerprint: RequestFingerprint::of("POST", "/holds", b"{}"),
///     send_by: now + Duration::from_secs(2),
///     service_timeout: Duration::from_secs(5),
/// };
/// assert!(matches!(shard.handle_call(call, now)[..], [Effect::List { .. }]));
/// let effects = shard.handle_list_reply(ListReply::Listed(Vec::new()), now);
/// assert!(matches!(effects[..], [Effect::Create { .. }]));
/// let effects = shard.handle_write_reply(WriteReply::Written(Version(1)), now);
/// assert!(matches!(effects[..], [Effect::Dispatch { id: CallId(1), .. }]));
/// ```
#[derive(Debug)]
pub struct Shard {
    number: ShardNumber,
    book: Book,
    step: Step,
    rng: SmallRng,
    schedule: Schedule,
}

impl Shard {
    /// Makes a shard that knows nothing yet. The seed must differ between processes, also between
    /// two runs of one instance, as the identity of the writer comes from it.
    pub fn new(number: ShardNumber, settings: Settings, seed: u64, now: Instant) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        Self {
            number,
            book: Book::new(settings, WriterId(rng.random()), now),
            step: Step::Idle,
            rng,
            schedule: Schedule::new(&settings, now),
        }
    }

    /// Takes a call that arrives.
    pub fn handle_call(&mut self, call: Call, now: Instant) -> Vec<Effect> {
        self.book.admit(self.step.calls(), call.into(), now);
        self.schedule.called(&self.book.settings, now);
        self.advance(now)
    }

    /// Takes the outcome of a call that was to be sent.
    pub fn handle_finished_call(&mut self, finished: FinishedCall, now: Instant) -> Vec<Effect> {
        self.book.finish(finished, now);
        self.advance(now)
    }

    /// Takes the reply to a list.
    pub fn handle_list_reply(&mut self, reply: ListReply, now: Instant) -> Vec<Effect> {
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
    pub fn handle_read_reply(&mut self, reply: ReadReply, now: Instant) -> Vec<Effect> {
        match std::mem::take(&mut self.step) {
            Step::Polling => self.polled(reply, now),
            Step::Checking(flight) => self.checked(flight, reply, now),
            other => self.step = other,
        }
        self.advance(now)
    }

    /// Takes the reply to a create or update.
    pub fn handle_write_reply(&mut self, reply: WriteReply, now: Instant) -> Vec<Effect> {
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
        let store = match &self.step {
            Step::Idle => self.schedule.next(&self.book).map(|(at, _)| at),
            Step::Uncertain(_, at) => Some(*at),
            Step::Loading | Step::Polling | Step::Writing(_) | Step::Checking(_) => None,
        };
        store.into_iter().chain(self.book.callers.first_end()).min()
    }

    /// Returns whether nobody waits and nothing is left to write, so the shard may be dropped.
    pub fn is_idle(&self) -> bool {
        self.book.callers.first_end().is_none()
            && self.book.ends.is_empty()
            && matches!(self.step, Step::Idle)
    }

    /// Returns how many keys are remembered.
    pub fn key_count(&self) -> usize {
        self.book.keys()
    }

    /// Returns how many objects the shard has.
    pub fn slot_count(&self) -> u32 {
        self.book.log.as_ref().map_or(0, Log::slots)
    }

    fn advance(&mut self, now: Instant) -> Vec<Effect> {
        self.book.expire(now);
        self.pump(now);
        std::mem::take(&mut self.book.callers.effects)
    }

    /// Looks again at all who wait, after the log or its ends changed.
    fn admit_again(&mut self, now: Instant) {
        self.book.admit_again(self.step.calls(), now);
    }

    /// Starts the next call of the store if one is due.
    fn pump(&mut self, now: Instant) {
        if let Step::Uncertain(_, at) = self.step {
            if at <= now {
                self.write_again();
            }
            return;
        }
        let due = self.schedule.next(&self.book).filter(|(at, _)| *at <= now);
        match due.filter(|_| matches!(self.step, Step::Idle)) {
            Some((_, Due::List)) => self.list(),
            Some((_, Due::Write)) => self.write(now),
            Some((_, Due::Poll)) => self.poll(),
            None => {}
        }
    }

    fn list(&mut self) {
        let prefix = self.prefix();
        self.book.callers.effects.push(Effect::List { prefix });
        self.step = Step::Loading;
    }

    /// Reads the next place of the log.
    fn poll(&mut self) {
        let Some(log) = &self.book.log else { return };
        let key = self.slot_key(log.place().slot);
        self.book.callers.effects.push(Effect::Get { key });
        self.step = Step::Polling;
    }

    fn write(&mut self, now: Instant) {
        let min_interval = self.book.settings.min_write_interval;
        self.schedule.write_after(now + min_interval);
        if let Some(flight) = self.book.flight(self.rng.random(), now) {
            self.send(flight);
        }
    }

    fn send(&mut self, flight: Flight) {
        let key = self.slot_key(flight.place.slot);
        self.book.callers.effects.push(flight.write(key));
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
            WriteReply::NotApplied => self.stuck(flight, now),
            WriteReply::RateLimited { retry_after } if flight.doubtful => {
                self.step = Step::Uncertain(flight, now + retry_after);
            }
            WriteReply::RateLimited { retry_after } => {
                self.schedule.write_after(now + retry_after);
                self.put_back(flight, now);
            }
        }
    }

    /// Reads the place of the batch, to learn which batch is there.
    fn check(&mut self, flight: Flight) {
        let key = self.slot_key(flight.place.slot);
        self.book.callers.effects.push(Effect::Get { key });
        self.step = Step::Checking(flight);
    }

    fn checked(&mut self, flight: Flight, reply: ReadReply, now: Instant) {
        let found = match reply {
            ReadReply::Failed => return self.stuck(flight, now),
            ReadReply::Missing => None,
            ReadReply::Found(object) => match Stored::read(flight.place.slot, &object) {
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
                self.schedule.reload();
                self.put_back(flight, now);
            }
            // The write has not taken effect and still may, or an old value was read.
            Some(_) | None => {
                self.step = Step::Uncertain(flight, now + self.book.settings.min_poll_delay)
            }
        }
    }

    /// Sends the calls whose intents are in the log.
    fn won(&mut self, flight: Flight, version: Version, now: Instant) {
        self.book.won(flight, version, now);
        self.admit_again(now);
    }

    /// Ends a write that the store did not answer.
    ///
    /// Its callers are told at once that their calls did not run. That stays true though the
    /// intents may be in the log: nobody else sends them, and this instance has let them go.
    fn stuck(&mut self, mut flight: Flight, now: Instant) {
        self.store_failed(now);
        let wait = self.book.let_go(&mut flight.calls, now);
        if flight.doubtful {
            self.step = Step::Uncertain(flight, now + wait);
        } else {
            self.put_back(flight, now);
        }
    }

    fn store_failed(&mut self, now: Instant) {
        self.book.store_failed(&mut self.rng, now);
        // Refuses those in the queue.
        self.admit_again(now);
    }

    /// Takes back what a batch would have written, as the batch is not in the log and never will
    /// be.
    fn put_back(&mut self, flight: Flight, now: Instant) {
        self.book.put_back(flight);
        self.admit_again(now);
    }

    fn polled(&mut self, reply: ReadReply, now: Instant) {
        let Some(log) = &self.book.log else { return };
        let place = log.place();
        let found = match reply {
            ReadReply::Failed => return self.store_failed(now),
            ReadReply::Missing => None,
            ReadReply::Found(object) => match Stored::read(place.slot, &object) {
                Ok(found) => Some(found),
                Err(error) => return self.report(error, now),
            },
        };
        match found {
            Some(found) if found.batch.sequence == place.sequence => self.follow(&found, now),
            Some(found) if found.batch.sequence > place.sequence => {
                self.schedule.reload();
            }
            Some(_) | None => self.at_head(now),
        }
    }

    /// Notes that the log was read to its end.
    fn at_head(&mut self, now: Instant) {
        self.schedule.at_head(&self.book.settings, now);
        self.book.at_head(now);
    }

    /// Adds a batch that this shard did not know to be in the log, and reads on.
    fn follow(&mut self, found: &Stored, now: Instant) {
        self.schedule.followed(now);
        self.book.apply(found, now);
        self.admit_again(now);
    }

    fn load(&mut self, objects: &[Object], now: Instant) {
        let batches = objects.iter().map(Stored::listed);
        let batches = match batches.collect() {
            Ok(batches) => batches,
            Err(error) => return self.report(error, now),
        };
        match Log::load(self.book.settings.retention, batches, now) {
            Ok(log) => {
                self.schedule.listed();
                self.book.take_over(log, now);
                self.admit_again(now);
            }
            Err(_gap) => self.schedule.hold(now + self.book.settings.min_poll_delay),
        }
    }

    fn broken(&mut self, flight: Flight, error: BatchDecodeError, now: Instant) {
        self.book
            .callers
            .effects
            .push(Effect::ReportCorruption { error });
        self.stuck(flight, now);
    }

    fn report(&mut self, error: BatchDecodeError, now: Instant) {
        self.book
            .callers
            .effects
            .push(Effect::ReportCorruption { error });
        self.store_failed(now);
    }

    fn prefix(&self) -> SmolStr {
        format_smolstr!("ledger/{:05}/", self.number.0)
    }

    fn slot_key(&self, slot: Slot) -> SmolStr {
        format_smolstr!("{}{:010}", self.prefix(), slot.0)
    }
}
