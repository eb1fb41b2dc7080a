//! Selection of a target for a request.

use celerypond_types::{DataCentre, Priority, TargetKey};
use rand::Rng;
use thiserror::Error;
use tokio::time::Instant;

use crate::{
    hash::mix,
    hash_ring::HashRing,
    pool::{DataCentreMembers, Member, LOAD_UNIT},
    Pool, PoolAverages, Route, RoutingView,
};

/// The highest load of a target that affinity may choose, in percent of the pool's mean load, as in
/// consistent hashing with bounded loads.
const LOAD_BOUND_PERCENT: u64 = 125;
/// How many pairs of targets on the hash ring are tried before affinity is given up.
const AFFINITY_PAIRS: u64 = 3;
/// The factor on the load of a target that may no longer hold the prefix, because cache events of
/// it were lost.
const UNCERTAIN_LOAD_FACTOR: u64 = 2;
/// How many pairs are sampled from a set of targets while none has a free slot.
const MAX_DRAWS: usize = 4;

/// Requirements and preferences of a request for its target.
#[derive(Clone, Copy, Debug, Default)]
pub struct PickCriteria<'a> {
    /// Hashes of the prompt's prefixes, longest first; empty if the request gains nothing from a
    /// cached prefix.
    pub prefixes: &'a [u64],
    /// The hash of the adapter's name, or 0. Requests for the same adapter go to the same targets.
    pub adapter: u64,
    /// Targets that must not be chosen, such as those that failed this request.
    pub excluded: &'a [TargetKey],
    /// The data centre to prefer, if any.
    pub preferred_data_centre: Option<&'a DataCentre>,
}

/// A chosen target.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Choice {
    /// The target.
    pub target: TargetKey,
    /// Whether the target's health must be checked before the request is sent, since its last
    /// report of being live is too old: it may be leaving, and the list of instances may lag.
    pub needs_health_check: bool,
    /// Why it was chosen.
    pub reason: PickReason,
    /// The share of this instance's quota in use once this request is added; above 1.0 the quota is
    /// exceeded.
    pub quota_used: f64,
}

/// How much of the quota interactive requests may use, so that they do not queue behind
/// long-running drafts that have used it up.
const INTERACTIVE_QUOTA: f64 = 1.1;

impl Choice {
    /// Returns whether the request fits this instance's quota for the pool. If it does not, it
    /// waits in the local queue, which is fair between accounts, rather than in the target's.
    pub fn fits_quota(&self, priority: Priority) -> bool {
        match priority {
            Priority::Interactive => self.quota_used <= INTERACTIVE_QUOTA,
            Priority::Draft => self.quota_used <= 1.0,
        }
    }
}

/// Why a target was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum PickReason {
    /// It probably has a prefix of the prompt cached.
    Affinity,
    /// It was the less loaded of a random pair in the preferred data centre.
    PreferredDataCentre,
    /// It was the less loaded of a random pair in all data centres.
    AnyDataCentre,
    /// A scan of all targets found it after random sampling found none.
    FullScan,
}

/// Why no target was chosen.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum PickError {
    /// The view does not contain the route.
    #[error("unknown route")]
    UnknownRoute,
    /// Every target is leaving, ejected or excluded.
    #[error("no target is available")]
    NoTarget,
}

