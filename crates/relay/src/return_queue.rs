//! Callers that were put off and have not returned.

use std::{
    collections::{BTreeSet, HashMap, HashSet, VecDeque},
    ops::Range,
    time::Duration,
};

use tokio::time::Instant;

use crate::{PendingReturn, ReturnNotice, ReturnTiming, Returned, Urgency};

/// How long after it was due a caller is expected. It opens a connection, and its clock and that of
/// this machine are not the same.
const RETURN_GRACE: Duration = Duration::from_secs(2);
/// How long after it was due a caller that has returned, or that did not, is remembered. Notices of
/// it may still arrive, and it may be put off again.
const PAST_TTL: Duration = Duration::from_secs(20);
/// How much before its `Retry-After` a caller may return, as that is rounded.
const EARLY_TOLERANCE: Duration = Duration::from_millis(50);
/// How late a notice may arrive. Its times are relative, so that it seems due later by as much.
const NOTICE_TOLERANCE: Duration = Duration::from_secs(2);
/// The maximum number of callers, and of those remembered.
const MAX_CALLERS: usize = 8_192;
/// The number of callers that are dropped if there are more.
const DROPPED_CALLERS: usize = MAX_CALLERS / 16;
/// The maximum number of notices at once, so that they fit into a datagram.
const MAX_NOTICES: usize = 400;

/// The callers of all instances that were put off and have not returned.
///
/// If each instance of a large fleet knew only the callers that it put off itself, all instances
/// would send theirs back to the same free room, and callers that came later would be served before
/// them. Each instance therefore reports those that it put off to the others.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// use celerypond_relay::{PendingReturn, ReturnQueue, ReturnTiming, Urgency};
/// use tokio::time::Instant;
///
/// let now = Instant::now();
/// let mut queue = ReturnQueue::default();
/// let pending = PendingReturn { service: 1, urgency: Urgency::new(1), since: now,
///     due: now + Duration::from_secs(4) };
/// queue.put_off(7, pending);
/// assert_eq!(queue.count_before(1, Urgency::new(2), now), 1);
/// // The caller ignores its Retry-After, and still counts as put off.
/// let returned = queue.claim(7, now + Duration::from_secs(1)).expect("it was put off");
/// assert!(returned.is_early());
/// assert_eq!(queue.count_before(1, Urgency::new(2), now), 1);
/// let returned = queue.claim(7, now + Duration::from_secs(4)).expect("it was put off");
/// assert_eq!((returned.since, returned.timing), (now, ReturnTiming::OnTime));
/// assert_eq!(queue.count_before(1, Urgency::new(2), now), 0);
/// ```
#[derive(Clone, Debug, Default)]
pub struct ReturnQueue {
    pending: HashMap<u64, Entry>,
    /// The pending callers of each service in the order in which they are served. It is kept up to
    /// date because each new stream needs its place.
    ranks: HashMap<u64, Vec<Rank>>,
    /// When the pending callers of each service and level are due. Callers that retry at once make
    /// each instance count them often.
    dues: HashMap<(u64, Urgency), Vec<Due>>,
    /// Callers that have returned, or that did not in time.
    past: HashMap<u64, PastReturn>,
    /// When these were due, to remove the oldest ones first.
    past_dues: BTreeSet<(Instant, u64)>,
    unreported: VecDeque<u64>,
}

/// The place of a prompt part's caller among those of its service.
type Rank = (Urgency, Instant, u64);

/// When the caller of a prompt part is due.
type Due = (Instant, u64);

#[derive(Clone, Copy, Debug)]
struct Entry {
    pending: PendingReturn,
    /// The number of times that it was put off.
    attempts: u8,
    /// Whether this instance put it off last.
    is_own: bool,
    is_unreported: bool,
}

#[derive(Clone, Copy, Debug)]
struct PastReturn {
    since: Instant,
    due: Instant,
    attempts: u8,
    has_expired: bool,
}

