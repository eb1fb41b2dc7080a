//! Watches targets: their health and load, who is leaving, who is ejected.

use std::{collections::HashMap, sync::Arc, time::Duration};

use celerypond_bundle::TargetKind;
use celerypond_fleet::EntryKind;
use celerypond_platform::Presence;
use celerypond_route::{
    Availability, CacheEvent, DepartureNotice, DepartureState, OutlierDetector, OutlierEffect,
    OutlierLimits, PrefixTracker, Route, RoutingView, Target,
};
use celerypond_telemetry::{Counter, Gauge};
use celerypond_types::{TargetKey, TargetName, VersionName};
use rand::{rngs::SmallRng, Rng};
use slotmap::SecondaryMap;
use tokio::{
    sync::mpsc,
    task::JoinSet,
    time::{self, Instant},
};

use crate::{
    engine::{self, CacheChange, CacheKind},
    gossip,
    node::Node,
};

/// How often pools are surveyed and ejections are decided.
const STEP: Duration = Duration::from_millis(100);
/// The mean time between two polls of a target.
const POLL_MS: u64 = 1_000;
/// How many polls may be under way at once.
const POLLS: usize = 256;

/// What requests tell of a target.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum TargetEvent {
    /// It answered after this time.
    Succeeded {
        /// What it was asked for.
        route: Route,
        /// The target.
        target: TargetKey,
        /// The time to the first token, or to the answer of a service, in milliseconds.
        latency_ms: f64,
    },
    /// It failed in a way that speaks against it.
    Failed {
        /// What it was asked for.
        route: Route,
        /// The target.
        target: TargetKey,
    },
}

/// What a poll brought.
struct Polled {
    target: TargetKey,
    sent_ms: u64,
    word: Option<Availability>,
    versions: Option<Vec<VersionName>>,
    load: Option<engine::Load>,
    /// What its cache tells; `None` when it was not heard.
    cache: Option<Vec<CacheChange>>,
}

struct Watch {
    node: Arc<Node>,
    rng: SmallRng,
    departures: SecondaryMap<TargetKey, DepartureState>,
    due: SecondaryMap<TargetKey, u64>,
    detectors: HashMap<Route, OutlierDetector>,
    /// Pools in which a target was asked for its health on behalf of their detectors.
    probed: SecondaryMap<TargetKey, Vec<Route>>,
    polls: JoinSet<Polled>,
    prefixes: PrefixTracker,
    is_cache_new: bool,
}

/// Watches targets until the instance ends.
pub async fn run(node: Arc<Node>, mut events: mpsc::Receiver<TargetEvent>) {
    let mut watch = Watch {
        rng: node.rng(),
        departures: SecondaryMap::new(),
        due: SecondaryMap::new(),
        detectors: HashMap::new(),
        probed: SecondaryMap::new(),
        polls: JoinSet::new(),
        prefixes: PrefixTracker::default(),
        is_cache_new: false,
        node: Arc::clone(&node),
    };
    let mut step = time::interval(STEP);
    loop {
        tokio::select! {
            () = node.shutdown.cancelled() => break,
            _ = step.tick() => watch.step(),
            Some(event) = events.recv() => watch.event(event),
            () = node.departures_changed.notified() => watch.hear_peers(),
            Some(Ok(polled)) = watch.polls.join_next() => watch.polled(&polled),
        }
    }
    watch.polls.shutdown().await;
}

impl Watch {
    fn step(&mut self) {
        let now = Instant::now();
        let view = self.node.view.load_full();
        let now_ms = view.clock().millis(now);
        self.read_list(&view, now_ms);
        self.index_caches();
        self.retain(&view);
        view.update_load_stats(now);
        self.eject(&view, now_ms);
        self.poll(&view, now_ms);
        let live = view
            .targets()
            .filter(|(_, target)| !target.state.is_closed());
        self.node
            .metrics
            .set(Gauge::LiveTargets, live.count() as u64);
    }

    fn event(&mut self, event: TargetEvent) {
        match event {
            TargetEvent::Succeeded {
                route,
                target,
                latency_ms,
            } => self.detector(route).record_success(target, latency_ms),
            TargetEvent::Failed { route, target } => self.detector(route).record_failure(target),
        }
    }