impl RoutingView {
    /// Picks a target for a request.
    ///
    /// The result depends only on the view, the state of its targets, the criteria, `now` and the
    /// generator.
    ///
    /// # Errors
    ///
    /// [`PickError::UnknownRoute`] if the route belongs to another bundle, [`PickError::NoTarget`]
    /// if every target is leaving, ejected or excluded.
    ///
    /// # Examples
    ///
    /// ```
    /// use celerypond_bundle::Bundle;
    /// use celerypond_route::{PickCriteria, Route, RoutingView};
    /// use rand::{rngs::SmallRng, SeedableRng};
    /// use tokio::time::Instant;
    ///
    /// let bundle: Bundle = serde_json::from_str(
    ///     r#"{"format":1,"title":"desk","accounts":[],
    ///         "targets":[{"name":"desk-1","kind":"service","address":"10.0.0.1:80",
    ///                     "data_centre":"yard-1"}],
    ///         "services":[{"name":"desk","targets":["desk-1"],"deadline_ms":2000}]}"#,
    /// )
    /// .unwrap();
    /// let now = Instant::now();
    /// let view = RoutingView::new(now).with_bundle(&bundle, now);
    /// let desk = view.service_key(&"desk".into()).unwrap();
    /// let mut rng = SmallRng::seed_from_u64(1);
    /// let choice = view.pick(Route::Service(desk), &PickCriteria::default(), now, &mut rng).unwrap();
    /// assert_eq!(Some(choice.target), view.target_key(&"desk-1".into()));
    /// ```
    pub fn pick(
        &self,
        route: Route,
        criteria: &PickCriteria<'_>,
        now: Instant,
        rng: &mut impl Rng,
    ) -> Result<Choice, PickError> {
        let pool = self.pool(route).ok_or(PickError::UnknownRoute)?;
        let now_ms = self.clock.millis(now);
        let picker = Picker {
            view: self,
            pool,
            criteria,
            now_ms,
            averages: pool.averages(),
            load_bound: load_bound(pool),
            panic_mode: pool.is_in_panic_mode(),
        };
        let (member, reason) = picker.pick(rng).ok_or(PickError::NoTarget)?;
        Ok(Choice {
            target: member.key,
            needs_health_check: member.state.needs_health_check(now_ms),
            reason,
            quota_used: pool.quota_used(),
        })
    }
}

/// Returns the load per slot up to which affinity and the preferred data centre take precedence
/// over balance.
fn load_bound(pool: &Pool) -> u64 {
    let mean = pool
        .stats
        .mean_load
        .load(std::sync::atomic::Ordering::Relaxed);
    // Allows one request above the bound; otherwise an idle pool would reject all affinity.
    let slots = pool.members.first().map_or(1, |member| member.slots.max(1));
    u64::from(mean) * LOAD_BOUND_PERCENT / 100 + LOAD_UNIT / u64::from(slots)
}

struct Picker<'a> {
    view: &'a RoutingView,
    pool: &'a Pool,
    criteria: &'a PickCriteria<'a>,
    now_ms: u64,
    averages: PoolAverages,
    load_bound: u64,
    panic_mode: bool,
}

impl<'a> Picker<'a> {
    fn pick(&self, rng: &mut impl Rng) -> Option<(&'a Member, PickReason)> {
        let data_centre = self
            .criteria
            .preferred_data_centre
            .and_then(|name| self.pool.data_centre(name));
        let preferred =
            data_centre.map(|data_centre| &self.pool.members[data_centre.range.clone()]);
        self.by_affinity(data_centre)
            .map(|member| (member, PickReason::Affinity))
            .or_else(|| {
                let member = self
                    .draw_pairs(preferred?, rng)
                    .filter(|m| self.is_within_bound(m))?;
                Some((member, PickReason::PreferredDataCentre))
            })
            .or_else(|| {
                Some((
                    self.draw_pairs(&self.pool.members, rng)?,
                    PickReason::AnyDataCentre,
                ))
            })
            .or_else(|| Some((self.scan(rng)?, PickReason::FullScan)))
    }