impl Entry {
    fn is_newer_than(&self, notice: &ReturnNotice, pending: &PendingReturn, now: Instant) -> bool {
        let due = self.pending.due;
        // The sender may have missed earlier notices, so that it counts fewer attempts.
        let was_due = due <= now + EARLY_TOLERANCE;
        if was_due && pending.due > due + NOTICE_TOLERANCE {
            return false;
        }
        self.attempts > notice.attempts
            || (self.attempts == notice.attempts && (self.is_own || due >= pending.due))
    }
}

impl PastReturn {
    fn is_newer_than(&self, notice: &ReturnNotice, pending: &PendingReturn) -> bool {
        // The sender may have missed earlier notices, so that it counts fewer attempts.
        self.attempts >= notice.attempts && pending.due <= self.due + NOTICE_TOLERANCE
    }
}

impl ReturnQueue {
    /// Records that this instance put off the caller of a prompt part. A caller that was put off
    /// before keeps the time of its first attempt.
    pub fn put_off(&mut self, part: u64, pending: PendingReturn) {
        let previous = self.remove(part).map(|entry| {
            let pending = entry.pending;
            (pending.since, entry.attempts)
        });
        let past = self.forget(part);
        let previous = previous.or_else(|| past.map(|past| (past.since, past.attempts)));
        let (since, attempts) = previous.unwrap_or((pending.since, 0));
        let entry = Entry {
            pending: PendingReturn {
                since: since.min(pending.since),
                ..pending
            },
            attempts: attempts.saturating_add(1),
            is_own: true,
            is_unreported: true,
        };
        self.insert(part, entry);
        self.unreported.push_back(part);
        if self.unreported.len() > 2 * MAX_CALLERS {
            self.compact_unreported();
        }
    }

    /// Removes the caller of a prompt part, which has returned.
    pub fn take(&mut self, part: u64) -> Option<PendingReturn> {
        let entry = self.remove(part)?;
        self.remember(part, &entry, false);
        Some(entry.pending)
    }

    /// Records that the caller of a prompt part has returned. One that returns before its
    /// `Retry-After` still counts as put off until it is taken, and is not served before those that are due
    /// before it. Returns `None` if no put-off of it is cached.
    pub fn claim(&mut self, part: u64, now: Instant) -> Option<Returned> {
        let Some(entry) = self.pending.get(&part) else {
            let past = self.past.get_mut(&part)?;
            let timing = match std::mem::take(&mut past.has_expired) {
                true => ReturnTiming::Expired,
                false => ReturnTiming::Again,
            };
            return Some(Returned {
                since: past.since,
                timing,
                due_before: 0,
            });
        };
        let pending = entry.pending;
        let returned = |timing, due_before| Returned {
            since: pending.since,
            timing,
            due_before,
        };
        if now + EARLY_TOLERANCE < pending.due {
            let due_before = self.count_due_before(&pending, now);
            return Some(returned(ReturnTiming::Early, due_before));
        }
        self.take(part);
        match now.saturating_duration_since(pending.due) <= RETURN_GRACE {
            true => Some(returned(ReturnTiming::OnTime, 0)),
            false => Some(returned(ReturnTiming::Expired, 0)),
        }
    }

    /// Removes the callers of prompt parts that run at other instances. The lists of these may be
    /// older than the put-off here, so that callers not yet reported are kept.
    pub fn remove_placed(&mut self, parts: impl Iterator<Item = u64>) {
        // Lists of streams arrive many times a second, and mostly nobody is put off.
        if self.pending.is_empty() {
            return;
        }
        for part in parts {
            let entry = self.pending.get(&part);
            if entry.is_some_and(|entry| !entry.is_unreported) {
                self.take(part);
            }
        }
    }

    /// Returns the number of callers that were put off before `since` or are more urgent, and have
    /// not returned.
    pub fn count_before(&self, service: u64, urgency: Urgency, since: Instant) -> u32 {
        let Some(ranks) = self.ranks.get(&service) else {
            return 0;
        };
        ranks.partition_point(|(level, at, _)| (*level, *at) < (urgency, since)) as u32
    }

