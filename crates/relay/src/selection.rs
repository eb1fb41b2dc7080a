//! Which target runs a request.

use std::{borrow::Cow, cmp::Ordering, collections::HashMap};

use celerypond_types::{DataCentre, ServiceName, TargetKey};
use tokio::time::Instant;

use crate::{EngineUsage, Group, Target, Targets, VersionChoice};

/// The part of an engine's slots or memory beyond which it takes streams only when all are so full:
/// the copies of others' runs need room as well, and where memory runs out streams are preempted.
const CROWDED_SHARE: f64 = 0.6;

/// The part of an engine's slots or memory up to which running streams are moved to it. The fuller these engines are, the
/// more others are left to read prompts; copies find room at those.
const MAX_RELOCATION_SHARE: f64 = 0.85;

/// How much more the time of streams that are held up weighs than the wait of a prompt: they pause, or move.
const DELAYED_STREAM_WEIGHT: u64 = 2;
/// The engines, first in the order that all instances share, of which a stream takes the least loaded.
///
/// The failure: 60 of 180 engines die, 32 streams are placed anew within a third of a second, and the one
/// engine without streams gets eight of them from as many instances, which have not heard of each other yet.
/// The last one begins after ten seconds. Each prompt has its own order, so among a few engines of it
/// two streams seldom find the same one, and the least loaded of a few is nearly as good as that of all.
const CANDIDATES: usize = 12;
/// One in so many targets of a data centre avoided make it sick.
const UNHEALTHY_DIVISOR: usize = 3;
/// Fewer avoided targets never make a data centre sick.
const MIN_UNHEALTHY: usize = 2;
/// So many avoided targets always do. A third of 60 engines would take as many lost streams to find
/// out; that four of them die within a second each on its own is rare.
const MAX_UNHEALTHY: usize = 4;

/// What is wanted of a target.
#[derive(Clone, Debug)]
pub struct TargetQuery<'a> {
    /// The service.
    pub service: &'a ServiceName,
    /// The versions of its software that will do.
    pub choice: &'a VersionChoice,
    /// The data centre of this instance, which goes first where all else is equal.
    pub local_data_centre: &'a DataCentre,
    /// Targets that were tried already.
    pub tried: &'a [TargetKey],
    /// The hash of the prompt part that belongs to the request alone.
    pub affinity: Option<u64>,
    /// A number of this request's own, by which one of several equal targets is taken.
    pub tie_breaker: u64,
    /// Tokens that the request takes at most.
    pub tokens: u64,
    /// The memory of one engine in tokens; nothing for plain services.
    pub capacity: Option<u64>,
    /// The most tokens of other prompts that an engine may have to read first; nothing for plain
    /// services.
    pub max_backlog: Option<u64>,
}

/// The chosen target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Selection {
    /// Its key.
    pub key: TargetKey,
    /// Whether only targets that failed a moment ago were left.
    pub is_doubtful: bool,
}

impl Targets {
    /// Chooses the target that runs a request.
    ///
    /// With an affinity, all instances prefer the same targets for it in the same order, so a
    /// caller's retry finds its prompt where it was read. Without one, the least loaded is taken.
    pub fn select(&self, want: &TargetQuery<'_>, now: Instant) -> Option<Selection> {
        let fits = |target: &&(TargetKey, &Target)| {
            self.is_usable(target.0)
                && target.1.entry.service == *want.service
                && want.choice.allows(&target.1.entry.version)
                && !want.tried.contains(&target.0)
        };
        let loads = Loads::of(self, want, now);
        let all = self.iter().filter(|target| fits(&target));
        let all: Vec<(TargetKey, &Target)> = all
            .filter(|(_, target)| !loads.has_long_backlog(target))
            .collect();
        let sound = all.iter().copied();
        let is_ordered = matches!(want.choice, VersionChoice::Only(_));
        let is_held = |target: &Target| !is_ordered && self.is_held(target, now);
        let sound = sound.filter(|(_, target)| !target.is_avoided(now) && !is_held(target));
        if let Some(key) = loads.most_preferred(sound) {
            return Some(Selection {
                key,
                is_doubtful: false,
            });
        }
        let soonest = all.iter().min_by_key(|(_, target)| target.avoided_until);
        soonest.map(|(key, _)| Selection {
            key: *key,
            is_doubtful: true,
        })
    }