    fn polled(&mut self, polled: &Polled) {
        let view = self.node.view.load_full();
        let Some(target) = view.target(polled.target) else {
            return;
        };
        let now_ms = view.clock().millis(Instant::now());
        if let Some(word) = polled.word {
            self.say(polled.target, target, |departure| {
                departure.observe_target(word, polled.sent_ms, now_ms)
            });
            if word == Availability::Live {
                target.state.record_live(polled.sent_ms);
            }
        }
        if let Some(versions) = &polled.versions {
            self.node
                .record_loaded_versions(&target.name, versions.clone());
        }
        if let Some(load) = polled.load {
            let sampled_ms = polled.sent_ms.saturating_sub(load.age_ms);
            target
                .state
                .record_load(sampled_ms, load.running + load.queued);
        }
        if let Some(changes) = &polled.cache {
            let events: Vec<(u64, CacheEvent)> = changes.iter().map(cache_event).collect();
            self.is_cache_new |= self.prefixes.apply_poll(polled.target, &events);
        }
        for route in self.probed.remove(polled.target).unwrap_or_default() {
            let alive = polled.word.is_some();
            self.detector(route)
                .record_probe(polled.target, alive, now_ms);
        }
    }

    fn index_caches(&mut self) {
        if std::mem::take(&mut self.is_cache_new) {
            let index = Arc::new(self.prefixes.build_index());
            let cached = |view: &Arc<RoutingView>| view.with_prefix_index(Arc::clone(&index));
            self.node.view.rcu(cached);
        }
    }

    /// Takes the words of leaving that other instances pass on.
    fn hear_peers(&mut self) {
        let view = self.node.view.load_full();
        let now_ms = view.clock().millis(Instant::now());
        let words: Vec<(TargetName, Vec<DepartureNotice>)> = {
            let gossip = self.node.gossip();
            let items = gossip.entries().items(EntryKind::TargetLeaving);
            items
                .filter_map(|(_, item)| {
                    let notices = serde_json::from_slice(&item.value).ok()?;
                    Some((TargetName::new(&item.key), notices))
                })
                .collect()
        };
        for (name, notices) in words {
            let Some((key, target)) = view
                .target_key(&name)
                .and_then(|key| Some((key, view.target(key)?)))
            else {
                continue;
            };
            for notice in notices {
                self.say(key, target, |departure| {
                    departure.observe_notice(notice, now_ms)
                });
            }
        }
    }

    fn read_list(&mut self, view: &RoutingView, now_ms: u64) {
        let list = self.node.instance_list.load_full();
        for listed in &list.targets {
            let Some(key) = view.target_key(&listed.name) else {
                continue;
            };
            let word = word(listed.state);
            if let Some(target) = view.target(key) {
                self.say(key, target, |departure| {
                    departure.observe_list(word, now_ms)
                });
            }
        }
    }

    fn say(
        &mut self,
        key: TargetKey,
        target: &Target,
        say: impl FnOnce(DepartureState) -> DepartureState,
    ) {
        let before = self.departures.get(key).copied().unwrap_or_default();
        let after = say(before);
        self.departures.insert(key, after);
        target.state.set_closed(after.is_leaving());
        if before.is_leaving() != after.is_leaving() {
            let state = if after.is_leaving() {
                "leaving"
            } else {
                "back"
            };
            log::info!("target {} is {state}", target.name);
            self.pass_on(target, after);
        }
    }

    /// Tells the other instances that a target leaves; they may be cut off from it and the list.
    fn pass_on(&self, target: &Target, departure: DepartureState) {
        let name = target.name.as_str();
        let notices: Vec<DepartureNotice> = departure.notices(self.node.now_ms()).collect();
        if notices.is_empty() {
            self.node
                .gossip()
                .clear_entry(EntryKind::TargetLeaving, name);
            return;
        }
        let value = serde_json::to_vec(&relays).unwrap_or_default();
        gossip::set_entry(&self.node, EntryKind::TargetLeaving, name, value);
    }

    fn retain(&mut self, view: &RoutingView) {
        let Self {
            departures,
            prefixes,
            ..
        } = self;
        departures.retain(|key, _| {
            let is_kept = view.target(key).is_some();
            if !is_kept {
                prefixes.remove(key);
            }
            is_kept
        });
        self.due.retain(|key, _| view.target(key).is_some());
        self.detectors
            .retain(|route, _| view.pool(*route).is_some());
    }

