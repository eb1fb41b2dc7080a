//! Paces the resumes after a loss of many engines at once.

use std::collections::BTreeSet;

use celerypond_types::{TargetKey, VersionKey};
use slotmap::{SecondaryMap, SlotMap};
use tokio::time::Instant;

slotmap::new_key_type! {
    /// An answer that waits for a target to resume at.
    pub struct WaiterKey;
}

/// Bounds of the resumes that run at once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResumeLimits {
    /// How many resumes one target reads prefixes for at once, from this instance.
    pub per_target: u32,
}

/// Paces the resumes after a loss of many engines at once.
///
/// The failure: a third of the engines is lost, and all their answers resume elsewhere at once. An
/// engine that reads many prefixes at once gives no token to any of its streams meanwhile, so the
/// symptom would be a stall of every answer. Here a target reads few at a time, those come first
/// whose caller has waited longest, and new answers wait until no resume does.
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
    /// Tells waiters of one moment apart, in order of arrival.
    arrival: u64,
}

/// A resume that may start now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Grant {
    /// The answer.
    pub waiter: WaiterKey,
    /// Where to resume it.
    pub target: TargetKey,
}

/// How many prefixes a target reads at once; measured, see the design note.
const TARGET_RESUMES: u32 = 8;

impl Default for ResumeLimits {
    fn default() -> Self {
        Self::per_instance(1)
    }
}

impl ResumeLimits {
    /// Returns the limits of one of `instances` that send to the same targets.
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
    /// Starts without a waiter.
    pub fn new(limits: ResumeLimits) -> Self {
        Self {
            limits,
            waiters: SlotMap::with_key(),
            queue: BTreeSet::new(),
            running: SecondaryMap::new(),
            arrivals: 0,
        }
    }

    /// Changes the bounds, as instances come or go; resumes that run already go on.
    pub fn set_limits(&mut self, limits: ResumeLimits) {
        self.limits = limits;
    }

    /// Lets an answer of `version` wait whose caller had its last token at `since`.
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

    /// Takes back a wait.
    pub fn cancel(&mut self, key: WaiterKey) {
        if let Some(waiter) = self.waiters.remove(key) {
            self.queue.remove(&(waiter.since, waiter.arrival, key));
        }
    }

    /// Grants the resume that has waited longest among those for which `choose` finds a target.
    ///
    /// `choose` gets the version and a test of whether a target may take one more. Each version is
    /// asked for once at most.
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

    /// Ends a resume at `target`: its first token came, or it failed.
    pub fn release(&mut self, target: TargetKey) {
        if let Some(running) = self.running.get_mut(target) {
            *running = running.saturating_sub(1);
        }
    }

    /// Forgets a target that is gone.
    pub fn remove_target(&mut self, target: TargetKey) {
        self.running.remove(target);
    }

    /// Returns whether a new answer of `version` may start: none waits to be resumed.
    pub fn admits_new(&self, version: VersionKey) -> bool {
        self.waiters
            .values()
            .all(|waiter| waiter.version != version)
    }

    /// Returns whether `target` may take one more resume.
    pub fn has_capacity(&self, target: TargetKey) -> bool {
        self.running.get(target).copied().unwrap_or(0) < self.limits.per_target
    }

    /// Returns how many answers wait.
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