    /// Picks a target that probably has a prefix cached and whose load is within the bound.
    fn by_affinity(&self, data_centre: Option<&'a DataCentreMembers>) -> Option<&'a Member> {
        let longest = *self.criteria.prefixes.first()?;
        let ring = data_centre.map_or(&self.pool.ring, |data_centre| &data_centre.ring);
        self.by_known_prefix()
            .or_else(|| self.by_hash_ring(ring, longest))
    }

    /// Picks the least loaded holder of the longest prefix that any engine is known to hold.
    fn by_known_prefix(&self) -> Option<&'a Member> {
        let cache = &self.view.prefix_index;
        let mut prefixes = self.criteria.prefixes.iter();
        prefixes.find_map(|prefix| {
            let holders = cache.holders(*prefix).iter();
            let candidates = holders.filter_map(|holder| {
                let member = self.pool.member(holder.target)?;
                let factor = if holder.certain {
                    1
                } else {
                    UNCERTAIN_LOAD_FACTOR
                };
                let score = self.load(member) * factor;
                (score <= self.load_bound && self.is_eligible(member)).then_some((score, member))
            });
            let (_, member) = candidates.min_by_key(|(score, _)| *score)?;
            Some(member)
        })
    }

    /// Tries pairs of targets on the ring and picks the less loaded of the first pair that is
    /// within the bound.
    fn by_hash_ring(&self, ring: &HashRing, prefix: u64) -> Option<&'a Member> {
        let prefix = mix(prefix, self.criteria.adapter);
        (0..AFFINITY_PAIRS).find_map(|pair| {
            let first = self.probe_ring(ring, prefix, 2 * pair);
            let second = self.probe_ring(ring, prefix, 2 * pair + 1);
            self.less_loaded(first, second)
                .filter(|m| self.is_within_bound(m))
        })
    }

    fn probe_ring(&self, ring: &HashRing, prefix: u64, probe: u64) -> Option<&'a Member> {
        let index = ring.lookup(prefix, probe)?;
        let member = self.pool.members.get(index as usize)?;
        self.is_eligible(member).then_some(member)
    }

    /// Samples pairs of targets and returns the least loaded eligible one, stopping as soon as one
    /// has a free slot.
    ///
    /// Load reports lag, so the same target looks least loaded to all instances. Random sampling
    /// keeps them from all sending to it at once.
    fn draw_pairs(&self, members: &'a [Member], rng: &mut impl Rng) -> Option<&'a Member> {
        let mut best = None;
        for _ in 0..MAX_DRAWS {
            let first = self.random_member(members, rng);
            let second = self.random_member(members, rng);
            best = self.less_loaded(best, self.less_loaded(first, second));
            if best.is_some_and(|member| self.load(member) <= LOAD_UNIT) {
                break;
            }
        }
        best
    }

    fn random_member(&self, members: &'a [Member], rng: &mut impl Rng) -> Option<&'a Member> {
        if members.is_empty() {
            return None;
        }
        let member = &members[rng.random_range(0..members.len())];
        self.is_eligible(member).then_some(member)
    }

    /// Returns the first eligible target from a random position on, for when sampling misses
    /// because few are eligible.
    fn scan(&self, rng: &mut impl Rng) -> Option<&'a Member> {
        let members = &self.pool.members;
        if members.is_empty() {
            return None;
        }
        let (before, after) = members.split_at(rng.random_range(0..members.len()));
        let mut all = after.iter().chain(before);
        all.find(|member| self.is_eligible(member))
    }

    fn less_loaded(
        &self,
        first: Option<&'a Member>,
        second: Option<&'a Member>,
    ) -> Option<&'a Member> {
        match (first, second) {
            (Some(a), Some(b)) if self.load(b) < self.load(a) => Some(b),
            (Some(a), _) => Some(a),
            (None, b) => b,
        }
    }

    fn is_within_bound(&self, member: &Member) -> bool {
        self.load(member) <= self.load_bound
    }

    fn load(&self, member: &Member) -> u64 {
        // When most targets fail, the health data is not trusted and all targets share the load.
        match self.panic_mode {
            true => member.load_per_slot(self.now_ms, self.averages),
            false => member.weighted_load(self.now_ms, self.averages),
        }
    }

    fn is_eligible(&self, member: &Member) -> bool {
        self.pool.is_usable(member) && !self.criteria.excluded.contains(&member.key)
    }
}
