//! The targets that serve one version of a model or one service.

use std::{
    ops::Range,
    sync::{
        atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering::Relaxed},
        Arc,
    },
};

use celerypond_types::{DataCentre, TargetKey};

use crate::{hash::hash, hash_ring::Ring, PoolAverages, Target, TargetState};

/// The weight of a target that gets its whole part of the work; 0 is ejected.
pub const FULL_WEIGHT: u32 = 1_024;

/// How much more than its slots a pool may have open: engines with a request in their queue do not
/// idle when one ends.
const OVERCOMMIT: f64 = 1.1;
/// How much a survey counts in the smoothed load of other instances: about 3 s of surveys each 100
/// ms, longer than reports lag.
const SMOOTH_PART: f64 = 0.03;

/// A survey looks at about so many targets, in turns: enough for a mean, and of 11,000 targets ten
/// times a second it would take most of what a daemon may spend on control.
const SURVEYED: usize = 512;

/// The fixed-point unit of a load per slot: 1,024 is one request for each slot.
pub(crate) const SLOT_UNIT: u64 = 1_024;

/// One target as the request path needs it.
#[derive(Debug)]
pub(crate) struct Member {
    pub(crate) key: TargetKey,
    pub(crate) gauge: Arc<TargetState>,
    pub(crate) slots: u32,
    /// The part of its work that the target gets in this pool: an engine that fails with one
    /// version may be sound with another.
    weight: AtomicU32,
}

impl Member {
    /// Returns whether the target is ejected from this pool.
    pub(crate) fn is_out(&self) -> bool {
        self.weight.load(Relaxed) == 0
    }

    /// Returns the load per slot if one more request were sent, in [`SLOT_UNIT`], higher for a
    /// target that gets less than its whole part.
    pub(crate) fn pressure(&self, now_ms: u64, typical: PoolAverages) -> u64 {
        let weight = u64::from(self.weight.load(Relaxed).max(1));
        let part = self.plain_pressure(now_ms, typical);
        part * u64::from(FULL_WEIGHT) / weight
    }

    /// Returns the load per slot if one more request were sent, in [`SLOT_UNIT`].
    pub(crate) fn plain_pressure(&self, now_ms: u64, typical: PoolAverages) -> u64 {
        let next = u64::from(self.gauge.estimated_load(now_ms, typical)) + 1;
        next * SLOT_UNIT / u64::from(self.slots.max(1))
    }
}

/// The members of a pool in one data centre.
#[derive(Clone, Debug)]
pub(crate) struct Site {
    pub(crate) name: DataCentre,
    pub(crate) range: Range<usize>,
    pub(crate) ring: Ring,
}

/// What changes about a pool between snapshots.
#[derive(Debug, Default)]
pub(crate) struct PoolGauge {
    /// The mean load per slot at the last survey, in [`SLOT_UNIT`].
    pub(crate) mean: AtomicU32,
    /// The mean number of requests that other instances have at a target.
    pub(crate) others: AtomicU32,
    /// The mean time that requests take, in milliseconds; 0 when none has ended.
    pub(crate) turnover: AtomicU32,
    /// How many requests of this instance are open at the pool's targets.
    pub(crate) open: Arc<AtomicU32>,
    /// How many requests of this instance may be open there, in thousandths.
    allowance: AtomicU64,
    /// The requests of other instances at all targets, smoothed, in thousandths.
    smooth: AtomicU64,
    /// Which targets the next survey looks at.
    turn: AtomicU32,
    /// Whether so many targets seem bad that all are used.
    pub(crate) panic: AtomicBool,
}

impl PoolGauge {
    fn copy(&self) -> Self {
        Self {
            mean: AtomicU32::new(self.mean.load(Relaxed)),
            others: AtomicU32::new(self.others.load(Relaxed)),
            turnover: AtomicU32::new(self.turnover.load(Relaxed)),
            open: Arc::clone(&self.open),
            allowance: AtomicU64::new(self.allowance.load(Relaxed)),
            smooth: AtomicU64::new(self.smooth.load(Relaxed)),
            turn: AtomicU32::new(self.turn.load(Relaxed)),
            panic: AtomicBool::new(self.panic.load(Relaxed)),
        }
    }
}

