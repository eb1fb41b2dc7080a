//! Polls targets for health and load, tracks which of them are leaving, and ejects outliers.

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

/// The interval at which load statistics are updated and outlier detectors are run.
const STEP_INTERVAL: Duration = Duration::from_millis(100);
/// The mean time between two polls of a target, in milliseconds.
const MEAN_POLL_INTERVAL_MS: u64 = 1_000;
/// The maximum number of polls in flight.
const MAX_CONCURRENT_POLLS: usize = 256;

/// The result of a request at a target, as far as it concerns outlier detection.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum TargetEvent {
    /// The target responded.
    Succeeded {
        /// The route of the request.
        route: Route,
        /// The target.
        target: TargetKey,
        /// The time to the first token, or to the response of a service, in milliseconds.
        latency_ms: f64,
    },
    /// The request failed in a way that is attributed to the target.
    Failed {
        /// The route of the request.
        route: Route,
        /// The target.
        target: TargetKey,
    },
}

/// The result of a poll; a part is `None` if its call failed.
struct PollResult {
    target: TargetKey,
    sent_ms: u64,
    availability: Option<Availability>,
    versions: Option<Vec<VersionName>>,
    load: Option<engine::Load>,
    cache: Option<Vec<CacheChange>>,
}

struct TargetWatcher {
    node: Arc<Node>,
    rng: SmallRng,
    departures: SecondaryMap<TargetKey, DepartureState>,
    next_poll_ms: SecondaryMap<TargetKey, u64>,
    detectors: HashMap<Route, OutlierDetector>,
    /// The routes whose detectors requested a probe of a target that has not completed yet.
    probed_routes: SecondaryMap<TargetKey, Vec<Route>>,
    polls: JoinSet<PollResult>,
    prefixes: PrefixTracker,
    prefixes_changed: bool,
}

/// Watches targets until the instance shuts down.
pub async fn run(node: Arc<Node>, mut events: mpsc::Receiver<TargetEvent>) {
    let mut watcher = TargetWatcher {
        rng: node.rng(),
        departures: SecondaryMap::new(),
        next_poll_ms: SecondaryMap::new(),
        detectors: HashMap::new(),
        probed_routes: SecondaryMap::new(),
        polls: JoinSet::new(),
        prefixes: PrefixTracker::default(),
        prefixes_changed: false,
        node: Arc::clone(&node),
    };
    let mut step = time::interval(STEP_INTERVAL);
    loop {
        tokio::select! {
            () = node.shutdown.cancelled() => break,
            _ = step.tick() => watcher.step(),
            Some(event) = events.recv() => watcher.handle_event(event),
            () = node.departures_changed.notified() => watcher.merge_peer_notices(),
            Some(Ok(result)) = watcher.polls.join_next() => watcher.handle_poll_result(&result),
        }
    }
    watcher.polls.shutdown().await;
}

impl TargetWatcher {
    fn step(&mut self) {
        let now = Instant::now();
        let view = self.node.view.load_full();
        let now_ms = view.clock().millis(now);
        self.merge_instance_list(&view, now_ms);
        self.rebuild_prefix_index();
        self.remove_stale_state(&view);
        view.update_load_stats(now);
        self.step_outlier_detectors(&view, now_ms);
        self.poll(&view, now_ms);
        let live = view
            .targets()
            .filter(|(_, target)| !target.state.is_closed());
        self.node
            .metrics
            .set(Gauge::LiveTargets, live.count() as u64);
    }

    fn handle_event(&mut self, event: TargetEvent) {
        match event {
            TargetEvent::Succeeded {
                route,
                target,
                latency_ms,
            } => self.detector(route).record_success(target, latency_ms),
            TargetEvent::Failed { route, target } => self.detector(route).record_failure(target),
        }
    }

    fn handle_poll_result(&mut self, result: &PollResult) {
        let view = self.node.view.load_full();
        let Some(target) = view.target(result.target) else {
            return;
        };
        let now_ms = view.clock().millis(Instant::now());
        if let Some(availability) = result.availability {
            self.update_departure(result.target, target, |departure| {
                departure.observe_target(availability, result.sent_ms, now_ms)
            });
            if availability == Availability::Live {
                target.state.record_live(result.sent_ms);
            }
        }
        if let Some(versions) = &result.versions {
            self.node
                .record_loaded_versions(&target.name, versions.clone());
        }
        if let Some(load) = result.load {
            let sampled_ms = result.sent_ms.saturating_sub(load.age_ms);
            target
                .state
                .record_load(sampled_ms, load.running + load.queued);
        }
        if let Some(changes) = &result.cache {
            let events: Vec<(u64, CacheEvent)> = changes.iter().map(cache_event).collect();
            self.prefixes_changed |= self.prefixes.apply_poll(result.target, &events);
        }
        for route in self.probed_routes.remove(result.target).unwrap_or_default() {
            let is_alive = result.availability.is_some();
            self.detector(route)
                .record_probe(result.target, is_alive, now_ms);
        }
    }

    fn rebuild_prefix_index(&mut self) {
        if std::mem::take(&mut self.prefixes_changed) {
            let index = Arc::new(self.prefixes.build_index());
            let cached = |view: &Arc<RoutingView>| view.with_prefix_index(Arc::clone(&index));
            self.node.view.rcu(cached);
        }
    }

