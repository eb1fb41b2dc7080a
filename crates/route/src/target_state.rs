//! The load and availability of a target, in atomics that all views share.

use std::sync::{
    atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering::Relaxed},
    Arc,
};

use arc_swap::ArcSwap;

use crate::RetryBudget;

/// The in-flight counters of the pools that a target belongs to.
pub(crate) type PoolCounters = Vec<Arc<AtomicU32>>;

/// The length of one interval in the history of requests in flight.
const HISTORY_INTERVAL_MS: u64 = 250;
/// How many intervals are kept. Load reports may lag by up to 16 * 250 ms = 4 s.
const HISTORY_LEN: usize = 16;
/// The weight of a new sample in the moving average of service times.
const SERVICE_WEIGHT: f64 = 0.1;
/// The mean service time that is assumed until a request has ended, in milliseconds.
const DEFAULT_SERVICE_MS: u32 = 4_000;
/// The age above which a target's last report of being live is too old to send requests without a
/// health check.
pub const LIVENESS_TTL_MS: u64 = 2_000;
/// How many bits of a packed load report hold the load.
const LOAD_BITS: u32 = 24;

/// Averages over the targets of a pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PoolAverages {
    /// The mean load from other instances on a target, in requests.
    pub remote_load: u32,
    /// The mean time that a request takes, in milliseconds. After this time most of the load of a
    /// target consists of other requests.
    pub service_ms: u32,
}

impl Default for PoolAverages {
    fn default() -> Self {
        Self {
            remote_load: 0,
            service_ms: DEFAULT_SERVICE_MS,
        }
    }
}

/// The load and availability of one target.
///
/// All views that contain the target share it, so a new view loses no counts. Loads are numbers of
/// requests, both running and queued.
///
/// # Examples
///
/// ```
/// use celerypond_route::{PoolAverages, TargetState};
///
/// let state = TargetState::new();
/// let averages = PoolAverages::default();
/// state.record_load(5_000, 3); // Three requests, sampled at 5 s.
/// let first = state.begin_request(5_100).unwrap();
/// assert_eq!(state.estimated_load(5_200, averages), 4); // The report plus the request begun since.
/// drop(first);
/// assert_eq!(state.estimated_load(5_200, averages), 3);
/// ```
#[derive(Debug)]
pub struct TargetState {
    in_flight: AtomicU32,
    closed: AtomicBool,
    /// The last load report: the sampling time in milliseconds in the high bits, the load in the
    /// low bits; 0 before the first report.
    load_report: AtomicU64,
    /// The mean duration of this instance's requests in milliseconds; 0 before the first one has
    /// ended.
    mean_service_ms: AtomicU32,
    /// The time of the target's last report of being live, in milliseconds; 0 if there is none.
    last_live_ms: AtomicU64,
    /// The in-flight counters of the pools that the target belongs to.
    pool_counters: ArcSwap<PoolCounters>,
    /// The budget for retries of calls that failed at this target.
    pub retry_budget: RetryBudget,
    /// The requests in flight at the last change in each interval: the number of the interval in
    /// the high half, the count in the low half.
    history: [AtomicU64; HISTORY_LEN],
}

impl TargetState {
    /// Creates the state of a target that accepts requests.
    pub fn new() -> Arc<Self> {
        Arc::new(Self {
            in_flight: AtomicU32::new(0),
            closed: AtomicBool::new(false),
            load_report: AtomicU64::new(0),
            mean_service_ms: AtomicU32::new(0),
            last_live_ms: AtomicU64::new(0),
            pool_counters: ArcSwap::default(),
            retry_budget: RetryBudget::per_target(),
            history: Default::default(),
        })
    }

    /// Counts a request as in flight, or returns `None` if the target is leaving.
    ///
    /// Call this immediately before the first byte is sent, also for resumes and retries; otherwise
    /// a request that was queued after its target was picked may start on a target that has left
    /// since. If the target [`needs_health_check`](Self::needs_health_check), check its health
    /// first: an instance that is cut off from both the target and its peers would otherwise send
    /// requests until the list reports the target as leaving.
    pub fn begin_request(self: &Arc<Self>, now_ms: u64) -> Option<InFlight> {
        if self.is_closed() {
            return None;
        }
        let in_flight = self.in_flight.fetch_add(1, Relaxed) + 1;
        self.record_in_flight(now_ms, in_flight);
        let pool_counters = self.pool_counters.load_full();
        for counter in pool_counters.iter() {
            counter.fetch_add(1, Relaxed);
        }
        Some(InFlight {
            state: Arc::clone(self),
            pool_counters,
            start_ms: now_ms,
        })
    }

    /// Sets the in-flight counters of the pools that the target belongs to. Requests in flight stay
    /// with the counters they started with.
    pub(crate) fn set_pool_counters(&self, pool_counters: PoolCounters) {
        self.pool_counters.store(Arc::new(pool_counters));
    }

    /// Records a load report of the target that was sampled at `sampled_ms`, unless a newer one is
    /// known.
    pub fn record_load(&self, sampled_ms: u64, load: u32) {
        let load = u64::from(load).min((1 << LOAD_BITS) - 1);
        let packed = sampled_ms << LOAD_BITS | load;
        self.load_report.fetch_max(packed, Relaxed);
    }