    fn eject(&mut self, view: &RoutingView, now_ms: u64) {
        let mut probes = Vec::new();
        for (route, detector) in &mut self.detectors {
            let Some(pool) = view.pool(*route) else {
                continue;
            };
            for effect in detector.step(pool, now_ms) {
                match effect {
                    OutlierEffect::SetWeight(target, weight) => {
                        note(&self.node, view, target, weight);
                        pool.set_weight(target, weight);
                    }
                    OutlierEffect::SetPanicMode(panic) => pool.set_panic_mode(panic),
                    OutlierEffect::Probe(target) => probes.push((*route, target)),
                }
            }
        }
        for (route, target) in probes {
            if let Some(entry) = self.probed.entry(target) {
                entry.or_default().push(route);
            }
            self.due.insert(target, now_ms);
        }
    }

    fn poll(&mut self, view: &RoutingView, now_ms: u64) {
        for (key, target) in view.targets() {
            let due = self.due.get(key).copied().unwrap_or(0);
            if due > now_ms || self.polls.len() >= POLLS {
                continue;
            }
            // Jitter keeps instances from asking a target in step.
            let next = now_ms + self.rng.random_range(POLL_MS / 2..POLL_MS * 3 / 2);
            self.due.insert(key, next);
            let since = self.prefixes.poll_after(key);
            self.polls
                .spawn(poll(key, Arc::clone(target), now_ms, since));
        }
    }

    fn detector(&mut self, route: Route) -> &mut OutlierDetector {
        let detector = self.detectors.entry(route);
        detector.or_insert_with(|| OutlierDetector::new(OutlierLimits::default()))
    }
}

fn note(node: &Node, view: &RoutingView, target: TargetKey, weight: u32) {
    let Some(target) = view.target(target) else {
        return;
    };
    match weight {
        0 => {
            node.metrics.add(Counter::Ejections, 1);
            log::info!("target {} is ejected", target.name);
        }
        celerypond_route::FULL_WEIGHT => {
            node.metrics.add(Counter::Returns, 1);
            log::info!(
                "target {} takes its whole part of the work again",
                target.name
            );
        }
        _ => {}
    }
}

/// Asks a target whose last word is old whether it takes new work; call it just before work is sent.
///
/// The failure: an instance that is cut off from the others and the platform hears neither that a
/// target leaves nor that it left. Work would be sent there until the list says so. Only a target
/// that says itself that it is live gets any; one that does not is missed for a moment by all.
pub async fn is_live(node: &Node, key: TargetKey, target: &Target) -> bool {
    let sent_ms = node.now_ms();
    if !target.state.needs_health_check(sent_ms) {
        return true;
    }
    let health = engine::health(target.address, health_path(target.kind)).await;
    let is_live = matches!(health, Ok(Some(health)) if health.state == Presence::Live);
    match is_live {
        true => target.state.record_live(sent_ms),
        false => node.suspects.add(key, Instant::now()),
    }
    is_live
}

/// Returns the path under which a target tells of its health.
pub fn health_path(kind: TargetKind) -> &'static str {
    match kind {
        TargetKind::Engine => "/v1/health",
        TargetKind::Service => "/health",
    }
}

async fn poll(key: TargetKey, target: Arc<Target>, sent_ms: u64, since: u64) -> Polled {
    let address = target.address;
    let path = health_path(target.kind);
    let (health, load, cache) = match target.kind {
        TargetKind::Engine => tokio::join!(
            engine::health(address, path),
            engine::load(address, "/v1/load"),
            engine::cache(address, since),
        ),
        TargetKind::Service => {
            let (health, load) = tokio::join!(
                engine::health(address, path),
                engine::load(address, "/health"),
            );
            (health, load, Ok(Vec::new()))
        }
    };
    let health = health.ok().flatten();
    Polled {
        target: key,
        sent_ms,
        word: health.as_ref().map(|health| word(health.state)),
        versions: health.map(|health| health.versions),
        load: load.ok().flatten(),
        cache: cache.ok(),
    }
}

fn cache_event(change: &CacheChange) -> (u64, CacheEvent) {
    let event = match change.kind {
        CacheKind::Stored => CacheEvent::Stored(change.prefix),
        CacheKind::Evicted => CacheEvent::Evicted(change.prefix),
    };
    (change.sequence, event)
}

/// Returns what a target's state means for new work.
pub fn word(state: Presence) -> Availability {
    match state {
        Presence::Live => Availability::Live,
        Presence::Leaving => Availability::Leaving,
    }
}
