use slotmap::{new_key_type, SlotMap};
use tokio::time::Instant;

use crate::caller_use::{CallerShare, CallerStage, CallerUse};

new_key_type! {
    /// The key of a connection for requests.
    pub struct CallerKey;
}

/// The part of the maximum that may be held by connections which were told to give it up.
const MAX_RELEASING_DIVISOR: usize = 4;

/// How a connection has to give up what it holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Eviction {
    /// Its request is refused, as it was not received whole.
    Reject(CallerKey),
    /// It is closed.
    Close(CallerKey),
}

/// One account of all that callers make the process hold, by connection.
///
/// Its load is many callers that send large requests, or stop in the middle of one, and keep their
/// connections. No connection may hold more than the others leave free, so that small requests are
/// received however many large ones there are. If there is no room, those connections go first that
/// hold the most for the longest time, which are not those of callers that send without a pause.
/// Requests that were received whole are served.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// use celerypond_relay::{CallerBudget, CallerShare, CallerStage, Eviction};
/// use tokio::time::Instant;
///
/// let start = Instant::now();
/// let mut budget = CallerBudget::new(1 << 20, 100);
/// let stopped = budget.open(start)?.key;
/// budget.enter(stopped, CallerStage::Receiving, start);
/// assert!(budget.resize(stopped, CallerShare::Body, 400 << 10, start).is_empty());
///
/// let later = start + Duration::from_secs(2);
/// let other = budget.open(later)?.key;
/// budget.enter(other, CallerStage::Receiving, later);
/// let evicted = budget.resize(other, CallerShare::Body, 400 << 10, later);
/// assert_eq!(evicted, [Eviction::Reject(stopped)]);
/// # Ok::<(), celerypond_relay::TooManyCallers>(())
/// ```
#[derive(Debug)]
pub struct CallerBudget {
    max_bytes: usize,
    max_connections: usize,
    used: usize,
    /// The bytes that connections were told to give up and have not freed yet.
    releasing: usize,
    /// The connections that were told to close and have not ended.
    closing: usize,
    connections: SlotMap<CallerKey, CallerUse>,
}

/// A connection that was opened, and those that go for it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OpenedCaller {
    /// Its key.
    pub key: CallerKey,
    /// The connections that have to give up what they hold.
    pub evicted: Vec<Eviction>,
}

/// The error that there are as many connections as there may be, and a request runs on each.
#[derive(Clone, Copy, Debug, thiserror::Error, PartialEq, Eq)]
#[error("too many requests are being served")]
pub struct TooManyCallers;

impl CallerBudget {
    /// Creates an account for this many bytes and connections.
    pub fn new(max_bytes: usize, max_connections: usize) -> Self {
        Self {
            max_bytes,
            max_connections,
            used: 0,
            releasing: 0,
            closing: 0,
            connections: SlotMap::with_key(),
        }
    }

    /// Returns the number of bytes that are held.
    pub const fn used(&self) -> usize {
        self.used
    }

    /// Returns whether connections have yet to free so much that no more should be read before.
    ///
    /// What they were told to give up no longer counts as used, but all others could be read into
    /// memory before the first of them gets to free it.
    pub const fn is_releasing(&self) -> bool {
        self.releasing > self.max_bytes / MAX_RELEASING_DIVISOR
    }

    /// Adds a connection, which waits for a request.
    ///
    /// # Errors
    ///
    /// [`TooManyCallers`] if there are too many, and none of them can be closed.
    pub fn open(&mut self, now: Instant) -> Result<OpenedCaller, TooManyCallers> {
        let mut evicted = Vec::new();
        if self.connections.len() - self.closing >= self.max_connections {
            let victim = self.victim(now).ok_or(TooManyCallers)?;
            evicted.push(self.evict(victim, true));
        }
        let connection = CallerUse::new(now);
        self.used += connection.bytes();
        let key = self.connections.insert(connection);
        evicted.extend(self.make_room(key, now));
        Ok(OpenedCaller { key, evicted })
    }

    /// Changes what a connection does. Returns the connections that have to give up what they hold.
    pub fn enter(&mut self, key: CallerKey, stage: CallerStage, now: Instant) -> Vec<Eviction> {
        self.change(key, now, |connection| connection.enter(stage, now))
    }

    /// Changes what a connection holds. Returns the connections that have to give up what they
    /// hold, among which may be this one.
    pub fn resize(
        &mut self,
        key: CallerKey,
        share: CallerShare,
        bytes: usize,
        now: Instant,
    ) -> Vec<Eviction> {
        self.change(key, now, |connection| connection.resize(share, bytes))
    }

    fn change(
        &mut self,
        key: CallerKey,
        now: Instant,
        change: impl FnOnce(&mut CallerUse),
    ) -> Vec<Eviction> {
        let Some(connection) = self.connections.get_mut(key) else {
            return Vec::new();
        };
        let (previous, releasing) = (connection.bytes(), connection.releasing());
        change(connection);
        let current = connection.bytes();
        self.used = self.used - previous + current;
        self.releasing = self.releasing - releasing + connection.releasing();
        match current > previous {
            true => self.make_room(key, now),
            false => Vec::new(),
        }
    }

    /// Removes a connection that has ended.
    pub fn close(&mut self, key: CallerKey) {
        if let Some(connection) = self.connections.remove(key) {
            self.used -= connection.bytes();
            self.releasing -= connection.releasing();
            self.closing -= usize::from(connection.is_closing());
        }
    }

    /// Evicts connections until the bytes fit, and those of this connection are at most what the
    /// others leave free.
    fn make_room(&mut self, key: CallerKey, now: Instant) -> Vec<Eviction> {
        let mut evicted = Vec::new();
        while !self.fits(key) {
            let Some(victim) = self.victim(now) else {
                break;
            };
            evicted.push(self.evict(victim, false));
            if victim == key {
                break;
            }
        }
        evicted
    }

    fn fits(&self, key: CallerKey) -> bool {
        let own = self.connections.get(key).map_or(0, CallerUse::bytes);
        self.used + own <= self.max_bytes
    }

    /// Returns the connection that holds the most for the longest time, among those that can be
    /// evicted.
    fn victim(&self, now: Instant) -> Option<CallerKey> {
        let connections = self.connections.iter();
        let evictable = connections.filter(|(_, connection)| connection.is_evictable());
        let victim = evictable.max_by_key(|(_, connection)| connection.cost(now));
        victim.map(|(key, _)| key)
    }

    /// Evicts a connection, whose request is rejected first unless it has to close at once.
    fn evict(&mut self, key: CallerKey, must_close: bool) -> Eviction {
        let Some(connection) = self.connections.get_mut(key) else {
            return Eviction::Close(key);
        };
        self.used -= connection.bytes();
        self.releasing -= connection.releasing();
        let is_rejected = !must_close && connection.reject();
        if !is_rejected {
            connection.close();
            self.closing += 1;
        }
        self.used += connection.bytes();
        self.releasing += connection.releasing();
        match is_rejected {
            true => Eviction::Reject(key),
            false => Eviction::Close(key),
        }
    }
}