    /// Records that the target reported itself as live, in reply to a probe sent at `sent_ms`.
    pub fn record_live(&self, sent_ms: u64) {
        self.last_live_ms.fetch_max(sent_ms.max(1), Relaxed);
    }

    /// Returns whether the target's last report of being live is too old to send requests without a
    /// health check.
    ///
    /// This is always so without any report: an instance that has just started cannot know whether
    /// the target left in the meantime.
    pub fn needs_health_check(&self, now_ms: u64) -> bool {
        match self.last_live_ms.load(Relaxed) {
            0 => true,
            last_live_ms => now_ms.saturating_sub(last_live_ms) > LIVENESS_TTL_MS,
        }
    }

    /// Closes the target to new requests, or reopens it. See [`crate::DepartureState`].
    pub fn set_closed(&self, closed: bool) {
        self.closed.store(closed, Relaxed);
    }

    /// Returns whether the target is closed to new requests.
    pub fn is_closed(&self) -> bool {
        self.closed.load(Relaxed)
    }

    /// Returns the number of this instance's requests in flight.
    pub fn in_flight(&self) -> u32 {
        self.in_flight.load(Relaxed)
    }

    /// Returns the mean duration of this instance's requests in milliseconds, once one has ended.
    pub fn mean_service_ms(&self) -> Option<u32> {
        let mean = self.mean_service_ms.load(Relaxed);
        (mean > 0).then_some(mean)
    }

    /// Estimates the current load: the last report, adjusted for its age, plus the requests of this
    /// instance.
    pub fn estimated_load(&self, now_ms: u64, averages: PoolAverages) -> u32 {
        self.in_flight() + self.remote_load(now_ms, averages)
    }

    /// Estimates the load from other instances on the target.
    ///
    /// As a report ages, the requests it counted end, at a rate given by the mean service time.
    /// That part is replaced by the pool's average. Reports that are trusted for longer than a
    /// request takes do harm: a target that was idle at the time of the report is flooded with
    /// requests.
    pub fn remote_load(&self, now_ms: u64, averages: PoolAverages) -> u32 {
        let packed = self.load_report.load(Relaxed);
        if packed == 0 {
            return averages.remote_load;
        }
        let sampled = packed >> LOAD_BITS;
        let reported = (packed & ((1 << LOAD_BITS) - 1)) as u32;
        let remote = reported.saturating_sub(self.in_flight_at(sampled));
        decay(remote, averages, now_ms.saturating_sub(sampled))
    }

    /// Returns the number of this instance's requests in flight at `at_ms`.
    fn in_flight_at(&self, at_ms: u64) -> u32 {
        // Ignores changes in the interval of `at_ms` itself. Such a request may be counted twice,
        // which keeps requests away for a moment; not counting it at all would attract more.
        let interval = at_ms / HISTORY_INTERVAL_MS + 1;
        let mut best = 0;
        for entry in &self.history {
            let packed = entry.load(Relaxed);
            if packed >> 32 < interval && packed > best {
                best = packed;
            }
        }
        best as u32
    }

    fn record_service_time(&self, service_ms: u64) {
        let observed = service_ms.clamp(1, u64::from(u32::MAX)) as f64;
        let mean = |mean: u32| match mean {
            0 => Some(observed as u32),
            _ => Some(
                (f64::from(mean) + (observed - f64::from(mean)) * SERVICE_WEIGHT).max(1.0) as u32,
            ),
        };
        // The closure always returns a value.
        let _ = self.mean_service_ms.fetch_update(Relaxed, Relaxed, mean);
    }

    fn record_in_flight(&self, now_ms: u64, in_flight: u32) {
        // Intervals are numbered from 1, so that an empty entry is the oldest.
        let interval = now_ms / HISTORY_INTERVAL_MS + 1;
        let index = interval as usize % HISTORY_LEN;
        self.history[index].store(interval << 32 | u64::from(in_flight), Relaxed);
    }
}

/// Moves `value` towards the average, by the share of requests that have ended after `age_ms`.
fn decay(value: u32, averages: PoolAverages, age_ms: u64) -> u32 {
    let weight = (-(age_ms as f64) / f64::from(averages.service_ms.max(1))).exp();
    let decayed = f64::from(value) * weight + f64::from(averages.remote_load) * (1.0 - weight);
    decayed.round() as u32
}

/// A request in flight at a target; dropping it ends the count.
#[derive(Debug)]
pub struct InFlight {
    state: Arc<TargetState>,
    pool_counters: Arc<PoolCounters>,
    start_ms: u64,
}

impl InFlight {
    /// Ends the request at `now_ms` and records its duration. Load reports sampled earlier still
    /// count it as in flight.
    pub fn end(self, now_ms: u64) {
        let in_flight = self.state.in_flight().saturating_sub(1);
        self.state.record_in_flight(now_ms, in_flight);
        self.state
            .record_service_time(now_ms.saturating_sub(self.start_ms));
    }

    /// Returns when the request started, in milliseconds of the process's clock.
    pub const fn start_ms(&self) -> u64 {
        self.start_ms
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.state.in_flight.fetch_sub(1, Relaxed);
        for counter in self.pool_counters.iter() {
            counter.fetch_sub(1, Relaxed);
        }
    }
}