    /// Returns whether many targets of a target's data centre are avoided, though it may not be.
    pub fn is_doubtful(&self, key: TargetKey, want: &TargetQuery<'_>, now: Instant) -> bool {
        let home = self.get(key).map(|target| &target.entry.data_centre);
        home.is_some_and(|home| unhealthy_zones(self, want, now).contains(&home))
    }

    /// Chooses the engine that holds a copy of the memory of a run at `main`.
    ///
    /// Nearly all engines of a data centre can go at once, so the copy goes to another one.
    pub fn select_backup(
        &self,
        main: TargetKey,
        want: &TargetQuery<'_>,
        now: Instant,
    ) -> Option<TargetKey> {
        let home = &self.get(main)?.entry;
        let others = self.iter().filter(|(key, target)| {
            *key != main
                && self.is_usable(*key)
                && !target.is_avoided(now)
                && target.entry.service == *want.service
                && target.entry.version == home.version
                && target.entry.data_centre != home.data_centre
        });
        let loads = Loads::of(self, want, now);
        let most_preferred = others.min_by_key(|(_, target)| loads.backup_preference(target));
        most_preferred.map(|(key, _)| key)
    }
}

/// What is known of the targets' loads at one moment.
pub(crate) struct Loads<'a> {
    want: &'a TargetQuery<'a>,
    /// What streams of other instances take; counted for streams only.
    peer_usage: Cow<'a, HashMap<u64, EngineUsage>>,
    /// The hash of the target that has read the request's own prompt part.
    holder: Option<u64>,
    /// Targets that do much worse than their peers; for requests in one piece only.
    outliers: Vec<u64>,
    /// Data centres where many of the service's targets are avoided.
    unhealthy_zones: Vec<&'a DataCentre>,
    group: Group,
    now: Instant,
}

impl<'a> Loads<'a> {
    pub(crate) fn of(targets: &'a Targets, want: &'a TargetQuery<'a>, now: Instant) -> Self {
        let taken = match want.affinity {
            Some(_) => targets.peer_usage(now),
            None => Cow::Owned(HashMap::new()),
        };
        let outliers = match want.affinity {
            Some(_) => Vec::new(),
            None => outliers(targets, want, now),
        };
        Self {
            want,
            peer_usage: taken,
            outliers,
            holder: want.affinity.and_then(|part| targets.holder(part, now)),
            unhealthy_zones: unhealthy_zones(targets, want, now),
            group: targets.group,
            now,
        }
    }

    /// Returns the target that goes first.
    fn most_preferred<'t>(
        &self,
        targets: impl Iterator<Item = (TargetKey, &'t Target)>,
    ) -> Option<TargetKey> {
        let most_preferred = match self.want.affinity {
            Some(affinity) => self.least_loaded_engine(affinity, targets),
            None => targets.min_by(|a, b| self.compare_load(a.1, b.1)),
        };
        most_preferred.map(|(key, _)| key)
    }

    /// Returns the engine that goes first for a stream: the least loaded of the first few in their order.
    fn least_loaded_engine<'t>(
        &self,
        affinity: u64,
        engines: impl Iterator<Item = (TargetKey, &'t Target)>,
    ) -> Option<(TargetKey, &'t Target)> {
        let ordered = engines.map(|(key, engine)| (self.preference(affinity, engine), key, engine));
        let mut first: Vec<_> = ordered.collect();
        if first.len() > CANDIDATES {
            first.select_nth_unstable_by_key(CANDIDATES - 1, |(preference, ..)| *preference);
            first.truncate(CANDIDATES);
        }
        let most_preferred =
            first
                .into_iter()
                .min_by_key(|((class, rendezvous_rank), _, engine)| {
                    (*class, self.prompt_cost(engine), *rendezvous_rank)
                });
        most_preferred.map(|(_, key, engine)| (key, engine))
    }

