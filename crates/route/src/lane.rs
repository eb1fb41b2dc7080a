//! The requests of one priority, by start-time fair queueing between accounts.

use std::collections::{BTreeSet, VecDeque};

use celerypond_types::AccountKey;
use slotmap::SecondaryMap;

use crate::Waiting;

/// The virtual time that a request of cost 1 takes an account of weight 1.
const TAG_UNIT: u64 = 1_024;

#[derive(Debug)]
struct Line<T> {
    waiting: VecDeque<Waiting<T>>,
    /// The virtual time at which the first request starts, or the next one if none waits.
    start: u64,
    /// The virtual time that all requests of the line take.
    length: u64,
}

/// The requests of one priority.
///
/// Each account has a line. The line with the least virtual start time is served, and moves on by
/// the request's cost over the account's weight. An account that was idle starts at the present
/// virtual time: it saves up nothing, and owes nothing.
#[derive(Debug)]
pub(crate) struct Lane<T> {
    lines: SecondaryMap<AccountKey, Line<T>>,
    heads: BTreeSet<(u64, AccountKey)>,
    time: u64,
    len: usize,
    /// No deadline is before this one.
    expiry: u64,
}

impl<T> Lane<T> {
    pub(crate) fn new() -> Self {
        Self {
            lines: SecondaryMap::new(),
            heads: BTreeSet::new(),
            time: 0,
            len: 0,
            expiry: u64::MAX,
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.len
    }

    pub(crate) fn next_expiry(&self) -> Option<u64> {
        (self.len > 0).then_some(self.expiry)
    }

    pub(crate) fn push(&mut self, waiting: Waiting<T>) {
        let key = waiting.account;
        if !self.lines.contains_key(key) {
            self.lines.insert(key, Line::new(self.time));
        }
        let line = &mut self.lines[key];
        if line.waiting.is_empty() {
            line.start = line.start.max(self.time);
            self.heads.insert((line.start, key));
        }
        self.len += 1;
        self.expiry = self.expiry.min(waiting.deadline);
        line.length += span(&waiting);
        line.waiting.push_back(waiting);
    }

    pub(crate) fn pop(&mut self) -> Option<Waiting<T>> {
        let (start, key) = self.heads.pop_first()?;
        self.time = start;
        let line = &mut self.lines[key];
        let waiting = line.waiting.pop_front()?;
        let span = span(&waiting);
        line.start += span;
        line.length -= span;
        if !line.waiting.is_empty() {
            self.heads.insert((line.start, key));
        }
        self.len -= 1;
        Some(waiting)
    }

    /// Takes out the requests whose deadline has passed.
    pub(crate) fn expire(&mut self, now_ms: u64) -> Vec<Waiting<T>> {
        if self.len == 0 || now_ms < self.expiry {
            return Vec::new();
        }
        self.expiry = u64::MAX;
        let mut late = Vec::new();
        for line in self.lines.values_mut() {
            let (gone, kept) = line
                .waiting
                .drain(..)
                .partition::<VecDeque<_>, _>(|waiting| waiting.deadline <= now_ms);
            line.length = kept.iter().map(span).sum();
            line.waiting = kept;
            let earliest = line.waiting.iter().map(|waiting| waiting.deadline).min();
            self.expiry = self.expiry.min(earliest.unwrap_or(u64::MAX));
            late.extend(gone);
        }
        self.len -= late.len();
        let lines = &self.lines;
        self.heads
            .retain(|(_, key)| !lines[*key].waiting.is_empty());
        late
    }

    /// Estimates how many requests are served before a new one of `account`.
    pub(crate) fn ahead(&self, account: AccountKey) -> f64 {
        let own = self.lines.get(account);
        let start = own.map_or(self.time, |line| line.start.max(self.time) + line.length);
        let keys = self.heads.iter();
        let before = keys.map(|(_, key)| match *key == account {
            true => self.lines[*key].waiting.len() as f64,
            false => self.lines[*key].before(start),
        });
        before.sum()
    }
}

impl<T> Line<T> {
    fn new(start: u64) -> Self {
        Self {
            waiting: VecDeque::new(),
            start,
            length: 0,
        }
    }

    /// Estimates how many requests of the line start before virtual time `time`.
    fn before(&self, time: u64) -> f64 {
        let count = self.waiting.len() as f64;
        let mean = (self.length as f64 / count.max(1.0)).max(1.0);
        // The request at the start of the line goes first when the times are the same.
        let fit = (time.saturating_sub(self.start) as f64 / mean).floor() + 1.0;
        match time < self.start {
            true => 0.0,
            false => fit.min(count),
        }
    }
}

fn span<T>(waiting: &Waiting<T>) -> u64 {
    let cost = u64::from(waiting.cost.max(1));
    (cost * TAG_UNIT / u64::from(waiting.weight.max(1))).max(1)
}