/// The targets that serve one version of a model or one service.
#[derive(Debug)]
pub struct Pool {
    pub(crate) members: Box<[Member]>,
    /// The index of each member, sorted by key.
    by_key: Box<[(TargetKey, u32)]>,
    pub(crate) sites: Box<[Site]>,
    pub(crate) ring: Ring,
    pub(crate) gauge: PoolGauge,
}

impl Pool {
    /// Makes the pool of `targets`, which goes on from the state of the pool before it.
    pub(crate) fn new(mut targets: Vec<(TargetKey, Arc<Target>)>, last: Option<&Self>) -> Self {
        targets.sort_by(|(_, a), (_, b)| (&a.data_centre, &a.name).cmp(&(&b.data_centre, &b.name)));
        let points: Vec<(u64, u32)> = targets
            .iter()
            .enumerate()
            .map(|(at, (_, target))| (hash(target.name.as_str().as_bytes()), at as u32))
            .collect();
        Self {
            ring: Ring::new(points.iter().copied()),
            sites: sites(&targets, &points),
            by_key: by_key(&targets),
            members: targets.iter().map(|of| member(of, last)).collect(),
            gauge: last.map_or_else(PoolGauge::default, |last| last.gauge.copy()),
        }
    }

    /// Returns the keys of the targets, by data centre and then by name.
    pub fn target_keys(&self) -> impl Iterator<Item = TargetKey> + '_ {
        self.members.iter().map(|member| member.key)
    }

    /// Takes the means over the pool, against which single targets are compared until the next
    /// survey, and the allowance of this instance, one of `instances`.
    pub fn update_load_stats(&self, now_ms: u64, instances: usize) {
        let last = self.averages();
        let stride = self.members.len().div_ceil(SURVEYED).max(1);
        let start = self.gauge.turn.fetch_add(1, Relaxed) as usize % stride;
        let sample = self.members.iter().skip(start).step_by(stride);
        let mut sums = Sums::default();
        for member in sample.filter(|member| self.is_usable(member)) {
            sums.add(member, now_ms, last);
        }
        if let Some(turnover) = sums.service.checked_div(sums.served) {
            self.gauge.turnover.store(turnover as u32, Relaxed);
        }
        let others = sums.others / sums.count.max(1);
        self.gauge.others.store(others as u32, Relaxed);
        let per_slot = sums.load * SLOT_UNIT / sums.slots.max(1);
        self.gauge.mean.store(per_slot as u32, Relaxed);
        let whole = stride as u64;
        self.allow(sums.slots * whole, sums.others * whole, instances);
    }

    /// Reckons how many requests of this instance may be open at a time.
    ///
    /// The failure: reports lag, so all instances see free slots together, fill them together, see
    /// full engines a second later and all stop until the engines have run empty. So an instance
    /// counts its own requests, which it knows at once, against its even part of the slots, or
    /// against what others have left of them over some seconds, if that is more.
    fn allow(&self, slots: u64, others: u64, instances: usize) {
        let last = self.gauge.smooth.load(Relaxed) as f64;
        let smooth = last + (others as f64 * 1e3 - last) * SMOOTH_PART;
        self.gauge.smooth.store(smooth as u64, Relaxed);
        let usable = slots as f64 * OVERCOMMIT;
        let allowed = (usable / instances.max(1) as f64).max(usable - smooth / 1e3);
        // One request can always be open, or a small pool would serve nobody.
        let allowed = allowed.max(1.0) * 1e3;
        self.gauge.allowance.store(allowed as u64, Relaxed);
    }

    /// Returns what part of its allowance this instance uses with one more request; 0 before the
    /// first survey.
    pub(crate) fn fill(&self) -> f64 {
        let next = f64::from(self.gauge.open.load(Relaxed)) + 1.0;
        match self.gauge.allowance.load(Relaxed) {
            0 => 0.0,
            allowance => next * 1e3 / allowance as f64,
        }
    }

    /// Returns what was typical of the targets at the last survey.
    pub fn averages(&self) -> PoolAverages {
        let first = PoolAverages::default();
        let turnover_ms = match self.gauge.turnover.load(Relaxed) {
            0 => first.service_ms,
            mean => mean,
        };
        PoolAverages {
            remote_load: self.gauge.others.load(Relaxed),
            service_ms: turnover_ms,
        }
    }

    /// Returns whether a target may be chosen.
    pub(crate) fn is_usable(&self, member: &Member) -> bool {
        !member.gauge.is_closed() && (!member.is_out() || self.is_in_panic_mode())
    }

    /// Sets the part of its work that a target gets in this pool: 0 is ejected, [`FULL_WEIGHT`]
    /// the whole.
    pub fn set_weight(&self, target: TargetKey, weight: u32) {
        if let Some(member) = self.member(target) {
            member.weight.store(weight.min(FULL_WEIGHT), Relaxed);
        }
    }

    /// Sets whether targets that seem bad are used all the same.
    pub fn set_panic_mode(&self, panic: bool) {
        self.gauge.panic.store(panic, Relaxed);
    }

    /// Returns whether targets that seem bad are used all the same.
    pub fn is_in_panic_mode(&self) -> bool {
        self.gauge.panic.load(Relaxed)
    }

    /// Finds a member by key.
    pub(crate) fn member(&self, key: TargetKey) -> Option<&Member> {
        let at = self.by_key.binary_search_by_key(&key, |(key, _)| *key);
        let (_, index) = self.by_key[at.ok()?];
        self.members.get(index as usize)
    }

    pub(crate) fn site(&self, name: &DataCentre) -> Option<&Site> {
        self.sites.iter().find(|site| site.name == *name)
    }
}

