//! What an instance knows of one target's load, in atomics that outlive a snapshot.

use std::sync::{
    atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering::Relaxed},
    Arc,
};

use arc_swap::ArcSwap;

use crate::RetryBudget;

/// Counts of open requests, one for each pool.
pub(crate) type Tallies = Vec<Arc<AtomicU32>>;

/// How long one mark of the history of open requests covers.
const MARK_MS: u64 = 250;
/// How many marks are kept: reports may lag by 16 * 250 ms = 4 s.
const MARKS: usize = 16;
/// How much a new service time counts against the mean of those before it.
const SERVICE_PART: f64 = 0.1;
/// The time in which requests are taken to turn over until some have ended, in milliseconds.
const FIRST_TURNOVER_MS: u32 = 4_000;
/// The age at which a word of a target about itself is too old to send work on it unasked.
pub const LIVENESS_TTL_MS: u64 = 2_000;
/// The bits of a packed report that hold the load.
const LOAD_BITS: u32 = 24;

/// What is typical of the targets of a pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PoolAverages {
    /// The mean load that other instances put on a target, in requests.
    pub remote_load: u32,
    /// The mean time that a request takes, in milliseconds: by then a target has other requests.
    pub service_ms: u32,
}

impl Default for PoolAverages {
    fn default() -> Self {
        Self {
            remote_load: 0,
            service_ms: FIRST_TURNOVER_MS,
        }
    }
}

/// What an instance knows of one target's load and state.
///
/// It is shared by all snapshots that contain the target, so a new snapshot loses no count. Loads
/// are in requests, running and queued.
///
/// # Examples
///
/// ```
/// use celerypond_route::{TargetState, PoolAverages};
///
/// let state = TargetState::new();
/// let averages = PoolAverages::default();
/// state.record_load(5_000, 3); // Three requests, sampled at 5 s.
/// let first = state.begin_request(5_100).unwrap();
/// assert_eq!(state.estimated_load(5_200, averages), 4); // The report and one sent since.
/// drop(first);
/// assert_eq!(state.estimated_load(5_200, averages), 3);
/// ```
#[derive(Debug)]
pub struct TargetState {
    open: AtomicU32,
    closed: AtomicBool,
    /// The sampling time in milliseconds above the load; 0 when nothing was reported.
    report: AtomicU64,
    /// The mean time that own requests took here, in milliseconds; 0 when none has ended.
    service: AtomicU32,
    /// When the target last said that it is live, in milliseconds; 0 when it never did.
    word: AtomicU64,
    /// The counts of open requests of the pools that the target is in.
    tallies: ArcSwap<Tallies>,
    /// The retries of calls that failed here.
    pub retry_budget: RetryBudget,
    /// The open requests at the last change in each slice of time: the slice above the count.
    marks: [AtomicU64; MARKS],
}

impl TargetState {
    /// Makes the gauge of a target that takes work.
    pub fn new() -> Arc<Self> {
        Arc::new(Self {
            open: AtomicU32::new(0),
            closed: AtomicBool::new(false),
            report: AtomicU64::new(0),
            service: AtomicU32::new(0),
            word: AtomicU64::new(0),
            tallies: ArcSwap::default(),
            retry_budget: RetryBudget::per_target(),
            marks: Default::default(),
        })
    }

    /// Counts a request in, or returns `None` when the target is leaving.
    ///
    /// Call this immediately before the first byte is sent, also for resumes and retries: a request
    /// that was queued behind a choice would otherwise start on a target that has left meanwhile.
    /// When the target [`needs_health_check`](Self::needs_health_check), ask it for its health first: an instance that
    /// hears neither the target nor a peer would otherwise send work until the list says so.
    pub fn begin_request(self: &Arc<Self>, now_ms: u64) -> Option<InFlight> {
        if self.is_closed() {
            return None;
        }
        let open = self.open.fetch_add(1, Relaxed) + 1;
        self.mark(now_ms, open);
        let tallies = self.tallies.load_full();
        for tally in tallies.iter() {
            tally.fetch_add(1, Relaxed);
        }
        Some(InFlight {
            gauge: Arc::clone(self),
            tallies,
            began: now_ms,
        })
    }

    /// Sets the pools that the target is in; requests that are open stay with those they began in.
    pub(crate) fn set_tallies(&self, tallies: Tallies) {
        self.tallies.store(Arc::new(tallies));
    }

    /// Takes a load report of the target, sampled at `sampled_ms`; an older one than the last is
    /// dropped.
    pub fn record_load(&self, sampled_ms: u64, load: u32) {
        let load = u64::from(load).min((1 << LOAD_BITS) - 1);
        let packed = sampled_ms << LOAD_BITS | load;
        self.report.fetch_max(packed, Relaxed);
    }

