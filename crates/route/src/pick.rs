//! The choice of a target.

use celerypond_types::{DataCentre, Priority, TargetKey};
use rand::Rng;
use thiserror::Error;
use tokio::time::Instant;

use crate::{
    hash::mix,
    hash_ring::Ring,
    pool::{Member, Site, SLOT_UNIT},
    Pool, PoolAverages, Route, RoutingView,
};

/// How far a target may be above the mean load before work goes past it, in percent of the mean.
const BOUND_PERCENT: u64 = 125;
/// How many pairs of affine targets are tried before affinity is given up.
const AFFINE_PAIRS: u64 = 3;
/// By how much the load of a holder counts more after a gap in its cache events.
const DOUBT: u64 = 2;
/// How many pairs are drawn from one set before all its targets are looked at.
const DRAWS: usize = 4;

/// What a request asks of its target.
#[derive(Clone, Copy, Debug, Default)]
pub struct PickCriteria<'a> {
    /// Hashes of the prompt's prefixes, the longest first; empty when affinity is no use.
    pub prefixes: &'a [u64],
    /// The hash of the adapter's name, or 0: requests for one adapter stay together.
    pub adapter: u64,
    /// Targets that must not be chosen, such as those that failed this request.
    pub excluded: &'a [TargetKey],
    /// The data centre to prefer.
    pub preferred_data_centre: Option<&'a DataCentre>,
}

/// A chosen target.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Choice {
    /// The target.
    pub target: TargetKey,
    /// Whether the target's last word is so old that it must be asked for its health before work
    /// is sent: it may be leaving, and the list of instances may be late to say so.
    pub needs_health_check: bool,
    /// Why it was chosen.
    pub reason: PickReason,
    /// The part of the allowance of this instance that it uses with the request.
    pub quota_used: f64,
}

/// How far interactive requests may go past the allowance: callers who wait do not queue behind
/// long drafts that have used it up.
const URGENT_FILL: f64 = 1.1;

impl Choice {
    /// Returns whether the pool has room; without it the request waits in the local queue, where
    /// accounts are treated fairly, rather than in the target's.
    pub fn fits_quota(&self, priority: Priority) -> bool {
        match priority {
            Priority::Interactive => self.quota_used <= URGENT_FILL,
            Priority::Draft => self.quota_used <= 1.0,
        }
    }
}

/// Why a target was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum PickReason {
    /// It likely holds a prefix of the prompt.
    Affinity,
    /// It is the less loaded of two in the preferred data centre.
    PreferredDataCentre,
    /// It is the less loaded of two anywhere.
    AnyDataCentre,
    /// It was the only kind left after a look at all.
    FullScan,
}

/// Why no target was chosen.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum PickError {
    /// The view does not contain the route.
    #[error("the route is not known")]
    UnknownRoute,
    /// Every target is leaving, ejected or excluded.
    #[error("no target is available")]
    NoTarget,
}

impl RoutingView {
    /// Chooses a target for a request.
    ///
    /// The same view, gauges, instant and generator state give the same choice.
    ///
    /// # Errors
    ///
    /// [`PickError::UnknownRoute`] for a route of another bundle, [`PickError::NoTarget`] when every
    /// target is leaving, ejected or excluded.
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
        ask: &PickCriteria<'_>,
        now: Instant,
        rng: &mut impl Rng,
    ) -> Result<Choice, PickError> {
        let pool = self.pool(route).ok_or(PickError::UnknownRoute)?;
        let now_ms = self.clock.millis(now);
        let picker = Picker {
            view: self,
            pool,
            ask,
            now_ms,
            typical: pool.averages(),
            bound: bound(pool),
            panic: pool.is_in_panic_mode(),
        };
        let (member, reason) = picker.pick(rng).ok_or(PickError::NoTarget)?;
        Ok(Choice {
            target: member.key,
            needs_health_check: member.gauge.needs_health_check(now_ms),
            reason,
            quota_used: pool.fill(),
        })
    }
}

/// Returns the pressure up to which a target of the pool is chosen without regard to others.
fn bound(pool: &Pool) -> u64 {
    let mean = pool.gauge.mean.load(std::sync::atomic::Ordering::Relaxed);
    // One request more than the bound always fits, or an idle pool would refuse all affinity.
    let slots = pool.members.first().map_or(1, |member| member.slots.max(1));
    u64::from(mean) * BOUND_PERCENT / 100 + SLOT_UNIT / u64::from(slots)
}

struct Picker<'a> {
    view: &'a RoutingView,
    pool: &'a Pool,
    ask: &'a PickCriteria<'a>,
    now_ms: u64,
    typical: PoolAverages,
    bound: u64,
    panic: bool,
}

