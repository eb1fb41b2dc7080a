//! The times of a shard's next operations at the store.

use std::time::Duration;

use tokio::time::Instant;

use crate::{shard_state::ShardState, Settings};

/// How many batches are read one by one before the whole log is listed instead.
const MAX_SINGLE_READS: u32 = 16;

/// Decides which operation the shard does next at the store, and when.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Schedule {
    /// The earliest time of the next write, which limits the write rate.
    next_write_at: Instant,
    /// The earliest time of the next operation of any kind.
    not_before: Instant,
    poll_at: Instant,
    poll_delay: Duration,
    /// Whether the log must be listed.
    needs_list: bool,
    /// How many batches of other writers were read since the end of the log was last reached.
    batches_since_end: u32,
}

/// A kind of operation at the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum DueOperation {
    List,
    Write,
    Poll,
}

impl Schedule {
    pub(crate) const fn new(settings: &Settings, now: Instant) -> Self {
        Self {
            next_write_at: now,
            not_before: now,
            poll_at: now,
            poll_delay: settings.min_poll_delay,
            needs_list: true,
            batches_since_end: 0,
        }
    }

    /// Returns the next operation and its time; `None` if no call needs one.
    pub(crate) fn next(&self, state: &ShardState) -> Option<(Instant, DueOperation)> {
        let must_poll = self.batches_since_end > 0 || !state.callers.awaiting_remote.is_empty();
        let poll = must_poll.then_some((self.poll_at, DueOperation::Poll));
        let write = state.write_due_at().filter(|_| self.batches_since_end == 0);
        let write = write.map(|at| (at.max(self.next_write_at), DueOperation::Write));
        let (at, due) = write.into_iter().chain(poll).min_by_key(|(at, _)| *at)?;
        let allowed_at = self
            .not_before
            .max(state.backoff.retry_at().unwrap_or(self.not_before));
        Some((
            at.max(allowed_at),
            if self.needs_list {
                DueOperation::List
            } else {
                due
            },
        ))
    }

    /// Resets the poll delay when a call arrives, as the result that it may wait for can be in the
    /// log already.
    pub(crate) fn call_arrived(&mut self, settings: &Settings, now: Instant) {
        self.poll_delay = settings.min_poll_delay;
        self.poll_at = self.poll_at.min(now + self.poll_delay);
    }

    pub(crate) const fn set_not_before(&mut self, at: Instant) {
        self.not_before = at;
    }

    pub(crate) const fn set_next_write_at(&mut self, at: Instant) {
        self.next_write_at = at;
    }

    pub(crate) const fn request_list(&mut self) {
        self.needs_list = true;
    }

    /// Schedules an immediate poll after a batch of another writer was read, as more are likely to
    /// follow.
    ///
    /// If the shard did not read on, each missing batch would cost a write that loses, at most one
    /// per write interval. A shard that writes more slowly than all others together would then never
    /// succeed.
    pub(crate) const fn batch_found(&mut self, now: Instant) {
        self.poll_at = now;
        self.batches_since_end += 1;
        self.needs_list |= self.batches_since_end > MAX_SINGLE_READS;
    }

    pub(crate) fn end_of_log_reached(&mut self, settings: &Settings, now: Instant) {
        self.batches_since_end = 0;
        self.poll_at = now + self.poll_delay;
        self.poll_delay = (self.poll_delay * 2).min(settings.max_poll_delay);
    }

    pub(crate) const fn listed(&mut self) {
        self.needs_list = false;
        self.batches_since_end = 0;
    }
}
