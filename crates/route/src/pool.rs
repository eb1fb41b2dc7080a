//! The targets that serve one version of a model or one plain service.

use std::{
    ops::Range,
    sync::{
        atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering::Relaxed},
        Arc,
    },
};

use celerypond_types::{DataCentre, TargetKey};

use crate::{hash::hash, hash_ring::HashRing, PoolAverages, Target, TargetState};

/// The weight of a target that receives its full share of requests; an ejected target has weight 0.
pub const FULL_WEIGHT: u32 = 1_024;

/// How many requests may be in flight in relation to the slots of a pool. Engines with a queued
/// request do not go idle when one ends.
const OVERCOMMIT: f64 = 1.1;
/// The weight of a new sample in the moving average of remote load. With an update every 100 ms it
/// averages over about 3 s, longer than load reports lag.
const SMOOTHING_WEIGHT: f64 = 0.03;

/// Roughly how many targets one update samples; successive updates sample different ones. This
/// suffices for a mean, while reading 11,000 targets ten times a second would take most of the CPU
/// time that an instance may spend on control tasks.
const STATS_SAMPLE_SIZE: usize = 512;

/// The fixed-point unit of load per slot: 1,024 is one request per slot.
pub(crate) const LOAD_UNIT: u64 = 1_024;

/// A target of a pool, with the fields that the request path needs.
#[derive(Debug)]
pub(crate) struct Member {
    pub(crate) key: TargetKey,
    pub(crate) state: Arc<TargetState>,
    pub(crate) slots: u32,
    /// The target's weight in this pool. It differs between pools, since an engine that fails with
    /// one version may work with another.
    weight: AtomicU32,
}

impl Member {
    /// Returns whether the target is ejected from this pool.
    pub(crate) fn is_ejected(&self) -> bool {
        self.weight.load(Relaxed) == 0
    }

    /// Returns the load per slot with one more request, in [`LOAD_UNIT`], scaled up for a target
    /// with less than its full weight.
    pub(crate) fn weighted_load(&self, now_ms: u64, averages: PoolAverages) -> u64 {
        let weight = u64::from(self.weight.load(Relaxed).max(1));
        let load = self.load_per_slot(now_ms, averages);
        load * u64::from(FULL_WEIGHT) / weight
    }

    /// Returns the load per slot with one more request, in [`LOAD_UNIT`].
    pub(crate) fn load_per_slot(&self, now_ms: u64, averages: PoolAverages) -> u64 {
        let next = u64::from(self.state.estimated_load(now_ms, averages)) + 1;
        next * LOAD_UNIT / u64::from(self.slots.max(1))
    }
}

/// The targets of a pool in one data centre.
#[derive(Clone, Debug)]
pub(crate) struct DataCentreMembers {
    pub(crate) name: DataCentre,
    pub(crate) range: Range<usize>,
    pub(crate) ring: HashRing,
}

/// The mutable statistics of a pool; a new view carries them over.
#[derive(Debug, Default)]
pub(crate) struct PoolStats {
    /// The mean load per slot at the last update, in [`LOAD_UNIT`].
    pub(crate) mean_load: AtomicU32,
    /// The mean number of requests of other instances at a target.
    pub(crate) mean_remote_load: AtomicU32,
    /// The mean duration of requests in milliseconds; 0 before the first one has ended.
    pub(crate) mean_service_ms: AtomicU32,
    /// The number of requests of this instance in flight at the pool's targets.
    pub(crate) in_flight: Arc<AtomicU32>,
    /// The number of requests of this instance that may be in flight, in thousandths.
    quota: AtomicU64,
    /// The moving average of the requests of other instances at all targets, in thousandths.
    smoothed_remote_load: AtomicU64,
    /// Selects the targets that the next update samples.
    sample_offset: AtomicU32,
    /// Whether ejected targets are used as well, because too many targets fail.
    pub(crate) panic_mode: AtomicBool,
}

