//! Selection of the target that runs a request.

use std::{borrow::Cow, cmp::Ordering, collections::HashMap, time::Duration};

use celerypond_types::{DataCentre, ServiceName, TargetKey};
use tokio::time::Instant;

use crate::{
    choose_candidate,
    engine_pace::{EngineTimes, TimedEngine},
    stream_room, Candidate, ChoiceQuery, EngineUsage, Group, Separation, SilenceLimits, Target,
    Targets, Urgency, VersionChoice,
};

/// The used share of an engine's slots or memory above which it gets streams only if all engines
/// exceed it. Backups of other requests need room as well, and engines preempt streams when they
/// run out of memory.
const CROWDED_SHARE: f64 = 0.7;

/// The used share of an engine's slots or memory up to which running streams are moved to it. The
/// fuller these engines are, the more engines remain for reading prompts; backups find room there.
const MAX_RELOCATION_SHARE: f64 = 0.85;

/// The weight of the time by which running streams are delayed, relative to the wait of a prompt.
/// Prompts are read in chunks between the steps of running streams, whose events come more slowly
/// but without a pause that counts as late, whereas a prompt behind two others begins late.
const DELAYED_STREAM_WEIGHT: f64 = 0.5;
/// The number of most preferred engines among which a stream takes the least loaded one.
///
/// When 60 of 180 engines die, 32 streams are placed again within a third of a second. If each
/// chose the least loaded of all engines, the only one without streams would get eight of them from
/// instances that have not heard of each other yet, and the last one would begin after ten seconds.
/// As each prompt has its own order of preference, two streams rarely have the same engine among
/// their first few, and the least loaded of those is nearly as good as that of all.
const CANDIDATES: usize = 12;
/// The aim for the first event of a stream whose own is not known.
const DEFAULT_AIM: Duration = Duration::from_secs(4);
/// The crowding of an engine where others have to end first.
const MAX_CROWDING: u8 = 2;
/// A data centre is unhealthy if one in this many of its targets is avoided.
const UNHEALTHY_DIVISOR: usize = 3;
/// The minimum number of avoided targets that make a data centre unhealthy.
const MIN_UNHEALTHY: usize = 2;
/// The number of avoided targets that always makes a data centre unhealthy. Detecting a third of 60
/// engines would cost as many lost streams, and four engines rarely die independently within a
/// second.
const MAX_UNHEALTHY: usize = 4;

/// The requirements of a request on its target.
#[derive(Clone, Debug)]
pub struct TargetQuery<'a> {
    /// The service.
    pub service: &'a ServiceName,
    /// The acceptable versions of the service.
    pub choice: &'a VersionChoice,
    /// The data centre of this instance, which is preferred among equal targets.
    pub local_data_centre: &'a DataCentre,
    /// Targets that were already tried.
    pub tried: &'a [TargetKey],
    /// The id of the prompt part that belongs to this request alone.
    pub affinity: Option<u64>,
    /// A number specific to this request, by which one of several equal targets is selected.
    pub tie_breaker: u64,
    /// The maximum number of tokens of the request.
    pub tokens: u64,
    /// The tokens of its prompt among these.
    pub prompt_tokens: u64,
    /// Whether its caller has waited for too long for the response to be on time.
    pub is_late: bool,
    /// The number of live instances, which share plain targets that have a long queue.
    pub instances: usize,
    /// The memory of one engine, in tokens; `None` for plain services.
    pub capacity: Option<u64>,
    /// The maximum number of tokens of other prompts that an engine may have to read first; `None`
    /// for plain services.
    pub max_backlog: Option<u64>,
    /// The urgency; `None` if all requests of the service are equally urgent.
    pub urgency: Option<Urgency>,
    /// The latency target; zero if there is none.
    pub aim: Duration,
    /// Whether the request may be repeated, so that it may be sent to a slow plain target.
    pub may_repeat: bool,
}