    /// Merges the departure notices that other instances forward by gossip.
    fn merge_peer_notices(&mut self) {
        let view = self.node.view.load_full();
        let now_ms = view.clock().millis(Instant::now());
        let notices_by_target: Vec<(TargetName, Vec<DepartureNotice>)> = {
            let gossip = self.node.gossip();
            let items = gossip.entries().items(EntryKind::TargetLeaving);
            items
                .filter_map(|(_, item)| {
                    let notices = serde_json::from_slice(&item.value).ok()?;
                    Some((TargetName::new(&item.key), notices))
                })
                .collect()
        };
        for (name, notices) in notices_by_target {
            let Some((key, target)) = view
                .target_key(&name)
                .and_then(|key| Some((key, view.target(key)?)))
            else {
                continue;
            };
            for notice in notices {
                self.update_departure(key, target, |departure| {
                    departure.observe_notice(notice, now_ms)
                });
            }
        }
    }

    fn merge_instance_list(&mut self, view: &RoutingView, now_ms: u64) {
        let list = self.node.instance_list.load_full();
        for listed in &list.targets {
            let Some(key) = view.target_key(&listed.name) else {
                continue;
            };
            let availability = availability(listed.state);
            if let Some(target) = view.target(key) {
                self.update_departure(key, target, |departure| {
                    departure.observe_list(availability, now_ms)
                });
            }
        }
    }

    fn update_departure(
        &mut self,
        key: TargetKey,
        target: &Target,
        update: impl FnOnce(DepartureState) -> DepartureState,
    ) {
        let before = self.departures.get(key).copied().unwrap_or_default();
        let after = update(before);
        self.departures.insert(key, after);
        target.state.set_closed(after.is_leaving());
        if before.is_leaving() != after.is_leaving() {
            let state = if after.is_leaving() {
                "leaving"
            } else {
                "no longer leaving"
            };
            log::info!("target {} is {state}", target.name);
            self.announce_departure(target, after);
        }
    }

    /// Sets or clears the gossip entry that tells other instances that a target is leaving.
    ///
    /// They may be unable to reach both the target and the platform.
    fn announce_departure(&self, target: &Target, departure: DepartureState) {
        let name = target.name.as_str();
        let notices: Vec<DepartureNotice> = departure.notices(self.node.now_ms()).collect();
        if notices.is_empty() {
            self.node
                .gossip()
                .clear_entry(EntryKind::TargetLeaving, name);
            return;
        }
        let value = serde_json::to_vec(&notices).unwrap_or_default();
        gossip::set_entry(&self.node, EntryKind::TargetLeaving, name, value);
    }

    /// Drops the state of targets and routes that the view no longer has.
    fn remove_stale_state(&mut self, view: &RoutingView) {
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
        self.next_poll_ms
            .retain(|key, _| view.target(key).is_some());
        self.detectors
            .retain(|route, _| view.pool(*route).is_some());
    }

    fn step_outlier_detectors(&mut self, view: &RoutingView, now_ms: u64) {
        let mut probes = Vec::new();
        for (route, detector) in &mut self.detectors {
            let Some(pool) = view.pool(*route) else {
                continue;
            };
            for effect in detector.step(pool, now_ms) {
                match effect {
                    OutlierEffect::SetWeight(target, weight) => {
                        record_weight_change(&self.node, view, target, weight);
                        pool.set_weight(target, weight);
                    }
                    OutlierEffect::SetPanicMode(panic) => pool.set_panic_mode(panic),
                    OutlierEffect::Probe(target) => probes.push((*route, target)),
                }
            }
        }
        for (route, target) in probes {
            if let Some(entry) = self.probed_routes.entry(target) {
                entry.or_default().push(route);
            }
            self.next_poll_ms.insert(target, now_ms);
        }
    }

    fn poll(&mut self, view: &RoutingView, now_ms: u64) {
        for (key, target) in view.targets() {
            let next_poll_ms = self.next_poll_ms.get(key).copied().unwrap_or(0);
            if next_poll_ms > now_ms || self.polls.len() >= MAX_CONCURRENT_POLLS {
                continue;
            }
            // Jitter keeps the instances from polling a target at the same time.
            let next = now_ms
                + self
                    .rng
                    .random_range(MEAN_POLL_INTERVAL_MS / 2..MEAN_POLL_INTERVAL_MS * 3 / 2);
            self.next_poll_ms.insert(key, next);
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

fn record_weight_change(node: &Node, view: &RoutingView, target: TargetKey, weight: u32) {
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
            log::info!("target {} has its full weight again", target.name);
        }
        _ => {}
    }
}

/// Returns whether a target accepts new requests, with a health check if its last report is old.
///
/// Call it just before sending a request. An instance that is partitioned from its peers and the
/// platform does not learn that a target is leaving or has left, and would continue to send
/// requests to it. Such an instance uses only targets that report themselves as live. Any other
/// target is added to the suspects, so that all requests of this instance avoid it for a moment.
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

/// Returns the path of a target's health check.
pub fn health_path(kind: TargetKind) -> &'static str {
    match kind {
        TargetKind::Engine => "/v1/health",
        TargetKind::Service => "/health",
    }
}

async fn poll(key: TargetKey, target: Arc<Target>, sent_ms: u64, since: u64) -> PollResult {
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
    PollResult {
        target: key,
        sent_ms,
        availability: health.as_ref().map(|health| availability(health.state)),
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

/// Converts the presence that a target or the platform reports.
pub fn availability(state: Presence) -> Availability {
    match state {
        Presence::Live => Availability::Live,
        Presence::Leaving => Availability::Leaving,
    }
}