impl<'a> Picker<'a> {
    fn pick(&self, rng: &mut impl Rng) -> Option<(&'a Member, PickReason)> {
        let site = self
            .ask
            .preferred_data_centre
            .and_then(|name| self.pool.site(name));
        let near = site.map(|site| &self.pool.members[site.range.clone()]);
        self.affine(site)
            .map(|member| (member, PickReason::Affinity))
            .or_else(|| {
                let member = self.draw(near?, rng).filter(|m| self.fits(m))?;
                Some((member, PickReason::PreferredDataCentre))
            })
            .or_else(|| {
                Some((
                    self.draw(&self.pool.members, rng)?,
                    PickReason::AnyDataCentre,
                ))
            })
            .or_else(|| Some((self.scan(rng)?, PickReason::FullScan)))
    }

    /// Finds a target that likely holds a prefix and is not above the bound.
    fn affine(&self, site: Option<&'a Site>) -> Option<&'a Member> {
        let longest = *self.ask.prefixes.first()?;
        let ring = site.map_or(&self.pool.ring, |site| &site.ring);
        self.holder().or_else(|| self.on_ring(ring, longest))
    }

    /// Finds the least loaded holder of the longest prefix that any engine is known to hold.
    fn holder(&self) -> Option<&'a Member> {
        let cache = &self.view.cache;
        let mut prefixes = self.ask.prefixes.iter();
        prefixes.find_map(|prefix| {
            let holders = cache.holders(*prefix).iter();
            let fitting = holders.filter_map(|holder| {
                let member = self.pool.member(holder.target)?;
                let doubt = if holder.certain { 1 } else { DOUBT };
                let score = self.pressure(member) * doubt;
                (score <= self.bound && self.usable(member)).then_some((score, member))
            });
            let (_, member) = fitting.min_by_key(|(score, _)| *score)?;
            Some(member)
        })
    }

    /// Walks pairs of targets on the ring and takes the less loaded of the first pair that fits.
    fn on_ring(&self, ring: &Ring, prefix: u64) -> Option<&'a Member> {
        let prefix = mix(prefix, self.ask.adapter);
        (0..AFFINE_PAIRS).find_map(|pair| {
            let first = self.at(ring, prefix, 2 * pair);
            let second = self.at(ring, prefix, 2 * pair + 1);
            self.lesser(first, second).filter(|m| self.fits(m))
        })
    }

    fn at(&self, ring: &Ring, prefix: u64, probe: u64) -> Option<&'a Member> {
        let index = ring.find(prefix, probe)?;
        let member = self.pool.members.get(index as usize)?;
        self.usable(member).then_some(member)
    }

    /// Draws two targets at random and returns the less loaded that may be used; two more as long
    /// as none has room.
    ///
    /// Reports lag, so all instances see the same target as the least loaded of all. Two random
    /// choices keep them from sending to it together.
    fn draw(&self, members: &'a [Member], rng: &mut impl Rng) -> Option<&'a Member> {
        let mut best = None;
        for _ in 0..DRAWS {
            let first = self.random(members, rng);
            let second = self.random(members, rng);
            best = self.lesser(best, self.lesser(first, second));
            if best.is_some_and(|member| self.pressure(member) <= SLOT_UNIT) {
                break;
            }
        }
        best
    }

    fn random(&self, members: &'a [Member], rng: &mut impl Rng) -> Option<&'a Member> {
        if members.is_empty() {
            return None;
        }
        let member = &members[rng.random_range(0..members.len())];
        self.usable(member).then_some(member)
    }

    /// Looks at all targets from a random one on, for when most may not be used.
    fn scan(&self, rng: &mut impl Rng) -> Option<&'a Member> {
        let members = &self.pool.members;
        if members.is_empty() {
            return None;
        }
        let (before, after) = members.split_at(rng.random_range(0..members.len()));
        let mut all = after.iter().chain(before);
        all.find(|member| self.usable(member))
    }

    fn lesser(&self, first: Option<&'a Member>, second: Option<&'a Member>) -> Option<&'a Member> {
        match (first, second) {
            (Some(a), Some(b)) if self.pressure(b) < self.pressure(a) => Some(b),
            (Some(a), _) => Some(a),
            (None, b) => b,
        }
    }

    fn fits(&self, member: &Member) -> bool {
        self.pressure(member) <= self.bound
    }

    fn pressure(&self, member: &Member) -> u64 {
        // When most targets seem bad, what says so is not trusted, and all share the work.
        match self.panic {
            true => member.plain_pressure(self.now_ms, self.typical),
            false => member.pressure(self.now_ms, self.typical),
        }
    }

    fn usable(&self, member: &Member) -> bool {
        self.pool.is_usable(member) && !self.ask.excluded.contains(&member.key)
    }
}