/// A selected target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Selection {
    /// Its key.
    pub key: TargetKey,
    /// Whether there were only targets that failed recently.
    pub is_doubtful: bool,
}

impl Targets {
    /// Selects the target that runs a request.
    ///
    /// For a request with an affinity, all instances prefer the same targets in the same order, so
    /// that a caller's retry reaches the engine that has read its prompt. Otherwise the least
    /// loaded target is selected.
    pub fn select(&self, query: &TargetQuery<'_>, now: Instant) -> Option<Selection> {
        let loads = Loads::of(self, query, now);
        let all = self.sendable(query, &loads);
        let available = all.iter().copied();
        let available = available.filter(|(_, target)| self.is_available(target, query, now));
        if let Some(key) = loads.most_preferred(available) {
            return Some(Selection {
                key,
                is_doubtful: false,
            });
        }
        let soonest = all.iter().min_by_key(|(_, target)| target.avoided_until());
        soonest.map(|(key, _)| Selection {
            key: *key,
            is_doubtful: true,
        })
    }

    /// Selects the target of a request that is to run apart from others under which the same targets
    /// ended. Returns `None` if only targets are left that failed recently.
    ///
    /// # Examples
    ///
    /// ```
    /// use celerypond_relay::{Separation, TargetQuery, Targets, VersionChoice};
    /// use celerypond_types::{DataCentre, ServiceName};
    /// use tokio::time::Instant;
    ///
    /// let (service, data_centre) = (ServiceName::new("writer"), DataCentre::new("east"));
    /// let query = TargetQuery {
    ///     service: &service,
    ///     choice: &VersionChoice::Any,
    ///     local_data_centre: &data_centre,
    ///     tried: &[],
    ///     affinity: Some(7),
    ///     tie_breaker: 1,
    ///     tokens: 800,
    ///     prompt_tokens: 600,
    ///     is_late: false,
    ///     instances: 1,
    ///     capacity: Some(88_000),
    ///     max_backlog: None,
    ///     urgency: None,
    ///     aim: std::time::Duration::from_millis(150),
    ///     may_repeat: true,
    /// };
    /// let separation = Separation { seed: 1, position: 0 };
    /// assert_eq!(Targets::default().select_apart(&query, separation, Instant::now()), None);
    /// ```
    pub fn select_apart(
        &self,
        query: &TargetQuery<'_>,
        separation: Separation,
        now: Instant,
    ) -> Option<TargetKey> {
        let loads = Loads::of(self, query, now);
        let mut available = self.sendable(query, &loads);
        available.retain(|(_, target)| self.is_available(target, query, now));
        let class = |target: &Target| (!loads.has_room(target), loads.is_in_unhealthy_zone(target));
        available
            .sort_by_key(|(_, target)| (class(target), rendezvous_rank(separation.seed, target)));
        let best = class(available.first()?.1);
        let is_best = |(_, target): &&(TargetKey, &Target)| class(target) == best;
        let count = available.iter().take_while(is_best).count();
        Some(available[separation.position % count].0)
    }

    /// Returns the targets to which a request may be sent now, including those to avoid.
    fn sendable(&self, query: &TargetQuery<'_>, loads: &Loads<'_>) -> Vec<(TargetKey, &Target)> {
        let fitting = self.iter().filter(|(key, target)| {
            target.entry.service == *query.service
                && query.choice.allows(&target.entry.version)
                && !query.tried.contains(key)
                && !loads.has_long_backlog(target)
        });
        let send_query = query.send_query();
        fitting
            .filter(|(key, _)| self.check_send(*key, send_query, loads.now).is_ok())
            .collect()
    }

    fn is_available(&self, target: &Target, query: &TargetQuery<'_>, now: Instant) -> bool {
        let is_ordered = matches!(query.choice, VersionChoice::Only(_));
        !target.is_avoided(now) && (is_ordered || !self.is_held(target, now))
    }