impl PoolStats {
    fn carry_over(&self) -> Self {
        Self {
            mean_load: AtomicU32::new(self.mean_load.load(Relaxed)),
            mean_remote_load: AtomicU32::new(self.mean_remote_load.load(Relaxed)),
            mean_service_ms: AtomicU32::new(self.mean_service_ms.load(Relaxed)),
            in_flight: Arc::clone(&self.in_flight),
            quota: AtomicU64::new(self.quota.load(Relaxed)),
            smoothed_remote_load: AtomicU64::new(self.smoothed_remote_load.load(Relaxed)),
            sample_offset: AtomicU32::new(self.sample_offset.load(Relaxed)),
            panic_mode: AtomicBool::new(self.panic_mode.load(Relaxed)),
        }
    }
}

/// The targets that serve one version of a model or one plain service.
#[derive(Debug)]
pub struct Pool {
    pub(crate) members: Box<[Member]>,
    /// The index of each member, sorted by key.
    by_key: Box<[(TargetKey, u32)]>,
    pub(crate) data_centres: Box<[DataCentreMembers]>,
    pub(crate) ring: HashRing,
    pub(crate) stats: PoolStats,
}

impl Pool {
    /// Creates the pool of `targets`, with the statistics and weights of the previous pool.
    pub(crate) fn new(mut targets: Vec<(TargetKey, Arc<Target>)>, previous: Option<&Self>) -> Self {
        targets.sort_by(|(_, a), (_, b)| (&a.data_centre, &a.name).cmp(&(&b.data_centre, &b.name)));
        let points: Vec<(u64, u32)> = targets
            .iter()
            .enumerate()
            .map(|(index, (_, target))| (hash(target.name.as_str().as_bytes()), index as u32))
            .collect();
        Self {
            ring: HashRing::new(points.iter().copied()),
            data_centres: data_centres(&targets, &points),
            by_key: by_key(&targets),
            members: targets
                .iter()
                .map(|target| member(target, previous))
                .collect(),
            stats: previous.map_or_else(PoolStats::default, |previous| previous.stats.carry_over()),
        }
    }

    /// Iterates over the keys of the targets, by data centre and then by name.
    pub fn target_keys(&self) -> impl Iterator<Item = TargetKey> + '_ {
        self.members.iter().map(|member| member.key)
    }

    /// Updates the means over the pool, which the load of single targets is compared with, and the
    /// quota of this instance, which is one of `instances`.
    pub fn update_load_stats(&self, now_ms: u64, instances: usize) {
        let previous = self.averages();
        let stride = self.members.len().div_ceil(STATS_SAMPLE_SIZE).max(1);
        let start = self.stats.sample_offset.fetch_add(1, Relaxed) as usize % stride;
        let sample = self.members.iter().skip(start).step_by(stride);
        let mut sums = Sums::default();
        for member in sample.filter(|member| self.is_usable(member)) {
            sums.add(member, now_ms, previous);
        }
        if let Some(mean_ms) = sums.service_ms.checked_div(sums.timed) {
            self.stats.mean_service_ms.store(mean_ms as u32, Relaxed);
        }
        let remote_load = sums.remote_load / sums.count.max(1);
        self.stats
            .mean_remote_load
            .store(remote_load as u32, Relaxed);
        let per_slot = sums.load * LOAD_UNIT / sums.slots.max(1);
        self.stats.mean_load.store(per_slot as u32, Relaxed);
        let scale = stride as u64;
        self.update_quota(sums.slots * scale, sums.remote_load * scale, instances);
    }

    /// Updates the number of requests of this instance that may be in flight.
    ///
    /// Load reports lag. If all instances relied on them alone, all would see the same free slots,
    /// fill them together, see full engines a second later and all stop until the engines were
    /// idle. An instance therefore counts its own requests, which it knows without delay, against
    /// an equal share of the slots, or against the slots that other instances have left free over
    /// the last seconds, whichever is larger.
    fn update_quota(&self, slots: u64, remote_load: u64, instances: usize) {
        let previous = self.stats.smoothed_remote_load.load(Relaxed) as f64;
        let smoothed = previous + (remote_load as f64 * 1e3 - previous) * SMOOTHING_WEIGHT;
        self.stats
            .smoothed_remote_load
            .store(smoothed as u64, Relaxed);
        let usable = slots as f64 * OVERCOMMIT;
        let allowed = (usable / instances.max(1) as f64).max(usable - smoothed / 1e3);
        // A quota below one request would block a small pool entirely.
        let allowed = allowed.max(1.0) * 1e3;
        self.stats.quota.store(allowed as u64, Relaxed);
    }

    /// Returns the share of the quota in use with one more request, or 0 before the first update.
    pub(crate) fn quota_used(&self) -> f64 {
        let next = f64::from(self.stats.in_flight.load(Relaxed)) + 1.0;
        match self.stats.quota.load(Relaxed) {
            0 => 0.0,
            quota => next * 1e3 / quota as f64,
        }
    }

    /// Returns the averages over the pool's targets as of the last update.
    pub fn averages(&self) -> PoolAverages {
        let first = PoolAverages::default();
        let service_ms = match self.stats.mean_service_ms.load(Relaxed) {
            0 => first.service_ms,
            mean => mean,
        };
        PoolAverages {
            remote_load: self.stats.mean_remote_load.load(Relaxed),
            service_ms,
        }
    }

    /// Returns whether a target may be picked.
    pub(crate) fn is_usable(&self, member: &Member) -> bool {
        !member.state.is_closed() && (!member.is_ejected() || self.is_in_panic_mode())
    }

    /// Sets the weight of a target in this pool: 0 ejects it, [`FULL_WEIGHT`] gives it its full
    /// share of requests.
    pub fn set_weight(&self, target: TargetKey, weight: u32) {
        if let Some(member) = self.member(target) {
            member.weight.store(weight.min(FULL_WEIGHT), Relaxed);
        }
    }

    /// Sets whether ejected targets are used as well, as is done while so many targets fail that
    /// the health data is not trusted.
    pub fn set_panic_mode(&self, panic: bool) {
        self.stats.panic_mode.store(panic, Relaxed);
    }

    /// Returns whether ejected targets are used as well.
    pub fn is_in_panic_mode(&self) -> bool {
        self.stats.panic_mode.load(Relaxed)
    }

    /// Looks up a member by key.
    pub(crate) fn member(&self, key: TargetKey) -> Option<&Member> {
        let position = self.by_key.binary_search_by_key(&key, |(key, _)| *key);
        let (_, index) = self.by_key[position.ok()?];
        self.members.get(index as usize)
    }

    pub(crate) fn data_centre(&self, name: &DataCentre) -> Option<&DataCentreMembers> {
        self.data_centres
            .iter()
            .find(|members| members.name == *name)
    }
}