    /// Orders engines for a stream: by their class, those with room outside of sick data centres, then the one
    /// that has read the prompt, then those of the own group; within a class by the rank that all instances
    /// share.
    fn preference(&self, affinity: u64, target: &Target) -> ((bool, bool, bool, bool), u64) {
        let others = self
            .peer_usage
            .get(&target.name_hash)
            .copied()
            .unwrap_or_default();
        let is_full = self.used_share(target, &others) > CROWDED_SHARE;
        let class = (
            is_full,
            self.is_in_unhealthy_zone(target),
            self.holder != Some(target.name_hash),
            !self.group.contains(target.address_hash),
        );
        (class, rendezvous_rank(affinity, target))
    }

    /// Returns all that instances have at an engine.
    pub(crate) fn total_usage(&self, target: &Target) -> EngineUsage {
        let others = self
            .peer_usage
            .get(&target.name_hash)
            .copied()
            .unwrap_or_default();
        EngineUsage {
            streams: target.open_requests + others.streams,
            reading_prompts: target.reading_prompts + others.reading_prompts,
            reading_tokens: target.reading_tokens + others.reading_tokens,
            tokens: target.stream_tokens + others.tokens,
        }
    }

    /// Returns what a prompt costs at an engine, in steps of half a prompt: the wait for what is read
    /// before it, and for each stream that runs there the time of its own reading, which holds the
    /// stream up.
    fn prompt_cost(&self, target: &Target) -> u64 {
        let total_usage = self.total_usage(target);
        let running = u64::from(
            total_usage
                .streams
                .saturating_sub(total_usage.reading_prompts),
        );
        let step = (self.want.tokens / 2).max(1);
        (total_usage.reading_tokens + running * self.want.tokens * DELAYED_STREAM_WEIGHT) / step
    }

    /// Returns whether an engine has room for one more stream beside the copies of others' runs.
    pub(crate) fn has_room(&self, target: &Target) -> bool {
        let others = self
            .peer_usage
            .get(&target.name_hash)
            .copied()
            .unwrap_or_default();
        self.used_share(target, &others) <= MAX_RELOCATION_SHARE
    }

    /// Orders engines for a copy: those with room outside of sick data centres, those of the own group, then
    /// by the order that all instances share. Copies are not told of, so by the least load all that begin at a moment
    /// would be at the one engine that is empty, and resume there together.
    fn backup_preference(&self, target: &Target) -> (bool, bool, bool, u64) {
        let others = self
            .peer_usage
            .get(&target.name_hash)
            .copied()
            .unwrap_or_default();
        let is_full = self.used_share(target, &others) > CROWDED_SHARE;
        let affinity = self.want.affinity.unwrap_or_default();
        (
            is_full,
            self.is_in_unhealthy_zone(target),
            !self.group.contains(target.address_hash),
            rendezvous_rank(affinity, target),
        )
    }

    /// Returns whether an engine has more to read than a stream can wait for.
    ///
    /// The failure: all engines are lost, one is back before the others, and every stream that waits
    /// goes there. It reads for a minute, and the others are idle.
    fn has_long_backlog(&self, target: &Target) -> bool {
        let others = self
            .peer_usage
            .get(&target.name_hash)
            .map_or(0, |taken| taken.reading_tokens);
        let reading = target.reading_tokens + others;
        self.want.max_backlog.is_some_and(|most| reading > most)
    }

