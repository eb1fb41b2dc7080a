//! Limits the rate of resumes after the loss of many engines.

use std::collections::BTreeSet;

use celerypond_types::{TargetKey, VersionKey};
use slotmap::{SecondaryMap, SlotMap};
use tokio::time::Instant;

slotmap::new_key_type! {
    /// The key of an answer that waits for a target to resume at.
    pub struct WaiterKey;
}

/// Limits of concurrent resumes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResumeLimits {
    /// For how many resumes of this instance a target may read prefixes concurrently.
    pub per_target: u32,
}

/// Limits the rate of resumes after the loss of many engines.
///
/// If, for example, a third of the engines is lost, all their answers resume at the remaining ones
/// at the same time. An engine that reads many prefixes generates no tokens in the meantime, so all
/// its other answers would stall as well. Therefore the scheduler limits the number of concurrent
/// resumes per target, serves first the answers whose callers have waited longest, and holds back
/// new answers while resumes wait.
///
/// # Examples
///
/// ```
/// use celerypond_answer::{ResumeScheduler, ResumeLimits};
/// use celerypond_types::{TargetKey, VersionKey};
/// use slotmap::SlotMap;
/// use tokio::time::Instant;
///
/// let target = SlotMap::<TargetKey, ()>::with_key().insert(());
/// let version = SlotMap::<VersionKey, ()>::with_key().insert(());
/// let mut scheduler = ResumeScheduler::new(ResumeLimits { per_target: 1 });
/// let waiter = scheduler.enqueue(version, Instant::now());
/// assert!(!scheduler.admits_new(version));
/// let grant = scheduler.grant(|_, free| free(target).then_some(target)).unwrap();
/// assert_eq!((grant.waiter, grant.target), (waiter, target));
/// assert!(scheduler.admits_new(version) && !scheduler.has_capacity(target));
/// scheduler.release(target);
/// assert!(scheduler.has_capacity(target));
/// ```
#[derive(Clone, Debug)]
pub struct ResumeScheduler {
    limits: ResumeLimits,
    waiters: SlotMap<WaiterKey, Waiter>,
    queue: BTreeSet<(Instant, u64, WaiterKey)>,
    running: SecondaryMap<TargetKey, u32>,
    arrivals: u64,
}

#[derive(Clone, Copy, Debug)]
struct Waiter {
    version: VersionKey,
    since: Instant,
    /// Orders waiters with the same `since` by arrival.
    arrival: u64,
}

/// A resume that may start now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Grant {
    /// The waiting answer.
    pub waiter: WaiterKey,
    /// The target to resume it at.
    pub target: TargetKey,
}

/// How many prefixes a target reads concurrently, for all instances together. The limit bounds how
/// long the target's other answers stall, since it generates none of their tokens while it reads.
const TARGET_RESUMES: u32 = 8;

impl Default for ResumeLimits {
    fn default() -> Self {
        Self::per_instance(1)
    }
}

impl ResumeLimits {
    /// Returns the limits of each instance if `instances` of them share the targets.
    ///
    /// # Examples
    ///
    /// ```
    /// use celerypond_answer::ResumeLimits;
    ///
    /// assert_eq!(ResumeLimits::per_instance(3).per_target, 2);
    /// assert_eq!(ResumeLimits::per_instance(900).per_target, 1);
    /// ```
    pub const fn per_instance(instances: u32) -> Self {
        let share = TARGET_RESUMES / if instances == 0 { 1 } else { instances };
        Self {
            per_target: if share == 0 { 1 } else { share },
        }
    }
}

impl ResumeScheduler {
    /// Creates a scheduler without waiters.
    pub fn new(limits: ResumeLimits) -> Self {
        Self {
            limits,
            waiters: SlotMap::with_key(),
            queue: BTreeSet::new(),
            running: SecondaryMap::new(),
            arrivals: 0,
        }
    }

    /// Changes the limits when the number of instances changes. Running resumes continue.
    pub fn set_limits(&mut self, limits: ResumeLimits) {
        self.limits = limits;
    }

    /// Adds an answer of `version` whose caller got its last token at `since`.
    pub fn enqueue(&mut self, version: VersionKey, since: Instant) -> WaiterKey {
        self.arrivals += 1;
        let waiter = Waiter {
            version,
            since,
            arrival: self.arrivals,
        };
        let key = self.waiters.insert(waiter);
        self.queue.insert((since, waiter.arrival, key));
        key
    }

    /// Removes a waiting answer.
    pub fn cancel(&mut self, key: WaiterKey) {
        if let Some(waiter) = self.waiters.remove(key) {
            self.queue.remove(&(waiter.since, waiter.arrival, key));
        }
    }

    /// Grants a resume to the answer whose caller has waited longest, among those for which
    /// `choose` finds a target.
    ///
    /// `choose` is called with a version and a predicate that tells whether a target has capacity.
    /// It is called at most once per version.
    pub fn grant(
        &mut self,
        mut choose: impl FnMut(VersionKey, &dyn Fn(TargetKey) -> bool) -> Option<TargetKey>,
    ) -> Option<Grant> {
        let mut full_versions = BTreeSet::new();
        for (_, _, key) in &self.queue {
            let version = self.waiters[*key].version;
            if full_versions.contains(&version) {
                continue;
            }
            let Some(target) = choose(version, &|target| self.has_capacity(target)) else {
                full_versions.insert(version);
                continue;
            };
            let grant = Grant {
                waiter: *key,
                target,
            };
            return Some(self.start(grant));
        }
        None
    }

    /// Ends a resume at `target`, after its first token arrived or after it failed.
    pub fn release(&mut self, target: TargetKey) {
        if let Some(running) = self.running.get_mut(target) {
            *running = running.saturating_sub(1);
        }
    }

    /// Removes a target that no longer exists.
    pub fn remove_target(&mut self, target: TargetKey) {
        self.running.remove(target);
    }

    /// Returns whether a new answer of `version` may start, because no resume of it waits.
    pub fn admits_new(&self, version: VersionKey) -> bool {
        self.waiters
            .values()
            .all(|waiter| waiter.version != version)
    }

    /// Returns whether `target` has capacity for another resume.
    pub fn has_capacity(&self, target: TargetKey) -> bool {
        self.running.get(target).copied().unwrap_or(0) < self.limits.per_target
    }

    /// Returns the number of waiting answers.
    pub fn waiting(&self) -> usize {
        self.waiters.len()
    }

    fn start(&mut self, grant: Grant) -> Grant {
        self.cancel(grant.waiter);
        // A target that was removed in the meantime has a stale key and is not counted.
        if let Some(entry) = self.running.entry(grant.target) {
            *entry.or_insert(0) += 1;
        }
        grant
    }
}