    /// Returns the number of callers that are put off.
    pub fn len(&self) -> usize {
        self.pending.len()
    }

    /// Returns whether no caller is put off.
    pub fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }

    /// Returns whether callers were put off since the last report.
    pub fn has_unreported(&self) -> bool {
        !self.unreported.is_empty()
    }

    /// Returns callers that were put off since the last report, for other instances; empty if there
    /// are no more.
    pub fn take_notices(&mut self, now: Instant) -> Vec<ReturnNotice> {
        let mut notices = Vec::new();
        while notices.len() < MAX_NOTICES {
            let Some(part) = self.unreported.pop_front() else {
                break;
            };
            let Some(entry) = self.pending.get_mut(&part) else {
                continue;
            };
            // A caller that was put off twice meanwhile is reported once.
            if !std::mem::take(&mut entry.is_unreported) {
                continue;
            }
            let pending = &entry.pending;
            notices.push(ReturnNotice {
                service: pending.service,
                part,
                urgency: pending.urgency,
                attempts: entry.attempts,
                waited_ms: millis(now.saturating_duration_since(pending.since)),
                due_ms: millis(pending.due.saturating_duration_since(now)),
            });
        }
        notices
    }

    /// Merges the report of another instance. Notices that are older than the cached state of their
    /// callers are ignored.
    pub fn merge(&mut self, notices: &[ReturnNotice], now: Instant) {
        if self.pending.len() + notices.len() > MAX_CALLERS {
            self.sweep(now);
        }
        for notice in notices {
            let Some(pending) = notice.pending(now) else {
                continue;
            };
            let previous = self.pending.get(&notice.part).copied();
            let past = self.past.get(&notice.part).copied();
            let is_older = previous.is_some_and(|entry| entry.is_newer_than(notice, &pending, now))
                || past.is_some_and(|past| past.is_newer_than(notice, &pending));
            if is_older {
                continue;
            }
            let since = previous.map(|entry| entry.pending.since);
            let since = since.or_else(|| past.map(|past| past.since));
            let attempts = previous.map(|entry| entry.attempts);
            let attempts = attempts.or_else(|| past.map(|past| past.attempts));
            self.forget(notice.part);
            self.remove(notice.part);
            let entry = Entry {
                pending: PendingReturn {
                    since: since.map_or(pending.since, |since| since.min(pending.since)),
                    ..pending
                },
                attempts: attempts.map_or(notice.attempts, |n| n.max(notice.attempts)),
                is_own: false,
                is_unreported: false,
            };
            self.insert(notice.part, entry);
        }
    }

    /// Removes the callers that did not return in time.
    pub fn sweep(&mut self, now: Instant) {
        while let Some((due, part)) = self.past_dues.first().copied() {
            if now.saturating_duration_since(due) <= PAST_TTL {
                break;
            }
            self.forget(part);
        }
        let mut expired = Vec::new();
        for dues in self.dues.values() {
            let is_expired = |(due, _): &&Due| now.saturating_duration_since(*due) > RETURN_GRACE;
            expired.extend(dues.iter().take_while(is_expired).map(|(_, part)| *part));
        }
        for part in expired {
            self.expire(part);
        }
    }

    /// Returns the number of callers of a service and level that were put off for the first time in a
    /// period and have not returned.
    pub(crate) fn count_between(
        &self,
        service: u64,
        urgency: Urgency,
        period: Range<Instant>,
    ) -> u32 {
        let [start, end] =
            [period.start, period.end].map(|at| self.count_before(service, urgency, at));
        end.saturating_sub(start)
    }

    /// Returns the number of callers of a service that are to return about a moment.
    pub(crate) fn count_due(&self, service: u64, at: Instant, margin: Duration) -> usize {
        let count = |level| {
            let dues = self.dues_of(service, level);
            let start = dues.partition_point(|(due, _)| *due + margin < at);
            let end = dues.partition_point(|(due, _)| *due <= at + margin);
            end - start
        };
        (0..Urgency::LEVELS).map(count).sum()
    }

    /// Returns the number of callers, at least as urgent as this one, that are due before it.
    fn count_due_before(&self, pending: &PendingReturn, now: Instant) -> u32 {
        let count = |level| {
            let dues = self.dues_of(pending.service, level);
            let is_expired = |(due, _): &Due| now.saturating_duration_since(*due) > RETURN_GRACE;
            let start = dues.partition_point(is_expired);
            let end = dues.partition_point(|(due, _)| *due < pending.due);
            end.saturating_sub(start) as u32
        };
        (0..=pending.urgency.level()).map(count).sum()
    }

    fn dues_of(&self, service: u64, level: usize) -> &[Due] {
        let dues = self.dues.get(&(service, Urgency::new(level)));
        dues.map_or(&[], Vec::as_slice)
    }

    fn insert(&mut self, part: u64, entry: Entry) {
        let pending = entry.pending;
        if self.pending.len() >= MAX_CALLERS {
            self.drop_last_due();
        }
        let rank = (pending.urgency, pending.since, part);
        let ranks = self.ranks.entry(pending.service).or_default();
        if let Err(index) = ranks.binary_search(&rank) {
            ranks.insert(index, rank);
        }
        let dues = self.dues.entry((pending.service, pending.urgency));
        let dues = dues.or_default();
        if let Err(index) = dues.binary_search(&(pending.due, part)) {
            dues.insert(index, (pending.due, part));
        }
        self.pending.insert(part, entry);
    }

    fn remove(&mut self, part: u64) -> Option<Entry> {
        let entry = self.pending.remove(&part)?;
        let pending = &entry.pending;
        if let Some(ranks) = self.ranks.get_mut(&pending.service) {
            let rank = (pending.urgency, pending.since, part);
            if let Ok(index) = ranks.binary_search(&rank) {
                ranks.remove(index);
            }
            if ranks.is_empty() {
                self.ranks.remove(&pending.service);
            }
        }
        let level = (pending.service, pending.urgency);
        if let Some(dues) = self.dues.get_mut(&level) {
            if let Ok(index) = dues.binary_search(&(pending.due, part)) {
                dues.remove(index);
            }
            if dues.is_empty() {
                self.dues.remove(&level);
            }
        }
        Some(entry)
    }

    /// Removes the callers that are due last, and remembers their first attempts: those that are due
    /// first are about to be served. Several at once, as all have to be compared.
    fn drop_last_due(&mut self) {
        let dues = self
            .pending
            .iter()
            .map(|(part, entry)| (entry.pending.due, *part));
        let mut dues: Vec<_> = dues.collect();
        dues.sort_unstable();
        for (_, part) in dues.into_iter().rev().take(DROPPED_CALLERS) {
            self.expire(part);
        }
    }

    /// Removes the prompt parts without a caller to be reported, and repeated ones.
    fn compact_unreported(&mut self) {
        let pending = &self.pending;
        let mut seen = HashSet::new();
        self.unreported.retain(|part| {
            pending.get(part).is_some_and(|entry| entry.is_unreported) && seen.insert(*part)
        });
    }

    fn expire(&mut self, part: u64) {
        if let Some(entry) = self.remove(part) {
            self.remember(part, &entry, true);
        }
    }

    fn remember(&mut self, part: u64, entry: &Entry, has_expired: bool) {
        self.forget(part);
        if self.past.len() >= MAX_CALLERS
            && let Some((_, oldest)) = self.past_dues.first().copied()
        {
            self.forget(oldest);
        }
        let past = PastReturn {
            since: entry.pending.since,
            due: entry.pending.due,
            attempts: entry.attempts,
            has_expired,
        };
        self.past_dues.insert((past.due, part));
        self.past.insert(part, past);
    }

    fn forget(&mut self, part: u64) -> Option<PastReturn> {
        let past = self.past.remove(&part)?;
        self.past_dues.remove(&(past.due, part));
        Some(past)
    }
}

fn millis(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}
