//! What all tasks of a relaying instance share.

use std::sync::{
    atomic::{AtomicBool, AtomicU64, Ordering::Relaxed},
    Mutex, MutexGuard, PoisonError,
};

use arc_swap::{ArcSwap, ArcSwapOption};
use celerypond_fleet::Gossip;
use celerypond_platform::{Client, Rates};
use celerypond_relay::{PlannedStop, RetryBudget, Settings, Stale, StaleWait};
use celerypond_telemetry::{Gauge, Histograms, Metrics};
use celerypond_types::DataCentre;
use tokio::{
    sync::{watch, Notify},
    time::{timeout_at, Duration, Instant},
};
use tokio_util::{sync::CancellationToken, task::TaskTracker};

use super::{
    connections::Connections, fleet::Fleet, rollouts::Rollouts, store_view::StoreView,
    watch_duty::WatchDuty,
};
use crate::peers::Peers;

/// How long a call of the store may take; an answer takes milliseconds when it is sound.
const STORE_TIMEOUT: Duration = Duration::from_millis(700);
/// How long a connection to the store may take.
const STORE_CONNECT: Duration = Duration::from_millis(500);
/// The share of the store's rates that one instance may use. A few instances may burst at once, and
/// in steady state each uses a few calls a second.
const STORE_SHARE: f64 = 0.1;
/// What the names of metrics begin with.
const METRICS_PREFIX: &str = "celerypond";

/// What is known too long ago for requests to be served by it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Outdated {
    /// The configuration in force.
    Config(Stale),
    /// The list of targets.
    Targets(Stale),
}

/// What all tasks of a relaying instance share.
pub(super) struct RelayState {
    pub(super) settings: ArcSwap<Settings>,
    pub(super) view: StoreView,
    pub(super) watch_duty: WatchDuty,
    pub(super) connections: Connections,
    pub(super) store: Client,
    retries: Mutex<RetryBudget>,
    /// Bounds the moves of running streams as repeats are, but apart. A move is no repeat, as the run goes on. Were
    /// it taken from the same bound, streams that lose their engines would break for those that others only
    /// gained by. Each instance has its equal part, as none tells of its moves.
    moves: Mutex<RetryBudget>,
    pub(super) peers: Peers,
    pub(super) rollouts: Rollouts,
    pub(super) metrics: Metrics,
    pub(super) latencies: Histograms,
    /// Requests that are being answered.
    pub(super) open_requests: AtomicU64,
    /// Tells that streams of this instance began, were read or ended.
    pub(super) placements_changed: Notify,
    /// Counts the lists of streams that were sent.
    pub(super) placement_sequence: AtomicU64,
    /// Tells of a data centre in which an engine fell silent.
    pub(super) silent_data_centre: watch::Sender<Option<DataCentre>>,
    /// No more callers are wanted.
    pub(super) stopping: CancellationToken,
    /// The planned stop, if one is under way.
    pub(super) planned_stop: ArcSwapOption<PlannedStop>,
    /// No new connections are taken.
    pub(super) closed: CancellationToken,
    /// Connections of callers are cut off.
    pub(super) killed: CancellationToken,
    /// All background work ends.
    pub(super) ending: CancellationToken,
    pub(super) tasks: TaskTracker,
    /// Connections of callers.
    pub(super) caller_connections: TaskTracker,
    gossip: Mutex<Gossip>,
    /// What this instance makes of the fleet.
    pub(super) fleet: ArcSwap<Fleet>,
    /// Notifies that other instances have a newer configuration.
    pub(super) newer_config: Notify,
    /// Whether members came or went since the fleet was worked out.
    pub(super) membership_changed: AtomicBool,
    /// Whether a peer is being asked for news.
    pub(super) is_syncing_targets: AtomicBool,
}

impl RelayState {
    pub(super) fn new(settings: Settings, gossip: Gossip) -> Self {
        let store = celerypond_platform::ClientSettings {
            addresses: vec![settings.store.address],
            connect_timeout: STORE_CONNECT,
            timeout: STORE_TIMEOUT,
            rates: Rates {
                reads: settings.store.reads_per_second * STORE_SHARE,
                writes: settings.store.writes_per_second * STORE_SHARE,
                burst: Duration::from_secs(1),
            },
        };
        Self {
            view: StoreView::new(settings.bounds.missing_entry_grace()),
            watch_duty: WatchDuty::new(settings.bounds.watch_wait()),
            connections: Connections::default(),
            store: Client::with_protocol(&store, celerypond_adapter::store::PROTOCOL),
            retries: Mutex::new(RetryBudget::new(&settings.bounds)),
            moves: Mutex::new(RetryBudget::new(&settings.bounds)),
            peers: Peers::default(),
            rollouts: Rollouts::default(),
            metrics: Metrics::local(),
            latencies: Histograms::default(),
            open_requests: AtomicU64::new(0),
            placements_changed: Notify::new(),
            placement_sequence: AtomicU64::new(0),
            silent_data_centre: watch::Sender::default(),
            stopping: CancellationToken::new(),
            planned_stop: ArcSwapOption::empty(),
            closed: CancellationToken::new(),
            killed: CancellationToken::new(),
            ending: CancellationToken::new(),
            tasks: TaskTracker::new(),
            caller_connections: TaskTracker::new(),
            gossip: Mutex::new(gossip),
            fleet: ArcSwap::default(),
            newer_config: Notify::new(),
            membership_changed: AtomicBool::new(false),
            is_syncing_targets: AtomicBool::new(false),
            settings: ArcSwap::from_pointee(settings),
        }
    }

