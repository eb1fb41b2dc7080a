//! Start-time fair queueing between accounts, for the requests of one priority.

use std::collections::{BTreeSet, VecDeque};

use celerypond_types::AccountKey;
use slotmap::SecondaryMap;

use crate::{start_rate::StartRate, QueuedRequest};

/// The virtual time of a request of cost 1 from an account of weight 1.
const VIRTUAL_TIME_UNIT: u64 = 1_024;

/// A queued request and the time it was queued, in milliseconds.
#[derive(Debug)]
struct Queued<T> {
    since: u64,
    request: QueuedRequest<T>,
}

#[derive(Debug)]
struct AccountQueue<T> {
    requests: VecDeque<Queued<T>>,
    /// The virtual start time of the first request, or of the next one if none is queued.
    next_start: u64,
    /// The sum of the virtual costs of all queued requests.
    virtual_length: u64,
    /// The rate at which requests of this account start while others of it wait.
    start_rate: Option<StartRate>,
}

/// The queued requests of one priority.
///
/// Each account has its own queue. The one with the lowest virtual start time is served, and its
/// start time then advances by the request's cost divided by the account's weight. An account that
/// was idle resumes at the current virtual time: it neither saves up service nor owes any.
#[derive(Debug)]
pub(crate) struct FairQueue<T> {
    accounts: SecondaryMap<AccountKey, AccountQueue<T>>,
    /// The accounts with queued requests, by virtual start time.
    heads: BTreeSet<(u64, AccountKey)>,
    /// The rate at which requests of this priority start while others of it wait.
    start_rate: StartRate,
    virtual_time: u64,
    len: usize,
    /// A lower bound of all deadlines.
    earliest_deadline: u64,
}