    /// Takes the target's own word that it is live, from a probe that was sent at `sent_ms`.
    pub fn record_live(&self, sent_ms: u64) {
        self.word.fetch_max(sent_ms.max(1), Relaxed);
    }

    /// Returns whether the target's last word is too old to send work without asking first.
    ///
    /// No word at all is stale at any time: an instance that has just started knows of no target
    /// whether it left meanwhile.
    pub fn needs_health_check(&self, now_ms: u64) -> bool {
        match self.word.load(Relaxed) {
            0 => true,
            word => now_ms.saturating_sub(word) > LIVENESS_TTL_MS,
        }
    }

    /// Closes the target to new work, or opens it again. See [`crate::DepartureState`].
    pub fn set_closed(&self, closed: bool) {
        self.closed.store(closed, Relaxed);
    }

    /// Returns whether the target takes no new work.
    pub fn is_closed(&self) -> bool {
        self.closed.load(Relaxed)
    }

    /// Returns how many requests of this instance are open.
    pub fn in_flight(&self) -> u32 {
        self.open.load(Relaxed)
    }

    /// Returns the mean time that own requests took here, in milliseconds, once one has ended.
    pub fn mean_service_ms(&self) -> Option<u32> {
        let mean = self.service.load(Relaxed);
        (mean > 0).then_some(mean)
    }

    /// Estimates the load now: the last report, aged, plus what this instance has sent since.
    pub fn estimated_load(&self, now_ms: u64, typical: PoolAverages) -> u32 {
        self.in_flight() + self.remote_load(now_ms, typical)
    }

    /// Estimates the load that other instances put on the target.
    ///
    /// A report tells of requests that end one by one, and the share of them that still runs falls
    /// with its age over the time that requests take. The rest is taken to be as at other targets.
    /// Trusted for longer, reports that lag by more than a request takes are worse than none: a
    /// target that was idle then is flooded now.
    pub fn remote_load(&self, now_ms: u64, typical: PoolAverages) -> u32 {
        let packed = self.report.load(Relaxed);
        if packed == 0 {
            return typical.remote_load;
        }
        let sampled = packed >> LOAD_BITS;
        let reported = (packed & ((1 << LOAD_BITS) - 1)) as u32;
        let others = reported.saturating_sub(self.open_at(sampled));
        age(others, typical, now_ms.saturating_sub(sampled))
    }

    /// Returns how many requests of this instance were open at `at_ms`.
    fn open_at(&self, at_ms: u64) -> u32 {
        // A change in the slice of the sample itself is not counted. It may be counted twice then,
        // which keeps work away for a moment; counted never, it would draw more work.
        let slice = at_ms / MARK_MS + 1;
        let mut best = 0;
        for mark in &self.marks {
            let packed = mark.load(Relaxed);
            if packed >> 32 < slice && packed > best {
                best = packed;
            }
        }
        best as u32
    }

    fn took(&self, service_ms: u64) {
        let taken = service_ms.clamp(1, u64::from(u32::MAX)) as f64;
        let mean = |mean: u32| match mean {
            0 => Some(taken as u32),
            _ => Some((f64::from(mean) + (taken - f64::from(mean)) * SERVICE_PART).max(1.0) as u32),
        };
        // The closure always returns a value.
        let _ = self.service.fetch_update(Relaxed, Relaxed, mean);
    }

    fn mark(&self, now_ms: u64, open: u32) {
        // Slices count from 1, so that an empty mark is the oldest.
        let slice = now_ms / MARK_MS + 1;
        let at = slice as usize % MARKS;
        self.marks[at].store(slice << 32 | u64::from(open), Relaxed);
    }
}

/// Moves `value` towards the typical one by the share of requests that have ended in `age_ms`.
fn age(value: u32, typical: PoolAverages, age_ms: u64) -> u32 {
    let trust = (-(age_ms as f64) / f64::from(typical.service_ms.max(1))).exp();
    let aged = f64::from(value) * trust + f64::from(typical.remote_load) * (1.0 - trust);
    aged.round() as u32
}

/// A request that is open at a target; dropping it counts the request out.
#[derive(Debug)]
pub struct InFlight {
    gauge: Arc<TargetState>,
    tallies: Arc<Tallies>,
    began: u64,
}

impl InFlight {
    /// Counts the request out at `now_ms`, and how long it took. Reports that were sampled before
    /// still find it open.
    pub fn end(self, now_ms: u64) {
        let open = self.gauge.in_flight().saturating_sub(1);
        self.gauge.mark(now_ms, open);
        self.gauge.took(now_ms.saturating_sub(self.began));
    }

    /// Returns when the request began, in milliseconds of the process's clock.
    pub const fn began(&self) -> u64 {
        self.began
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.gauge.open.fetch_sub(1, Relaxed);
        for tally in self.tallies.iter() {
            tally.fetch_sub(1, Relaxed);
        }
    }
}
