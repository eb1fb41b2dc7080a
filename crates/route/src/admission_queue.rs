//! Queueing and admission of requests, fair between accounts.

use std::time::Duration;

use celerypond_types::{AccountKey, NotRunReason, Priority};
use slotmap::SecondaryMap;

use crate::fair_queue::FairQueue;

/// While both priorities are waiting, one in this many requests taken is a draft.
const DRAFT_INTERVAL: u32 = 8;

/// The factor on the expected wait when it is compared with the deadline. A request that is
/// admitted and then expires has cost its client the time in which to try elsewhere.
const WAIT_SAFETY_FACTOR: f64 = 1.5;

/// Limits on the number of queued requests.
#[derive(Clone, Copy, Debug)]
pub struct QueueLimits {
    /// The limit for all accounts together.
    pub total: usize,
    /// The limit for each account.
    pub per_account: usize,
}

impl Default for QueueLimits {
    fn default() -> Self {
        Self {
            total: 4_096,
            per_account: 1_024,
        }
    }
}

/// A request to be queued.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QueuedRequest<T> {
    /// The account that sent it.
    pub account: AccountKey,
    /// The account's weight in fair queueing, at least 1.
    pub weight: u32,
    /// Its priority.
    pub priority: Priority,
    /// The amount of work, at least 1, in any unit that is common to all requests.
    pub cost: u32,
    /// The time by which it must start, in milliseconds.
    pub deadline: u64,
    /// The caller's data for the request.
    pub item: T,
}

/// A rejected request, which is not queued.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Why the request did not run.
    pub reason: NotRunReason,
    /// The time after which a retry is likely to be admitted.
    pub retry_after: Duration,
}

/// The queue of requests waiting for capacity in one pool.
///
/// Under overload, an unbounded queue would make every request wait until its client has given up,
/// and targets would do work whose result nobody reads. A request whose expected wait exceeds its
/// deadline is therefore refused on arrival, while the client still has time to try elsewhere.
/// Refused requests are never held back in the hope of capacity.
///
/// # Examples
///
/// ```
/// use celerypond_route::{AdmissionQueue, QueueLimits, QueuedRequest};
/// use celerypond_types::{AccountKey, Priority};
/// use slotmap::SlotMap;
///
/// let mut accounts = SlotMap::<AccountKey, ()>::with_key();
/// let account = accounts.insert(());
/// let mut queue = AdmissionQueue::new(QueueLimits::default(), 10.0); // Initially assumes 10 starts per second.
/// let request = |item, deadline| QueuedRequest {
///     account,
///     weight: 1,
///     priority: Priority::Interactive,
///     cost: 1,
///     deadline,
///     item,
/// };
/// assert!(queue.try_push(request('a', 500), 0).is_ok());
/// assert!(queue.try_push(request('b', 500), 0).is_ok());
/// // The third would start after 300 ms.
/// assert!(queue.try_push(request('c', 250), 0).is_err());
/// assert_eq!(queue.pop(10).map(|request| request.item), Some('a'));
/// ```
#[derive(Debug)]
pub struct AdmissionQueue<T> {
    limits: QueueLimits,
    queues: [FairQueue<T>; 2],
    /// Interactive requests taken since the last draft.
    interactive_run: u32,
    queued_by_account: SecondaryMap<AccountKey, usize>,
}

impl<T> AdmissionQueue<T> {
    /// Creates an empty queue that assumes `per_s` starts per second until it has measured the
    /// rate.
    pub fn new(limits: QueueLimits, per_s: f64) -> Self {
        Self {
            limits,
            queues: [
                FairQueue::new(per_s),
                FairQueue::new(per_s / f64::from(DRAFT_INTERVAL)),
            ],
            interactive_run: 0,
            queued_by_account: SecondaryMap::new(),
        }
    }