impl<T> FairQueue<T> {
    /// Creates an empty queue that assumes `per_s` starts per second.
    pub(crate) fn new(per_s: f64) -> Self {
        Self {
            start_rate: StartRate::new(per_s),
            accounts: SecondaryMap::new(),
            heads: BTreeSet::new(),
            virtual_time: 0,
            len: 0,
            earliest_deadline: u64::MAX,
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.len
    }

    pub(crate) fn next_expiry(&self) -> Option<u64> {
        (self.len > 0).then_some(self.earliest_deadline)
    }

    pub(crate) fn push(&mut self, request: QueuedRequest<T>, now_ms: u64) {
        let key = request.account;
        if !self.accounts.contains_key(key) {
            self.accounts
                .insert(key, AccountQueue::new(self.virtual_time));
        }
        let queue = &mut self.accounts[key];
        if queue.requests.is_empty() {
            queue.next_start = queue.next_start.max(self.virtual_time);
            self.heads.insert((queue.next_start, key));
        }
        self.len += 1;
        self.start_rate = self.start_rate.record_arrival(now_ms);
        self.earliest_deadline = self.earliest_deadline.min(request.deadline);
        queue.virtual_length += virtual_cost(&request);
        queue.start_rate = queue
            .start_rate
            .map(|start_rate| start_rate.record_arrival(now_ms));
        queue.requests.push_back(Queued {
            since: now_ms,
            request,
        });
    }

    pub(crate) fn pop(&mut self, now_ms: u64) -> Option<QueuedRequest<T>> {
        let (start, key) = self.heads.pop_first()?;
        self.virtual_time = start;
        let queue = &mut self.accounts[key];
        let Queued { request, .. } = queue.requests.pop_front()?;
        let virtual_cost = virtual_cost(&request);
        queue.next_start += virtual_cost;
        queue.virtual_length -= virtual_cost;
        // An account without a rate of its own starts from the rate of all accounts.
        let start_rate = queue.start_rate.unwrap_or_else(|| self.start_rate.paused());
        queue.start_rate = Some(start_rate.record_start(now_ms, queue.requests.is_empty()));
        if !queue.requests.is_empty() {
            self.heads.insert((queue.next_start, key));
        }
        self.len -= 1;
        self.start_rate = self.start_rate.record_start(now_ms, self.len == 0);
        Some(request)
    }

    /// Removes the requests whose deadline has passed.
    pub(crate) fn expire(&mut self, now_ms: u64) -> Vec<QueuedRequest<T>> {
        if self.len == 0 || now_ms < self.earliest_deadline {
            return Vec::new();
        }
        self.earliest_deadline = u64::MAX;
        let mut expired = Vec::new();
        for queue in self.accounts.values_mut() {
            let (gone, kept) = queue
                .requests
                .drain(..)
                .partition::<VecDeque<_>, _>(|queued| queued.request.deadline <= now_ms);
            queue.virtual_length = kept
                .iter()
                .map(|queued| virtual_cost(&queued.request))
                .sum();
            queue.requests = kept;
            if queue.requests.is_empty() {
                queue.start_rate = queue.start_rate.map(StartRate::paused);
            }
            let earliest = queue
                .requests
                .iter()
                .map(|queued| queued.request.deadline)
                .min();
            self.earliest_deadline = self.earliest_deadline.min(earliest.unwrap_or(u64::MAX));
            expired.extend(gone.into_iter().map(|queued| queued.request));
        }
        self.len -= expired.len();
        if self.len == 0 {
            self.start_rate = self.start_rate.paused();
        }
        let accounts = &self.accounts;
        self.heads
            .retain(|(_, key)| !accounts[*key].requests.is_empty());
        expired
    }

    /// Estimates the time until a new request of `account` starts, in milliseconds.
    ///
    /// The estimate is the largest of three: the requests ahead of it at the rate of all accounts;
    /// the account's own queue at the account's rate, since other accounts keep sending and their
    /// present queues understate them; and the time that the account's first request has already
    /// waited.
    pub(crate) fn wait_ms(&self, account: AccountKey, now_ms: u64) -> f64 {
        let by_priority = self
            .start_rate
            .wait_ms(self.requests_ahead(account) + 1.0, now_ms);
        self.accounts.get(account).map_or(by_priority, |queue| {
            let count = queue.requests.len() as f64 + 1.0;
            let by_account = queue
                .start_rate
                .map_or(0.0, |start_rate| start_rate.wait_ms(count, now_ms));
            let first = queue.requests.front();
            let waited = first.map_or(0, |first| now_ms.saturating_sub(first.since));
            by_priority.max(by_account).max(waited as f64)
        })
    }

    /// Estimates the time until the next request starts, in milliseconds.
    pub(crate) fn start_interval_ms(&self, now_ms: u64) -> f64 {
        self.start_rate.wait_ms(1.0, now_ms)
    }

    /// Estimates how many requests are served before a new one of `account`.
    fn requests_ahead(&self, account: AccountKey) -> f64 {
        let own = self.accounts.get(account);
        let start = own.map_or(self.virtual_time, |queue| {
            queue.next_start.max(self.virtual_time) + queue.virtual_length
        });
        let keys = self.heads.iter();
        let requests_before = keys.map(|(_, key)| match *key == account {
            true => self.accounts[*key].requests.len() as f64,
            false => self.accounts[*key].requests_before(start),
        });
        requests_before.sum()
    }
}

impl<T> AccountQueue<T> {
    fn new(next_start: u64) -> Self {
        Self {
            requests: VecDeque::new(),
            next_start,
            virtual_length: 0,
            start_rate: None,
        }
    }

    /// Estimates how many requests of this account start before the given virtual time.
    fn requests_before(&self, virtual_time: u64) -> f64 {
        let count = self.requests.len() as f64;
        let mean = (self.virtual_length as f64 / count.max(1.0)).max(1.0);
        // Of two requests with the same virtual time, the one already queued goes first.
        let fit = (virtual_time.saturating_sub(self.next_start) as f64 / mean).floor() + 1.0;
        match virtual_time < self.next_start {
            true => 0.0,
            false => fit.min(count),
        }
    }
}

fn virtual_cost<T>(request: &QueuedRequest<T>) -> u64 {
    let cost = u64::from(request.cost.max(1));
    (cost * VIRTUAL_TIME_UNIT / u64::from(request.weight.max(1))).max(1)
}
