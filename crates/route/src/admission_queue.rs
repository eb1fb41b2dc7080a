//! Requests that wait for room, served fairly between accounts.

use std::time::Duration;

use celerypond_types::{AccountKey, NotRunReason, Priority};
use slotmap::SecondaryMap;

use crate::fair_queue::Lane;

/// Of so many requests taken while both priorities wait, one is a draft.
const DRAFT_TURN: u32 = 8;

/// The expected wait counts so many times against the deadline: a request that is let in and then
/// not served in time has cost its caller the time to go elsewhere.
const MARGIN: f64 = 1.5;

/// How many requests may wait.
#[derive(Clone, Copy, Debug)]
pub struct QueueLimits {
    /// In all.
    pub total: usize,
    /// For one account.
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

/// A request that waits.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QueuedRequest<T> {
    /// Whose request it is; a key of the accounts arena.
    pub account: AccountKey,
    /// The account's part in fair queueing, at least 1.
    pub weight: u32,
    /// How urgent it is.
    pub priority: Priority,
    /// How much work it is, in any unit that is the same for all requests; at least 1.
    pub cost: u32,
    /// When its caller stops waiting for it to start, in milliseconds.
    pub deadline: u64,
    /// What the caller of the queue knows it by.
    pub item: T,
}

/// A refusal, final at once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Why the request did not run.
    pub reason: NotRunReason,
    /// When a new try is likely to be admitted.
    pub retry_after: Duration,
}

/// Requests that wait for room in one pool.
///
/// The failure: under overload every request waits until its caller has given up, and targets do
/// work that nobody reads. So a request whose expected wait is past its deadline is refused when
/// it comes, and the caller can go elsewhere while there is time. A refused request is never held
/// back in the hope of room.
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
/// let mut queue = AdmissionQueue::new(QueueLimits::default(), 10.0); // 10 a second at first.
/// let wait = |item, deadline| QueuedRequest {
///     account,
///     weight: 1,
///     priority: Priority::Interactive,
///     cost: 1,
///     deadline,
///     item,
/// };
/// assert!(queue.try_push(wait('a', 500), 0).is_ok());
/// assert!(queue.try_push(wait('b', 500), 0).is_ok());
/// // The third would start after 300 ms.
/// assert!(queue.try_push(wait('c', 250), 0).is_err());
/// assert_eq!(queue.pop(10).map(|waiting| waiting.item), Some('a'));
/// ```
#[derive(Debug)]
pub struct AdmissionQueue<T> {
    limits: QueueLimits,
    lanes: [Lane<T>; 2],
    /// Requests taken from the interactive lane since a draft was.
    urgent: u32,
    counts: SecondaryMap<AccountKey, usize>,
}

impl<T> AdmissionQueue<T> {
    /// Makes an empty queue that expects `per_s` requests to start each second until it has
    /// measured them.
    pub fn new(limits: QueueLimits, per_s: f64) -> Self {
        Self {
            limits,
            lanes: [Lane::new(per_s), Lane::new(per_s / f64::from(DRAFT_TURN))],
            urgent: 0,
            counts: SecondaryMap::new(),
        }
    }

    /// Lets a request wait, or refuses it at once.
    ///
    /// # Errors
    ///
    /// A [`Refusal`] when the queue is full or the expected wait is past the deadline.
    pub fn try_push(&mut self, waiting: QueuedRequest<T>, now_ms: u64) -> Result<(), Refusal> {
        let wait_ms = self.expected_wait_ms(&waiting, now_ms);
        let own = self.counts.get(waiting.account).copied().unwrap_or(0);
        let is_full = self.len() >= self.limits.total || own >= self.limits.per_account;
        let is_late = now_ms as f64 + wait_ms * MARGIN > waiting.deadline as f64;
        if is_full || is_late {
            let patience = waiting.deadline.saturating_sub(now_ms);
            return Err(self.refusal(wait_ms * MARGIN - patience as f64));
        }
        self.counts.insert(waiting.account, own + 1);
        self.lanes[lane(waiting.priority)].push(waiting, now_ms);
        Ok(())
    }

    /// Takes the next request when there is room for one.
    pub fn pop(&mut self, now_ms: u64) -> Option<QueuedRequest<T>> {
        let at = self.next_lane()?;
        self.take(at, now_ms)
    }

    /// Takes the next interactive request when there is only room for one of those, unless it is a
    /// draft's turn: the room that is only for interactive requests must not starve drafts.
    pub fn pop_interactive(&mut self, now_ms: u64) -> Option<QueuedRequest<T>> {
        let at = self.next_lane()?;
        (at == 0).then(|| self.take(at, now_ms))?
    }

    /// Takes out the requests whose deadline has passed; they are to be refused at once.
    pub fn expire(&mut self, now_ms: u64) -> Vec<(QueuedRequest<T>, Refusal)> {
        let [urgent, drafts] = &mut self.lanes;
        let mut late = urgent.expire(now_ms);
        late.extend(drafts.expire(now_ms));
        for waiting in &late {
            self.counts[waiting.account] -= 1;
        }
        let refused = late.into_iter().map(|waiting| {
            let wait_ms = self.expected_wait_ms(&waiting, now_ms);
            (waiting, self.refusal(wait_ms))
        });
        refused.collect()
    }

    /// Returns the earliest deadline of all that wait, for a timer that calls [`Self::expire`].
    pub fn next_expiry(&self) -> Option<u64> {
        self.lanes.iter().filter_map(Lane::next_expiry).min()
    }

    /// Returns how many requests wait.
    pub fn len(&self) -> usize {
        self.lanes.iter().map(Lane::len).sum()
    }

    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Estimates how long a request would wait until it starts, in milliseconds.
    pub fn expected_wait_ms(&self, waiting: &QueuedRequest<T>, now_ms: u64) -> f64 {
        self.lanes[lane(waiting.priority)].wait_ms(waiting.account, now_ms)
    }

    /// Refuses a request that would start `over_ms` too late: that is when the queue will have
    /// become short enough.
    fn refusal(&self, over_ms: f64) -> Refusal {
        let over_ms = over_ms.max(self.lanes[0].one_ms(0));
        Refusal {
            reason: NotRunReason::Overload,
            retry_after: Duration::from_millis(over_ms.ceil() as u64),
        }
    }

    fn take(&mut self, at: usize, now_ms: u64) -> Option<QueuedRequest<T>> {
        let waiting = self.lanes[at].pop(now_ms)?;
        self.urgent = if at == 0 { self.urgent + 1 } else { 0 };
        self.counts[waiting.account] -= 1;
        Some(waiting)
    }

    /// Chooses the interactive lane, but for one turn in [`DRAFT_TURN`]: drafts must not starve.
    fn next_lane(&self) -> Option<usize> {
        match (self.lanes[0].len(), self.lanes[1].len()) {
            (0, 0) => None,
            (0, _) => Some(1),
            (_, 0) => Some(0),
            _ if self.urgent + 1 >= DRAFT_TURN => Some(1),
            _ => Some(0),
        }
    }
}

const fn lane(priority: Priority) -> usize {
    match priority {
        Priority::Interactive => 0,
        Priority::Draft => 1,
    }
}
