//! When a shard calls the store next.

use std::time::Duration;

use tokio::time::Instant;

use crate::{book::Book, Settings};

/// How many batches are read one by one before the log is listed instead.
const CATCH_UP: u32 = 16;

/// When a shard calls the store next, and for what.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Schedule {
    /// No write before this time, by which the write rate is kept.
    next_write: Instant,
    /// No call of the store before this time.
    hold: Instant,
    poll_at: Instant,
    poll_wait: Duration,
    /// Whether the log must be listed anew.
    reload: bool,
    /// How many batches of others were read since the log was known to its end; 0 if it is.
    behind: u32,
}

/// A call of the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Due {
    List,
    Write,
    Poll,
}

impl Schedule {
    pub(crate) const fn new(settings: &Settings, now: Instant) -> Self {
        Self {
            next_write: now,
            hold: now,
            poll_at: now,
            poll_wait: settings.min_poll_delay,
            reload: true,
            behind: 0,
        }
    }

    /// Returns the next call of the store; `None` if nobody waits for one.
    pub(crate) fn next(&self, book: &Book) -> Option<(Instant, Due)> {
        let polls = self.behind > 0 || !book.callers.followers.is_empty();
        let poll = polls.then_some((self.poll_at, Due::Poll));
        let write = book.write_due().filter(|_| self.behind == 0);
        let write = write.map(|at| (at.max(self.next_write), Due::Write));
        let (at, due) = write.into_iter().chain(poll).min_by_key(|(at, _)| *at)?;
        let open = self.hold.max(book.health.until().unwrap_or(self.hold));
        Some((at.max(open), if self.reload { Due::List } else { due }))
    }

    /// A call came, and the result it may wait for can be there already.
    pub(crate) fn called(&mut self, settings: &Settings, now: Instant) {
        self.poll_wait = settings.min_poll_delay;
        self.poll_at = self.poll_at.min(now + self.poll_wait);
    }

    pub(crate) const fn hold(&mut self, until: Instant) {
        self.hold = until;
    }

    pub(crate) const fn write_after(&mut self, at: Instant) {
        self.next_write = at;
    }

    pub(crate) const fn reload(&mut self) {
        self.reload = true;
    }

    /// A batch of another writer was read; more are likely to follow.
    ///
    /// Without reading on, each missing batch would cost a write that loses, at the pace of writes,
    /// and a shard that is slower than the others together would never get to write.
    pub(crate) const fn followed(&mut self, now: Instant) {
        self.poll_at = now;
        self.behind += 1;
        self.reload |= self.behind > CATCH_UP;
    }

    /// The log was read to its end.
    pub(crate) fn at_head(&mut self, settings: &Settings, now: Instant) {
        self.behind = 0;
        self.poll_at = now + self.poll_wait;
        self.poll_wait = (self.poll_wait * 2).min(settings.max_poll_delay);
    }

    /// The log was listed.
    pub(crate) const fn listed(&mut self) {
        self.reload = false;
        self.behind = 0;
    }
}