    /// Returns whether a target is in an unhealthy data centre, even if it is not avoided itself.
    pub fn is_doubtful(&self, key: TargetKey, query: &TargetQuery<'_>, now: Instant) -> bool {
        let data_centre = self.get(key).map(|target| &target.entry.data_centre);
        data_centre
            .is_some_and(|data_centre| unhealthy_zones(self, query, now).contains(&data_centre))
    }

    /// Selects the engine that keeps a backup of the KV cache of a request at `main`.
    ///
    /// The backup is in another data centre, as nearly all engines of one can be lost at once.
    pub fn select_backup(
        &self,
        main: TargetKey,
        query: &TargetQuery<'_>,
        now: Instant,
    ) -> Option<TargetKey> {
        let main_entry = &self.get(main)?.entry;
        let others = self.iter().filter(|(key, target)| {
            *key != main
                && self.accepts_work(*key, now)
                && !target.is_avoided(now)
                && target.entry.service == *query.service
                && target.entry.version == main_entry.version
                && target.entry.data_centre != main_entry.data_centre
        });
        let loads = Loads::of(self, query, now);
        let best = others.min_by_key(|(_, target)| loads.backup_preference(target));
        best.map(|(key, _)| key)
    }
}

/// The loads of targets at one moment.
pub(crate) struct Loads<'a> {
    query: &'a TargetQuery<'a>,
    /// The usage of engines by streams of other instances; empty if there is no affinity.
    peer_usage: Cow<'a, HashMap<u64, EngineUsage>>,
    /// The name hash of the engine that has read the request's own prompt part.
    holder: Option<u64>,
    /// Targets that perform much worse than others; only for requests without an affinity.
    outliers: Vec<u64>,
    /// Data centres in which many of the service's targets are avoided.
    unhealthy_zones: Vec<&'a DataCentre>,
    /// Whether some engines are kept for less urgent requests.
    keeps_engines: bool,
    group: Group,
    /// The times at engines, if they state their pace.
    pub(crate) times: Option<EngineTimes>,
    /// The usual response time of the plain targets, in milliseconds; `None` unless they state their
    /// pace.
    usual_ms: Option<f64>,
    /// The usual expected time of an idle plain target, in milliseconds; 0 if unknown.
    usual_idle_ms: f64,
    now: Instant,
}

impl<'a> Loads<'a> {
    pub(crate) fn of(targets: &'a Targets, query: &'a TargetQuery<'a>, now: Instant) -> Self {
        let usage = match query.affinity {
            Some(_) => targets.peer_usage(now),
            None => Cow::Owned(HashMap::new()),
        };
        let is_plain = query.affinity.is_none() && query.capacity.is_none();
        let usual_ms = is_plain
            .then(|| targets.usual_response_ms(query.service, now))
            .flatten();
        let usual_idle_ms = match usual_ms {
            Some(usual_ms) if usual_ms > 0.0 => targets.usual_idle_ms(query.service, usual_ms, now),
            _ => 0.0,
        };
        let outliers = match query.affinity {
            Some(_) => Vec::new(),
            None => outliers(targets, query, usual_ms.is_some(), now),
        };
        Self {
            query,
            peer_usage: usage,
            outliers,
            holder: query.affinity.and_then(|part| targets.holder(part, now)),
            unhealthy_zones: unhealthy_zones(targets, query, now),
            keeps_engines: targets.keeps_engines(query),
            group: targets.group,
            times: targets.engine_times(query, now),
            usual_ms,
            usual_idle_ms,
            now,
        }
    }

    /// Returns the target to use.
    fn most_preferred<'t>(
        &self,
        targets: impl Iterator<Item = (TargetKey, &'t Target)>,
    ) -> Option<TargetKey> {
        if let (Some(times), Some(affinity)) = (&self.times, self.query.affinity) {
            return self.soonest_engine(times, affinity, targets);
        }
        let best = match self.query.affinity {
            Some(affinity) => self.least_loaded_engine(affinity, targets),
            None => match self.usual_ms {
                Some(usual_ms) => self.soonest_target(usual_ms, targets),
                None => targets.min_by(|a, b| self.compare_load(a.1, b.1)),
            },
        };
        best.map(|(key, _)| key)
    }