    /// Queues a request, or refuses it immediately.
    ///
    /// # Errors
    ///
    /// A [`Refusal`] if the queue is full or the expected wait exceeds the deadline.
    pub fn try_push(&mut self, request: QueuedRequest<T>, now_ms: u64) -> Result<(), Refusal> {
        let wait_ms = self.expected_wait_ms(&request, now_ms);
        let queued = self
            .queued_by_account
            .get(request.account)
            .copied()
            .unwrap_or(0);
        let is_full = self.len() >= self.limits.total || queued >= self.limits.per_account;
        let is_late = now_ms as f64 + wait_ms * WAIT_SAFETY_FACTOR > request.deadline as f64;
        if is_full || is_late {
            let time_left_ms = request.deadline.saturating_sub(now_ms);
            return Err(self.refusal(wait_ms * WAIT_SAFETY_FACTOR - time_left_ms as f64));
        }
        self.queued_by_account.insert(request.account, queued + 1);
        self.queues[queue_index(request.priority)].push(request, now_ms);
        Ok(())
    }

    /// Takes the next request, when there is capacity for any.
    pub fn pop(&mut self, now_ms: u64) -> Option<QueuedRequest<T>> {
        let index = self.next_queue()?;
        self.pop_from(index, now_ms)
    }

    /// Takes the next interactive request, when there is capacity only for those, unless it is a
    /// draft's turn: capacity reserved for interactive requests must not starve drafts.
    pub fn pop_interactive(&mut self, now_ms: u64) -> Option<QueuedRequest<T>> {
        let index = self.next_queue()?;
        (index == 0).then(|| self.pop_from(index, now_ms))?
    }

    /// Removes the requests whose deadline has passed; the caller must refuse them immediately.
    pub fn expire(&mut self, now_ms: u64) -> Vec<(QueuedRequest<T>, Refusal)> {
        let [interactive, drafts] = &mut self.queues;
        let mut expired = interactive.expire(now_ms);
        expired.extend(drafts.expire(now_ms));
        for request in &expired {
            self.queued_by_account[request.account] -= 1;
        }
        let refused = expired.into_iter().map(|request| {
            let wait_ms = self.expected_wait_ms(&request, now_ms);
            (request, self.refusal(wait_ms))
        });
        refused.collect()
    }

    /// Returns the earliest deadline of all queued requests, as the time of the next call of
    /// [`Self::expire`].
    pub fn next_expiry(&self) -> Option<u64> {
        self.queues.iter().filter_map(FairQueue::next_expiry).min()
    }

    /// Returns the number of queued requests.
    pub fn len(&self) -> usize {
        self.queues.iter().map(FairQueue::len).sum()
    }

    /// Returns whether no request is queued.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Estimates how long a request would wait before it starts, in milliseconds.
    pub fn expected_wait_ms(&self, request: &QueuedRequest<T>, now_ms: u64) -> f64 {
        self.queues[queue_index(request.priority)].wait_ms(request.account, now_ms)
    }

    /// Creates the refusal of a request that would start `over_ms` too late. After this time the
    /// queue will be short enough to admit it.
    fn refusal(&self, over_ms: f64) -> Refusal {
        let over_ms = over_ms.max(self.queues[0].start_interval_ms(0));
        Refusal {
            reason: NotRunReason::Overload,
            retry_after: Duration::from_millis(over_ms.ceil() as u64),
        }
    }

    fn pop_from(&mut self, index: usize, now_ms: u64) -> Option<QueuedRequest<T>> {
        let request = self.queues[index].pop(now_ms)?;
        self.interactive_run = if index == 0 {
            self.interactive_run + 1
        } else {
            0
        };
        self.queued_by_account[request.account] -= 1;
        Some(request)
    }

    /// Chooses the interactive queue, except for one turn in [`DRAFT_INTERVAL`], so that drafts are
    /// not starved.
    fn next_queue(&self) -> Option<usize> {
        match (self.queues[0].len(), self.queues[1].len()) {
            (0, 0) => None,
            (0, _) => Some(1),
            (_, 0) => Some(0),
            _ if self.interactive_run + 1 >= DRAFT_INTERVAL => Some(1),
            _ => Some(0),
        }
    }
}

const fn queue_index(priority: Priority) -> usize {
    match priority {
        Priority::Interactive => 0,
        Priority::Draft => 1,
    }
}
