//! The requests of one priority, by start-time fair queueing between accounts.

use std::collections::{BTreeSet, VecDeque};

use celerypond_types::AccountKey;
use slotmap::SecondaryMap;

use crate::{start_rate::Pace, QueuedRequest};

/// The virtual time that a request of cost 1 takes an account of weight 1.
const TAG_UNIT: u64 = 1_024;

/// A request and when it began to wait.
#[derive(Debug)]
struct Held<T> {
    since: u64,
    waiting: QueuedRequest<T>,
}

#[derive(Debug)]
struct Line<T> {
    waiting: VecDeque<Held<T>>,
    /// The virtual time at which the first request starts, or the next one if none waits.
    start: u64,
    /// The virtual time that all requests of the line take.
    length: u64,
    /// How fast requests of this line start while others of it wait.
    pace: Option<Pace>,
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
    /// How fast requests of this lane start while others of it wait.
    pace: Pace,
    time: u64,
    len: usize,
    /// No deadline is before this one.
    expiry: u64,
}

impl<T> Lane<T> {
    /// Makes an empty lane that expects `per_s` requests to start each second.
    pub(crate) fn new(per_s: f64) -> Self {
        Self {
            pace: Pace::new(per_s),
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

    pub(crate) fn push(&mut self, waiting: QueuedRequest<T>, now_ms: u64) {
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
        self.pace = self.pace.offered(now_ms);
        self.expiry = self.expiry.min(waiting.deadline);
        line.length += span(&waiting);
        line.pace = line.pace.map(|pace| pace.offered(now_ms));
        line.waiting.push_back(Held {
            since: now_ms,
            waiting,
        });
    }

    pub(crate) fn pop(&mut self, now_ms: u64) -> Option<QueuedRequest<T>> {
        let (start, key) = self.heads.pop_first()?;
        self.time = start;
        let line = &mut self.lines[key];
        let Held { waiting, .. } = line.waiting.pop_front()?;
        let span = span(&waiting);
        line.start += span;
        line.length -= span;
        // A line without a pace of its own starts from that of the lane.
        let pace = line.pace.unwrap_or_else(|| self.pace.idle());
        line.pace = Some(pace.taken(now_ms, line.waiting.is_empty()));
        if !line.waiting.is_empty() {
            self.heads.insert((line.start, key));
        }
        self.len -= 1;
        self.pace = self.pace.taken(now_ms, self.len == 0);
        Some(waiting)
    }

    /// Takes out the requests whose deadline has passed.
    pub(crate) fn expire(&mut self, now_ms: u64) -> Vec<QueuedRequest<T>> {
        if self.len == 0 || now_ms < self.expiry {
            return Vec::new();
        }
        self.expiry = u64::MAX;
        let mut late = Vec::new();
        for line in self.lines.values_mut() {
            let (gone, kept) = line
                .waiting
                .drain(..)
                .partition::<VecDeque<_>, _>(|held| held.waiting.deadline <= now_ms);
            line.length = kept.iter().map(|held| span(&held.waiting)).sum();
            line.waiting = kept;
            if line.waiting.is_empty() {
                line.pace = line.pace.map(Pace::idle);
            }
            let earliest = line.waiting.iter().map(|held| held.waiting.deadline).min();
            self.expiry = self.expiry.min(earliest.unwrap_or(u64::MAX));
            late.extend(gone.into_iter().map(|held| held.waiting));
        }
        self.len -= late.len();
        if self.len == 0 {
            self.pace = self.pace.idle();
        }
        let lines = &self.lines;
        self.heads
            .retain(|(_, key)| !lines[*key].waiting.is_empty());
        late
    }

    /// Estimates the time until a new request of `account` starts, in milliseconds.
    ///
    /// It is the longest of three: what is ahead by the pace of the lane; what is in the account's
    /// line by the pace of that line, since others go on coming and what waits of them now is too
    /// little to count; and what the first of the line has waited until now.
    pub(crate) fn wait_ms(&self, account: AccountKey, now_ms: u64) -> f64 {
        let of_lane = self.pace.wait_ms(self.ahead(account) + 1.0, now_ms);
        self.lines.get(account).map_or(of_lane, |line| {
            let count = line.waiting.len() as f64 + 1.0;
            let of_line = line.pace.map_or(0.0, |pace| pace.wait_ms(count, now_ms));
            let first = line.waiting.front();
            let waited = first.map_or(0, |first| now_ms.saturating_sub(first.since));
            of_lane.max(of_line).max(waited as f64)
        })
    }

    /// Estimates the time until one request starts, in milliseconds.
    pub(crate) fn one_ms(&self, now_ms: u64) -> f64 {
        self.pace.wait_ms(1.0, now_ms)
    }

    /// Estimates how many requests are served before a new one of `account`.
    fn ahead(&self, account: AccountKey) -> f64 {
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
            pace: None,
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

fn span<T>(waiting: &QueuedRequest<T>) -> u64 {
    let cost = u64::from(waiting.cost.max(1));
    (cost * TAG_UNIT / u64::from(waiting.weight.max(1))).max(1)
}