    /// Returns one of the plain targets that are expected to respond soonest.
    fn soonest_target<'t>(
        &self,
        usual_ms: f64,
        targets: impl Iterator<Item = (TargetKey, &'t Target)>,
    ) -> Option<(TargetKey, &'t Target)> {
        let mut all: Vec<_> = targets.collect();
        // The random choice then does not depend on the order of the list.
        all.sort_by_key(|(_, target)| target.name_hash);
        let candidate = |(_, target): &(TargetKey, &Target)| {
            let expected = |turns| target.response_time.expected_ms(turns, usual_ms, self.now);
            Candidate {
                expected_ms: expected(target.turns(self.now)),
                idle_ms: expected(1.0),
                free: 1.0 - target.fullness(self.now),
                is_local: target.entry.data_centre == *self.query.local_data_centre,
                is_failing: self.outliers.contains(&target.name_hash),
            }
        };
        let candidates: Vec<Candidate> = all.iter().map(candidate).collect();
        let query = ChoiceQuery {
            aim: self.query.aim,
            // A probe that failed is not repeated as a probe.
            may_probe: self.query.may_repeat && self.query.tried.is_empty() && !self.query.is_late,
            usual_ms: self.usual_idle_ms,
            tie_breaker: self.query.tie_breaker,
        };
        choose_candidate(&candidates, query).map(|index| all[index])
    }