fn member((key, target): &(TargetKey, Arc<Target>), last: Option<&Pool>) -> Member {
    let before = last.and_then(|last| last.member(*key));
    let weight = before.map_or(FULL_WEIGHT, |member| member.weight.load(Relaxed));
    Member {
        key: *key,
        gauge: Arc::clone(&target.state),
        slots: target.slots,
        weight: AtomicU32::new(weight),
    }
}

/// What a survey adds up.
#[derive(Default)]
struct Sums {
    count: u64,
    slots: u64,
    others: u64,
    load: u64,
    /// The mean service times, of as many targets as have one.
    service: u64,
    served: u64,
}

impl Sums {
    fn add(&mut self, member: &Member, now_ms: u64, typical: PoolAverages) {
        let others = u64::from(member.gauge.remote_load(now_ms, typical));
        self.count += 1;
        self.slots += u64::from(member.slots);
        self.others += others;
        self.load += others + u64::from(member.gauge.in_flight());
        if let Some(service) = member.gauge.mean_service_ms() {
            self.service += u64::from(service);
            self.served += 1;
        }
    }
}

fn by_key(targets: &[(TargetKey, Arc<Target>)]) -> Box<[(TargetKey, u32)]> {
    let mut by_key: Vec<_> = (0..)
        .zip(targets)
        .map(|(at, (key, _))| (*key, at))
        .collect();
    by_key.sort_unstable();
    by_key.into_boxed_slice()
}

fn sites(targets: &[(TargetKey, Arc<Target>)], points: &[(u64, u32)]) -> Box<[Site]> {
    let mut start = 0;
    targets
        .chunk_by(|(_, a), (_, b)| a.data_centre == b.data_centre)
        .map(|chunk| {
            let range = start..start + chunk.len();
            start = range.end;
            Site {
                name: chunk[0].1.data_centre.clone(),
                ring: Ring::new(points[range.clone()].iter().copied()),
                range,
            }
        })
        .collect()
}