    pub(super) fn gossip(&self) -> MutexGuard<'_, Gossip> {
        self.gossip.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns whether requests can be served.
    pub(super) fn is_ready(&self) -> bool {
        self.view.is_complete() && !self.stopping.is_cancelled() && self.stale().is_none()
    }

    /// Returns what is known too long ago for requests to be served by it.
    pub(super) fn stale(&self) -> Option<Outdated> {
        let limit = self.settings.load().bounds.stale_limit();
        let stale = self.view.freshness().stale(limit, Instant::now());
        let config = stale.map(Outdated::Config);
        config.or_else(|| self.stale_targets().map(Outdated::Targets))
    }

    /// Waits until requests can be served by what is known; returns what it is too old for, if that takes too long.
    pub(super) async fn wait_current(&self, wait: &StaleWait) -> Option<Outdated> {
        self.wait_while(|| self.stale(), wait).await
    }

    /// Waits until requests can be sent by the list of targets, or that takes too long.
    pub(super) async fn wait_targets(&self, wait: &StaleWait) {
        let stale = || self.stale_targets().map(Outdated::Targets);
        self.wait_while(stale, wait).await;
    }

    async fn wait_while(
        &self,
        stale: impl Fn() -> Option<Outdated>,
        wait: &StaleWait,
    ) -> Option<Outdated> {
        loop {
            let changed = self.view.changed();
            let outdated = stale()?;
            let Some(until) = self.wait_end(outdated, wait) else {
                return Some(outdated);
            };
            // Whatever ended the wait, the state is looked at again.
            let _ = timeout_at(until, changed).await;
        }
    }

    /// Returns until when a request waits; nothing if it is refused.
    fn wait_end(&self, outdated: Outdated, wait: &StaleWait) -> Option<Instant> {
        let now = Instant::now();
        let bounds = &self.settings.load().bounds;
        match outdated {
            Outdated::Config(stale) => {
                let freshness = self.view.freshness();
                wait.for_config(stale, freshness.current_at(bounds.stale_limit(), now), now)
            }
            Outdated::Targets(stale) => {
                let freshness = self.view.targets_freshness();
                let current = freshness.current_at(bounds.targets_stale_limit(), now);
                wait.for_targets(stale, current, now)
            }
        }
    }

    /// Returns why requests cannot be sent by the list of targets.
    pub(super) fn stale_targets(&self) -> Option<Stale> {
        let limit = self.settings.load().bounds.targets_stale_limit();
        let freshness = self.view.targets_freshness();
        freshness.stale(limit, Instant::now())
    }

    /// Returns whether connections of callers are taken, as they are for a while when it stops.
    pub(super) fn takes_callers(&self) -> bool {
        self.view.is_complete() && !self.closed.is_cancelled()
    }

    /// Returns how many instances seem to live, this one included.
    pub(super) fn instances(&self) -> usize {
        self.fleet.load().size
    }

    /// Returns how many instances share engines, this one included.
    pub(super) fn sharers(&self) -> usize {
        self.fleet.load().group.len() + 1
    }

    /// Returns the newest version of the configuration that this instance knows of.
    pub(super) fn newest_config(&self) -> u64 {
        let newest = self.view.freshness().newest(Instant::now());
        newest.max(self.view.version())
    }

    pub(super) fn retries(&self) -> MutexGuard<'_, RetryBudget> {
        self.retries.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns what bounds the moves of running streams.
    pub(super) fn moves(&self) -> MutexGuard<'_, RetryBudget> {
        self.moves.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Renders counters, levels and latencies as text.
    pub(super) fn render_metrics(&self) -> String {
        let levels = [
            (Gauge::ConfigVersion, self.view.version()),
            (Gauge::ConfigNewest, self.newest_config()),
            (Gauge::RoutedTargets, self.view.targets().len() as u64),
            (Gauge::OpenRequests, self.open_requests.load(Relaxed)),
            (Gauge::Connections, self.caller_connections.len() as u64),
            (Gauge::LiveInstances, self.instances() as u64),
        ];
        if let Some(age) = self.watch_duty.age(Instant::now()) {
            let age = u64::try_from(age.as_millis()).unwrap_or(u64::MAX);
            self.metrics.set(Gauge::TargetsAge, age);
        }
        if let Some(age) = self.view.freshness().age(Instant::now()) {
            let age = u64::try_from(age.as_millis()).unwrap_or(u64::MAX);
            self.metrics.set(Gauge::ConfigAge, age);
        }
        for (gauge, level) in levels {
            self.metrics.set(gauge, level);
        }
        let mut text = self.metrics.render();
        text.push_str(&self.latencies.render(METRICS_PREFIX));
        text
    }
}