    /// Returns the least loaded of the most preferred engines for a stream.
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
        let best = first
            .into_iter()
            .min_by_key(|((class, rank), _, engine)| (*class, self.prompt_cost(engine), *rank));
        best.map(|(_, key, engine)| (key, engine))
    }

    /// Returns the engine for a stream by the time that each takes. A crowded one costs more time:
    /// if it came after all others, the last engines that are not crowded would get all prompts.
    fn soonest_engine<'t>(
        &self,
        times: &EngineTimes,
        affinity: u64,
        engines: impl Iterator<Item = (TargetKey, &'t Target)>,
    ) -> Option<TargetKey> {
        let query = self.query;
        let aim = query.max_backlog.map(SilenceLimits::aim_of_backlog);
        let aim = aim.unwrap_or(DEFAULT_AIM);
        let timed = engines.map(|(key, engine)| {
            let ((is_kept, crowding, is_unhealthy, is_unread, is_foreign), rank) =
                self.preference(affinity, engine);
            let usage = self.usage_before(engine);
            let is_full = match query.urgency {
                Some(_) => is_kept || crowding == MAX_CROWDING,
                None => !self.has_room(engine),
            };
            TimedEngine {
                class: (is_full, is_unhealthy, is_unread && is_foreign),
                rank,
                is_holder: !is_unread,
                is_local: engine.entry.data_centre == *query.local_data_centre,
                factor: times.reading_factor(engine),
                cost_ms: times.prompt_cost(engine, &usage, !is_unread, query),
                is_crowded: crowding > 0,
                key,
            }
        });
        TimedEngine::select(timed.collect(), aim)
    }

    /// Returns the key by which engines are ordered for a stream: engines with room and outside of
    /// unhealthy data centres first, then the engine that has read the prompt, then engines of the
    /// instance's own group. Equal engines are ordered by a rank that is the same at all instances.
    ///
    /// With an urgency, only streams that are at least as urgent use an engine's room: engines admit
    /// prompts by urgency, and an urgent stream is not to go to a worse engine because less urgent
    /// ones fill the better ones.
    fn preference(&self, affinity: u64, target: &Target) -> ((bool, u8, bool, bool, bool), u64) {
        let others = self
            .peer_usage
            .get(&target.name_hash)
            .copied()
            .unwrap_or_default();
        let (is_kept, crowding) = match self.query.urgency {
            Some(urgency) => (
                self.keeps_engines && stream_room::is_kept(target),
                self.crowding(target, urgency),
            ),
            None => {
                let is_full = self.used_share(target, &others) > CROWDED_SHARE;
                (false, u8::from(is_full))
            }
        };
        let class = (
            is_kept,
            crowding,
            self.is_in_unhealthy_zone(target),
            self.holder != Some(target.name_hash),
            !self.group.contains(target.address_hash),
        );
        (class, rendezvous_rank(affinity, target))
    }

    /// Returns how full an engine is for a stream with an urgency: 0 if it has room, 1 if hardly any,
    /// and [`MAX_CROWDING`] if others that are at least as urgent have to end first.
    fn crowding(&self, target: &Target, urgency: Urgency) -> u8 {
        let used = self.total_usage(target).levels.up_to(urgency);
        let capacity = self.query.capacity.unwrap_or(u64::MAX).max(1);
        let memory = used.tokens.saturating_add(self.query.tokens) as f64 / capacity as f64;
        let share = memory.max(f64::from(used.streams) / f64::from(target.entry.slots.max(1)));
        u8::from(share > CROWDED_SHARE) + u8::from(share > stream_room::usable_share(urgency))
    }

    /// Returns the usage of an engine by the streams of all instances.
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
            levels: target.levels.merged(&others.levels),
        }
    }

    /// Returns the usage of an engine by streams that are at least as urgent, or by all if there is no
    /// urgency. Its `tokens` and `levels` are those of all streams.
    fn usage_before(&self, target: &Target) -> EngineUsage {
        let usage = self.total_usage(target);
        let Some(urgency) = self.query.urgency else {
            return usage;
        };
        let used = usage.levels.up_to(urgency);
        EngineUsage {
            streams: used.streams,
            reading_prompts: used.reading_prompts,
            reading_tokens: used.reading_tokens,
            ..usage
        }
    }

    /// Returns the cost of placing a prompt at an engine, in units of half a prompt: the tokens
    /// that are read before it, plus its own tokens for each running stream, which is delayed while
    /// they are read.
    fn prompt_cost(&self, target: &Target) -> u64 {
        let usage = self.usage_before(target);
        let running = u64::from(usage.streams.saturating_sub(usage.reading_prompts));
        let step = (self.query.tokens / 2).max(1);
        let delayed = (running * self.query.tokens) as f64 * DELAYED_STREAM_WEIGHT;
        // A less urgent stream that is preempted is read again.
        let is_preempting = self.query.urgency.is_some()
            && self
                .query
                .capacity
                .is_some_and(|capacity| usage.tokens + self.query.tokens > capacity);
        let read_again = if is_preempting { self.query.tokens } else { 0 };
        (usage.reading_tokens + delayed as u64 + read_again) / step
    }

    /// Returns whether an engine has room for another stream alongside the backups of other
    /// requests.
    pub(crate) fn has_room(&self, target: &Target) -> bool {
        let others = self
            .peer_usage
            .get(&target.name_hash)
            .copied()
            .unwrap_or_default();
        self.used_share(target, &others) <= MAX_RELOCATION_SHARE
    }

    /// Returns the key by which engines are ordered for a backup: engines with room and outside of
    /// unhealthy data centres first, then engines of the instance's own group, then by a rank that
    /// is the same at all instances. Instances do not tell each other of backups. If backups went
    /// to the least loaded engine, all backups that begin at about the same time would be at the
    /// one idle engine, and their streams would all resume there.
    fn backup_preference(&self, target: &Target) -> (bool, bool, bool, u64) {
        let others = self
            .peer_usage
            .get(&target.name_hash)
            .copied()
            .unwrap_or_default();
        let is_full = self.used_share(target, &others) > CROWDED_SHARE;
        let affinity = self.query.affinity.unwrap_or_default();
        (
            is_full,
            self.is_in_unhealthy_zone(target),
            !self.group.contains(target.address_hash),
            rendezvous_rank(affinity, target),
        )
    }

    /// Returns whether an engine has more to read than the stream can wait for.
    ///
    /// If all engines are lost and one returns before the others, all waiting streams would be sent
    /// there, where reading their prompts takes a minute while the other engines are idle.
    fn has_long_backlog(&self, target: &Target) -> bool {
        let Some(most) = self.query.max_backlog else {
            return false;
        };
        self.usage_before(target).reading_tokens > most
    }

    /// Returns the used share of an engine's slots or of its memory, whichever is larger.
    fn used_share(&self, target: &Target, others: &EngineUsage) -> f64 {
        let tokens = target.stream_tokens + others.tokens + self.query.tokens;
        let memory = self
            .query
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
        let is_remote = |target: &Target| target.entry.data_centre != *self.query.local_data_centre;
        let tie_break = |target: &Target| {
            celerypond_route::hash(&(self.query.tie_breaker ^ target.name_hash).to_le_bytes())
        };
        let is_outlier = |target: &Target| self.outliers.contains(&target.name_hash);
        is_outlier(a)
            .cmp(&is_outlier(b))
            .then(left.total_cmp(&right))
            .then(is_remote(a).cmp(&is_remote(b)))
            .then_with(|| tie_break(a).cmp(&tie_break(b)))
    }
}

