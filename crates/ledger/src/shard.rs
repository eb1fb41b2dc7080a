//! One shard of the ledger.

use celerypond_platform::{Object, Version};
use rand::{rngs::SmallRng, Rng as _, SeedableRng as _};
use smol_str::{format_smolstr, SmolStr};
use tokio::time::Instant;

use crate::{
    batch_write::{BatchWrite, StoreOperation},
    log::Log,
    schedule::{DueOperation, Schedule},
    shard_state::ShardState,
    stored_batch::StoredBatch,
    BatchDecodeError, Call, Effect, FinishedCall, ListReply, ReadReply, Settings, Slot, WriteReply,
    WriterId,
};

/// The number of a shard, counted from 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ShardNumber(pub u16);

/// One shard of the ledger, as one instance sees it.
///
/// Any number of instances may run the same shard at the same time. An intent is valid once a
/// conditional write has put it into the log, so at most one instance may send the call of a key.
/// Routing most calls of a shard to one instance only improves performance.
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
    state: ShardState,
    operation: StoreOperation,
    rng: SmallRng,
    schedule: Schedule,
}

impl Shard {
    /// Creates a shard that has not read its log. The seed determines the writer's identity, so it
    /// must differ between all processes, including two runs of the same instance.
    pub fn new(number: ShardNumber, settings: Settings, seed: u64, now: Instant) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        Self {
            number,
            state: ShardState::new(settings, WriterId(rng.random()), now),
            operation: StoreOperation::Idle,
            rng,
            schedule: Schedule::new(&settings, now),
        }
    }

    /// Handles a call that arrives.
    pub fn handle_call(&mut self, call: Call, now: Instant) -> Vec<Effect> {
        self.state.admit(self.operation.calls(), call.into(), now);
        self.schedule.call_arrived(&self.state.settings, now);
        self.advance(now)
    }

    /// Handles the outcome of a call that was handed out by [`Effect::Dispatch`].
    pub fn handle_finished_call(&mut self, finished: FinishedCall, now: Instant) -> Vec<Effect> {
        self.state.finish(finished, now);
        self.advance(now)
    }

    /// Handles the reply to [`Effect::List`].
    pub fn handle_list_reply(&mut self, reply: ListReply, now: Instant) -> Vec<Effect> {
        if matches!(self.operation, StoreOperation::Listing) {
            self.operation = StoreOperation::Idle;
            match reply {
                ListReply::Listed(objects) => self.load_log(&objects, now),
                ListReply::Failed => self.store_failed(now),
            }
        }
        self.advance(now)
    }

    /// Handles the reply to [`Effect::Get`].
    pub fn handle_read_reply(&mut self, reply: ReadReply, now: Instant) -> Vec<Effect> {
        match std::mem::take(&mut self.operation) {
            StoreOperation::Polling => self.finish_poll(reply, now),
            StoreOperation::ReadingBack(write) => self.finish_read_back(write, reply, now),
            other => self.operation = other,
        }
        self.advance(now)
    }

    /// Handles the reply to [`Effect::Create`] or [`Effect::Update`].
    pub fn handle_write_reply(&mut self, reply: WriteReply, now: Instant) -> Vec<Effect> {
        match std::mem::take(&mut self.operation) {
            StoreOperation::Writing(write) => self.finish_write(write, reply, now),
            other => self.operation = other,
        }
        self.advance(now)
    }

    /// Does what is due. Must be called at the time that [`Shard::wake_at`] returns.
    pub fn tick(&mut self, now: Instant) -> Vec<Effect> {
        self.advance(now)
    }

    /// Returns when [`Shard::tick`] must be called next.
    pub fn wake_at(&self) -> Option<Instant> {
        let store = match &self.operation {
            StoreOperation::Idle => self.schedule.next(&self.state).map(|(at, _)| at),
            StoreOperation::WaitingToRewrite(_, at) => Some(*at),
            StoreOperation::Listing
            | StoreOperation::Polling
            | StoreOperation::Writing(_)
            | StoreOperation::ReadingBack(_) => None,
        };
        store
            .into_iter()
            .chain(self.state.callers.next_deadline())
            .min()
    }

    /// Returns whether no caller waits and nothing is left to write, so that the shard may be
    /// dropped.
    pub fn is_idle(&self) -> bool {
        self.state.callers.next_deadline().is_none()
            && self.state.unwritten_results.is_empty()
            && matches!(self.operation, StoreOperation::Idle)
    }

    /// Returns how many keys are remembered.
    pub fn key_count(&self) -> usize {
        self.state.key_count()
    }

    /// Returns how many objects the shard has.
    pub fn slot_count(&self) -> u32 {
        self.state.log.as_ref().map_or(0, Log::slot_count)
    }

    fn advance(&mut self, now: Instant) -> Vec<Effect> {
        self.state.expire(now);
        self.start_due_operation(now);
        std::mem::take(&mut self.state.callers.effects)
    }

    /// Admits all waiting calls again, after the log or the unwritten results changed.
    fn readmit_waiting(&mut self, now: Instant) {
        self.state.readmit_waiting(self.operation.calls(), now);
    }

    /// Starts the next operation at the store if none is under way and one is due.
    fn start_due_operation(&mut self, now: Instant) {
        if let StoreOperation::WaitingToRewrite(_, at) = self.operation {
            if at <= now {
                self.rewrite();
            }
            return;
        }
        let due = self.schedule.next(&self.state).filter(|(at, _)| *at <= now);
        match due.filter(|_| matches!(self.operation, StoreOperation::Idle)) {
            Some((_, DueOperation::List)) => self.list(),
            Some((_, DueOperation::Write)) => self.write(now),
            Some((_, DueOperation::Poll)) => self.poll(),
            None => {}
        }
    }

    fn list(&mut self) {
        let prefix = self.prefix();
        self.state.callers.effects.push(Effect::List { prefix });
        self.operation = StoreOperation::Listing;
    }

    /// Reads the slot of the next batch.
    fn poll(&mut self) {
        let Some(log) = &self.state.log else { return };
        let key = self.slot_key(log.append_position().slot);
        self.state.callers.effects.push(Effect::Get { key });
        self.operation = StoreOperation::Polling;
    }

    fn write(&mut self, now: Instant) {
        let min_interval = self.state.settings.min_write_interval;
        self.schedule.set_next_write_at(now + min_interval);
        if let Some(write) = self.state.prepare_write(self.rng.random(), now) {
            self.send_write(write);
        }
    }

    fn send_write(&mut self, write: BatchWrite) {
        let key = self.slot_key(write.position.slot);
        self.state.callers.effects.push(write.effect(key));
        self.operation = StoreOperation::Writing(write);
    }

    fn rewrite(&mut self) {
        match std::mem::take(&mut self.operation) {
            StoreOperation::WaitingToRewrite(write, _) => self.send_write(write),
            other => self.operation = other,
        }
    }

    fn finish_write(&mut self, mut write: BatchWrite, reply: WriteReply, now: Instant) {
        match reply {
            WriteReply::Written(version) => self.commit(write, version, now),
            WriteReply::Conflict => self.read_back(write),
            WriteReply::Ambiguous => {
                write.may_have_taken_effect = true;
                self.read_back(write);
            }
            WriteReply::NotApplied => self.fail_write(write, now),
            WriteReply::RateLimited { retry_after } if write.may_have_taken_effect => {
                self.operation = StoreOperation::WaitingToRewrite(write, now + retry_after);
            }
            WriteReply::RateLimited { retry_after } => {
                self.schedule.set_next_write_at(now + retry_after);
                self.requeue(write, now);
            }
        }
    }

    /// Reads the slot of a write, to learn which batch is there.
    fn read_back(&mut self, write: BatchWrite) {
        let key = self.slot_key(write.position.slot);
        self.state.callers.effects.push(Effect::Get { key });
        self.operation = StoreOperation::ReadingBack(write);
    }

    fn finish_read_back(&mut self, write: BatchWrite, reply: ReadReply, now: Instant) {
        let found = match reply {
            ReadReply::Failed => return self.fail_write(write, now),
            ReadReply::Missing => None,
            ReadReply::Found(object) => {
                match StoredBatch::from_slot(write.position.slot, &object) {
                    Ok(found) => Some(found),
                    Err(error) => return self.fail_write_on_corruption(write, error, now),
                }
            }
        };
        let sequence = write.position.sequence;
        match found {
            Some(found) if found.batch.is_same_write(&write.batch) => {
                self.commit(write, found.version, now)
            }
            Some(found) if found.batch.sequence == sequence => {
                self.requeue(write, now);
                self.apply_found(&found, now);
            }
            // The slot was reused since, so this instance was paused for a long time.
            Some(found) if found.batch.sequence > sequence => {
                self.schedule.request_list();
                self.requeue(write, now);
            }
            // The write has not taken effect but still may, or the read returned an old value.
            Some(_) | None => {
                self.operation = StoreOperation::WaitingToRewrite(
                    write,
                    now + self.state.settings.min_poll_delay,
                )
            }
        }
    }

    /// Adds a written batch to the log and hands out its calls to be sent.
    fn commit(&mut self, write: BatchWrite, version: Version, now: Instant) {
        self.state.commit(write, version, now);
        self.readmit_waiting(now);
    }

    /// Ends an attempt to write that the store did not answer.
    ///
    /// The callers are told immediately that their calls did not run. That remains true even if the
    /// intents are in the log: no other instance sends the calls, and this one has abandoned them.
    fn fail_write(&mut self, mut write: BatchWrite, now: Instant) {
        self.store_failed(now);
        let delay = self.state.abandon(&mut write.calls, now);
        if write.may_have_taken_effect {
            self.operation = StoreOperation::WaitingToRewrite(write, now + delay);
        } else {
            self.requeue(write, now);
        }
    }

    fn store_failed(&mut self, now: Instant) {
        self.state.store_failed(&mut self.rng, now);
        // Refuses the calls in the queue.
        self.readmit_waiting(now);
    }

    /// Puts the results and calls of a write back into the queues. The batch must not be in the log,
    /// now or later.
    fn requeue(&mut self, write: BatchWrite, now: Instant) {
        self.state.requeue(write);
        self.readmit_waiting(now);
    }

    fn finish_poll(&mut self, reply: ReadReply, now: Instant) {
        let Some(log) = &self.state.log else { return };
        let position = log.append_position();
        let found = match reply {
            ReadReply::Failed => return self.store_failed(now),
            ReadReply::Missing => None,
            ReadReply::Found(object) => match StoredBatch::from_slot(position.slot, &object) {
                Ok(found) => Some(found),
                Err(error) => return self.report_corruption(error, now),
            },
        };
        match found {
            Some(found) if found.batch.sequence == position.sequence => {
                self.apply_found(&found, now)
            }
            Some(found) if found.batch.sequence > position.sequence => {
                self.schedule.request_list();
            }
            Some(_) | None => self.end_of_log_reached(now),
        }
    }

    fn end_of_log_reached(&mut self, now: Instant) {
        self.schedule.end_of_log_reached(&self.state.settings, now);
        self.state.end_of_log_reached(now);
    }

    /// Adds a batch that a read has found to the log, and schedules the next read.
    fn apply_found(&mut self, found: &StoredBatch, now: Instant) {
        self.schedule.batch_found(now);
        self.state.apply_found(found, now);
        self.readmit_waiting(now);
    }

    fn load_log(&mut self, objects: &[Object], now: Instant) {
        let batches = objects.iter().map(StoredBatch::from_listed);
        let batches = match batches.collect() {
            Ok(batches) => batches,
            Err(error) => return self.report_corruption(error, now),
        };
        match Log::from_list(self.state.settings.retention, batches, now) {
            Ok(log) => {
                self.schedule.listed();
                self.state.replace_log(log, now);
                self.readmit_waiting(now);
            }
            Err(_incomplete) => self
                .schedule
                .set_not_before(now + self.state.settings.min_poll_delay),
        }
    }

    fn fail_write_on_corruption(
        &mut self,
        write: BatchWrite,
        error: BatchDecodeError,
        now: Instant,
    ) {
        self.state
            .callers
            .effects
            .push(Effect::ReportCorruption { error });
        self.fail_write(write, now);
    }

    fn report_corruption(&mut self, error: BatchDecodeError, now: Instant) {
        self.state
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