    /// Returns the larger of the parts of an engine's slots and of its memory that are taken.
    fn used_share(&self, target: &Target, others: &EngineUsage) -> f64 {
        let tokens = target.stream_tokens + others.tokens + self.want.tokens;
        let memory = self
            .want
            .capacity
            .map_or(0.0, |capacity| tokens as f64 / capacity.max(1) as f64);
        let slots =
            f64::from(target.open_requests + others.streams) / f64::from(target.entry.slots.max(1));
        memory.max(slots)
    }

    pub(crate) fn is_in_unhealthy_zone(&self, target: &Target) -> bool {
        self.unhealthy_zones.contains(&&target.entry.data_centre)
    }

    fn compare_load(&self, a: &Target, b: &Target) -> Ordering {
        let (left, right) = (a.fullness(self.now), b.fullness(self.now));
        let is_far = |target: &Target| target.entry.data_centre != *self.want.local_data_centre;
        let lot = |target: &Target| {
            celerypond_route::hash(&(self.want.tie_breaker ^ target.name_hash).to_le_bytes())
        };
        let is_outlier = |target: &Target| self.outliers.contains(&target.name_hash);
        is_outlier(a)
            .cmp(&is_outlier(b))
            .then(left.total_cmp(&right))
            .then(is_far(a).cmp(&is_far(b)))
            .then_with(|| lot(a).cmp(&lot(b)))
    }
}

fn outliers(targets: &Targets, want: &TargetQuery<'_>, now: Instant) -> Vec<u64> {
    let of_service = targets
        .iter()
        .filter(|(key, target)| target.entry.service == *want.service && targets.is_usable(*key));
    let hashes: Vec<u64> = of_service.map(|(_, target)| target.name_hash).collect();
    targets.quality().outliers(&hashes, now)
}

/// The targets of a service in one data centre.
struct ZoneCount<'a> {
    home: &'a DataCentre,
    all: usize,
    avoided: usize,
}

impl ZoneCount<'_> {
    fn is_in_unhealthy_zone(&self) -> bool {
        let enough = self
            .all
            .div_ceil(UNHEALTHY_DIVISOR)
            .clamp(MIN_UNHEALTHY, MAX_UNHEALTHY);
        self.avoided >= enough
    }
}

/// Returns the data centres where a third of the service's targets are avoided, or several of many.
///
/// The failure: nearly all engines of a data centre die at once, and each is found out by a stream
/// or a copy that is lost there. Those that are not found out yet have lost their streams, so they
/// look idle and would get all that is placed anew. Where two of six do not answer, or four of
/// sixty, the others of the data centre are asked last. Where each data centre has so many, it
/// changes nothing.
fn unhealthy_zones<'a>(
    targets: &'a Targets,
    want: &TargetQuery<'_>,
    now: Instant,
) -> Vec<&'a DataCentre> {
    let mut zone_counts: Vec<ZoneCount<'a>> = Vec::new();
    for (key, target) in targets.iter() {
        if target.entry.service != *want.service || !targets.is_usable(key) {
            continue;
        }
        let home = &target.entry.data_centre;
        let at = zone_counts.iter().position(|count| count.home == home);
        let at = at.unwrap_or_else(|| {
            zone_counts.push(ZoneCount {
                home,
                all: 0,
                avoided: 0,
            });
            zone_counts.len() - 1
        });
        zone_counts[at].all += 1;
        zone_counts[at].avoided += usize::from(target.is_avoided(now));
    }
    let unhealthy_zones = zone_counts
        .into_iter()
        .filter(ZoneCount::is_in_unhealthy_zone);
    unhealthy_zones.map(|count| count.home).collect()
}

/// An engine that starts again keeps its address, and with it the prompts that go to it first.
pub(crate) fn rendezvous_rank(affinity: u64, target: &Target) -> u64 {
    let bytes = [affinity.to_le_bytes(), target.address_hash.to_le_bytes()];
    celerypond_route::hash(bytes.as_flattened())
}