fn outliers(targets: &Targets, query: &TargetQuery<'_>, is_timed: bool, now: Instant) -> Vec<u64> {
    let of_service = targets
        .iter()
        .filter(|(key, target)| target.entry.service == *query.service && targets.is_usable(*key));
    let hashes: Vec<u64> = of_service.map(|(_, target)| target.name_hash).collect();
    match is_timed {
        true => targets.quality().failing(&hashes, now),
        false => targets.quality().outliers(&hashes, now),
    }
}

/// Counts of a service's targets in one data centre.
struct ZoneCount<'a> {
    data_centre: &'a DataCentre,
    all: usize,
    avoided: usize,
}

impl ZoneCount<'_> {
    fn is_unhealthy(&self) -> bool {
        let threshold = self
            .all
            .div_ceil(UNHEALTHY_DIVISOR)
            .clamp(MIN_UNHEALTHY, MAX_UNHEALTHY);
        self.avoided >= threshold
    }
}

/// Returns the data centres in which a third of the service's targets, or at least a few of many,
/// are avoided.
///
/// When nearly all engines of a data centre die at once, each is detected by losing a stream or a
/// backup there. Engines that were not detected yet look idle, as they have lost their streams, and
/// would attract all streams that are placed again. Once two of six engines or four of sixty are
/// avoided, the other engines of the data centre are used last. If this applies to all data centres
/// it has no effect.
fn unhealthy_zones<'a>(
    targets: &'a Targets,
    query: &TargetQuery<'_>,
    now: Instant,
) -> Vec<&'a DataCentre> {
    let mut zone_counts: Vec<ZoneCount<'a>> = Vec::new();
    for (key, target) in targets.iter() {
        if target.entry.service != *query.service || !targets.is_usable(key) {
            continue;
        }
        let data_centre = &target.entry.data_centre;
        let at = zone_counts
            .iter()
            .position(|count| count.data_centre == data_centre);
        let at = at.unwrap_or_else(|| {
            zone_counts.push(ZoneCount {
                data_centre,
                all: 0,
                avoided: 0,
            });
            zone_counts.len() - 1
        });
        zone_counts[at].all += 1;
        zone_counts[at].avoided += usize::from(target.is_avoided(now));
    }
    let unhealthy_zones = zone_counts.into_iter().filter(ZoneCount::is_unhealthy);
    unhealthy_zones.map(|count| count.data_centre).collect()
}

/// An engine that restarts keeps its address, and thus its rank for prompts.
pub(crate) fn rendezvous_rank(affinity: u64, target: &Target) -> u64 {
    let bytes = [affinity.to_le_bytes(), target.address_hash.to_le_bytes()];
    celerypond_route::hash(bytes.as_flattened())
}