fn member((key, target): &(TargetKey, Arc<Target>), previous: Option<&Pool>) -> Member {
    let before = previous.and_then(|previous| previous.member(*key));
    let weight = before.map_or(FULL_WEIGHT, |member| member.weight.load(Relaxed));
    Member {
        key: *key,
        state: Arc::clone(&target.state),
        slots: target.slots,
        weight: AtomicU32::new(weight),
    }
}

/// The totals of one update.
#[derive(Default)]
struct Sums {
    count: u64,
    slots: u64,
    remote_load: u64,
    load: u64,
    /// The sum of the mean service times over the `timed` targets that have one.
    service_ms: u64,
    timed: u64,
}

impl Sums {
    fn add(&mut self, member: &Member, now_ms: u64, averages: PoolAverages) {
        let remote_load = u64::from(member.state.remote_load(now_ms, averages));
        self.count += 1;
        self.slots += u64::from(member.slots);
        self.remote_load += remote_load;
        self.load += remote_load + u64::from(member.state.in_flight());
        if let Some(service_ms) = member.state.mean_service_ms() {
            self.service_ms += u64::from(service_ms);
            self.timed += 1;
        }
    }
}

fn by_key(targets: &[(TargetKey, Arc<Target>)]) -> Box<[(TargetKey, u32)]> {
    let mut by_key: Vec<_> = (0..)
        .zip(targets)
        .map(|(index, (key, _))| (*key, index))
        .collect();
    by_key.sort_unstable();
    by_key.into_boxed_slice()
}

fn data_centres(
    targets: &[(TargetKey, Arc<Target>)],
    points: &[(u64, u32)],
) -> Box<[DataCentreMembers]> {
    let mut start = 0;
    targets
        .chunk_by(|(_, a), (_, b)| a.data_centre == b.data_centre)
        .map(|chunk| {
            let range = start..start + chunk.len();
            start = range.end;
            DataCentreMembers {
                name: chunk[0].1.data_centre.clone(),
                ring: HashRing::new(points[range.clone()].iter().copied()),
                range,
            }
        })
        .collect()
}
