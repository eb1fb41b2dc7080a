//! The state that all tasks of a relaying instance share.

use std::sync::{
    atomic::{AtomicBool, AtomicU64, Ordering::Relaxed},
    Arc, Mutex, MutexGuard, PoisonError,
};

use arc_swap::{ArcSwap, ArcSwapOption};
use celerypond_fleet::Gossip;
use celerypond_platform::{Client, Rates};
use celerypond_relay::{
    PartQuarantine, Partitions, PeerPartitions, PlannedStop, RetryBudget, ReturnQueue, Route,
    Settings, Stale, StaleWait, TargetLosses, UsualDeadlines,
};
use celerypond_telemetry::{Counter, Gauge, Histograms, Metrics};
use celerypond_types::DataCentre;
use tokio::{
    sync::{mpsc, watch, Notify},
    time::{timeout_at, Duration, Instant},
};
use tokio_util::{sync::CancellationToken, task::TaskTracker};

use super::{
    caller_account::CallerAccount, connections::Connections, datagrams::Datagram, fleet::Fleet,
    response_memory::ResponseMemory, rollouts::Rollouts, store_view::StoreView,
    watch_duty::WatchDuty,
};
use crate::peers::Peers;
use crate::resident_memory;

/// The timeout of a call to the store, which normally answers within milliseconds.
const STORE_TIMEOUT: Duration = Duration::from_millis(700);
/// The timeout of a connection to the store.
const STORE_CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// The share of the store's rate limits that one instance may use. In steady state each instance
/// makes a few calls per second, and a few instances may burst at once.
const STORE_RATE_SHARE: f64 = 0.1;
/// The prefix of the names of metrics.
const METRICS_PREFIX: &str = "celerypond";

/// What is too old for requests to be served by it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Outdated {
    /// The current configuration.
    Config(Stale),
    /// The list of targets.
    Targets(Stale),
}

/// The state that all tasks of a relaying instance share.
pub(super) struct RelayState {
    pub(super) settings: ArcSwap<Settings>,
    pub(super) view: StoreView,
    pub(super) watch_duty: WatchDuty,
    pub(super) connections: Connections,
    /// Connections to other instances, through which requests are relayed.
    pub(super) peer_connections: Connections,
    pub(super) response_memory: Arc<ResponseMemory>,
    /// What callers make this instance hold.
    pub(super) callers: CallerAccount,
    /// Notices for all other instances.
    notices: mpsc::UnboundedSender<Datagram>,
    /// Notifies that a target could not be connected to.
    pub(super) connection_failed: Notify,
    partitions: Mutex<Partitions>,
    peer_partitions: Mutex<PeerPartitions>,
    pub(super) store: Client,
    retries: Mutex<RetryBudget>,
    /// The budget of moves of running streams, with the same limits as that of retries but apart
    /// from it, because the run continues in a move. If moves were spent from the retries, streams
    /// that lose their engines would break because other streams were moved for an advantage.
    /// Instances do not report their moves, so each has an equal share.
    moves: Mutex<RetryBudget>,
    deadlines: Mutex<UsualDeadlines>,
    losses: Mutex<TargetLosses>,
    parts: Mutex<PartQuarantine>,
    returns: Mutex<ReturnQueue>,
    pub(super) peers: Peers,
    pub(super) rollouts: Rollouts,
    pub(super) metrics: Metrics,
    pub(super) latencies: Histograms,
    /// The number of requests whose responses have not been sent completely.
    pub(super) open_requests: AtomicU64,
    /// The number of streams whose events are being sent.
    pub(super) open_streams: AtomicU64,
    /// Notifies that streams of this instance began, that their prompts were read, or that they
    /// ended.
    pub(super) placements_changed: Notify,
    /// The sequence number of the last list of placements that was sent.
    pub(super) placement_sequence: AtomicU64,
    /// The data centre in which an engine was most recently found dead.
    pub(super) silent_data_centre: watch::Sender<Option<DataCentre>>,
    /// Cancelled when the instance begins to stop and wants no more callers.
    pub(super) stopping: CancellationToken,
    /// The planned stop, if one is under way.
    pub(super) planned_stop: ArcSwapOption<PlannedStop>,
    /// Cancelled when no more connections of callers are accepted.
    pub(super) closed: CancellationToken,
    /// Cancelled when connections of callers are cut off.
    pub(super) killed: CancellationToken,
    /// Cancelled when all background tasks have to end.
    pub(super) ending: CancellationToken,
    pub(super) tasks: TaskTracker,
    /// The tasks that serve connections of callers.
    pub(super) caller_connections: TaskTracker,
    gossip: Mutex<Gossip>,
    /// The roles of the other instances as seen by this one.
    pub(super) fleet: ArcSwap<Fleet>,
    /// Notifies that other instances have a newer configuration.
    pub(super) newer_config: Notify,
    /// Whether members joined or left since `fleet` was updated.
    pub(super) membership_changed: AtomicBool,
    /// Whether a task is fetching changes of targets from a peer.
    pub(super) is_syncing_targets: AtomicBool,
}

impl RelayState {
    pub(super) fn new(
        settings: Settings,
        gossip: Gossip,
        notices: mpsc::UnboundedSender<Datagram>,
    ) -> Self {
        let store = celerypond_platform::ClientSettings {
            addresses: vec![settings.store.address],
            connect_timeout: STORE_CONNECT_TIMEOUT,
            timeout: STORE_TIMEOUT,
            rates: Rates {
                reads: settings.store.reads_per_second * STORE_RATE_SHARE,
                writes: settings.store.writes_per_second * STORE_RATE_SHARE,
                burst: Duration::from_secs(1),
            },
        };
        let view = StoreView::new(&settings.bounds);
        view.targets().places_by_time = settings.places_by_time;
        Self {
            view,
            watch_duty: WatchDuty::new(settings.bounds.watch_wait()),
            connections: Connections::new(settings.ip),
            peer_connections: Connections::new(settings.ip),
            response_memory: Arc::new(ResponseMemory::new(&settings.limits)),
            callers: CallerAccount::new(&settings.limits),
            notices,
            connection_failed: Notify::new(),
            partitions: Mutex::default(),
            peer_partitions: Mutex::default(),
            store: Client::with_protocol(&store, celerypond_adapter::store::PROTOCOL),
            retries: Mutex::new(RetryBudget::new(&settings.bounds)),
            moves: Mutex::new(RetryBudget::new(&settings.bounds)),
            deadlines: Mutex::default(),
            losses: Mutex::default(),
            parts: Mutex::default(),
            returns: Mutex::default(),
            peers: Peers::default(),
            rollouts: Rollouts::default(),
            metrics: Metrics::local(),
            latencies: Histograms::default(),
            open_requests: AtomicU64::new(0),
            open_streams: AtomicU64::new(0),
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

    /// Sends a notice to all other instances.
    pub(super) fn notify_peers(&self, notice: Datagram) {
        // The receiver is gone only if the instance ends.
        let _ = self.notices.send(notice);
    }

    /// Returns the services whose targets this instance does not reach.
    pub(super) fn partitions(&self) -> MutexGuard<'_, Partitions> {
        self.partitions
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the services whose targets other instances do not reach.
    pub(super) fn peer_partitions(&self) -> MutexGuard<'_, PeerPartitions> {
        self.peer_partitions
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns whether requests can be served.
    pub(super) fn is_ready(&self) -> bool {
        self.view.is_complete() && !self.stopping.is_cancelled() && self.stale().is_none()
    }

    /// Returns what is too old for requests to be served by it, if anything is.
    pub(super) fn stale(&self) -> Option<Outdated> {
        let limit = self.settings.load().bounds.stale_limit();
        let stale = self.view.config_freshness().stale(limit, Instant::now());
        let config = stale.map(Outdated::Config);
        config.or_else(|| self.stale_targets().map(Outdated::Targets))
    }

    /// Waits until requests can be served. If that takes too long, returns what is too old.
    pub(super) async fn wait_current(&self, wait: &StaleWait) -> Option<Outdated> {
        self.wait_while(|| self.stale(), wait).await
    }

    /// Waits until the list of targets is recent enough for requests to be sent, or until that
    /// takes too long.
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
            // The state is checked again whatever ended the wait.
            let _ = timeout_at(until, changed).await;
        }
    }

    /// Returns until when a request waits, or `None` if it is refused.
    fn wait_end(&self, outdated: Outdated, wait: &StaleWait) -> Option<Instant> {
        let now = Instant::now();
        let bounds = &self.settings.load().bounds;
        match outdated {
            Outdated::Config(stale) => {
                let freshness = self.view.config_freshness();
                wait.for_config(stale, freshness.current_at(bounds.stale_limit(), now), now)
            }
            Outdated::Targets(stale) => {
                let freshness = self.view.targets_freshness();
                let current = freshness.current_at(bounds.targets_stale_limit(), now);
                wait.for_targets(stale, current, now)
            }
        }
    }

    /// Returns why the list of targets is too old for requests to be sent, if it is.
    pub(super) fn stale_targets(&self) -> Option<Stale> {
        let limit = self.settings.load().bounds.targets_stale_limit();
        let freshness = self.view.targets_freshness();
        freshness.stale(limit, Instant::now())
    }

    /// Returns whether connections of callers are accepted, which they still are for a while during
    /// a stop.
    pub(super) fn takes_callers(&self) -> bool {
        self.view.is_complete() && !self.closed.is_cancelled()
    }

    /// Returns the number of instances that seem to be live, including this one.
    pub(super) fn instance_count(&self) -> usize {
        self.fleet.load().size
    }

    /// Returns the number of instances that share engines, including this one.
    pub(super) fn group_size(&self) -> usize {
        self.fleet.load().group.len() + 1
    }

    /// Returns the newest version of the configuration that this instance has heard of.
    pub(super) fn newest_config(&self) -> u64 {
        let newest = self.view.config_freshness().newest(Instant::now());
        newest.max(self.view.config_version())
    }

    pub(super) fn retries(&self) -> MutexGuard<'_, RetryBudget> {
        self.retries.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records the deadline of a request, and returns whether its caller was probably refused
    /// before.
    pub(super) fn record_deadline(&self, route: &Route, deadline: Duration) -> bool {
        let deadlines = self.deadlines.lock();
        let mut deadlines = deadlines.unwrap_or_else(PoisonError::into_inner);
        deadlines.record(&route.name, deadline, Instant::now())
    }

    /// Returns the targets that ended while they ran the same request.
    pub(super) fn losses(&self) -> MutexGuard<'_, TargetLosses> {
        self.losses.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the parts of prompts under which engines ended.
    pub(super) fn parts(&self) -> MutexGuard<'_, PartQuarantine> {
        self.parts.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the callers that were put off and have not returned.
    pub(super) fn returns(&self) -> MutexGuard<'_, ReturnQueue> {
        self.returns.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the budget of moves of running streams.
    pub(super) fn moves(&self) -> MutexGuard<'_, RetryBudget> {
        self.moves.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Renders counters, gauges and latencies as text.
    pub(super) fn render_metrics(&self) -> String {
        let (avoided, reported) = self.view.targets().count_avoided(Instant::now());
        let rate_limited = self.view.targets().count_rate_limited();
        let cooling_down = self.view.targets().count_cooling_down(Instant::now());
        let leaving = self.view.targets().count_leaving();
        let slow_engines = self.view.targets().count_slow_engines(Instant::now());
        let slow_targets = self.view.targets().count_slow_targets(Instant::now());
        let quarantined = self.parts().quarantined_count();
        let put_off = self.returns().len();
        let gauges = [
            (Gauge::CallersPutOff, put_off as u64),
            (Gauge::UnreachableServices, self.partitions().len() as u64),
            (Gauge::TargetsAvoided, avoided as u64),
            (Gauge::TargetsReportedDead, reported as u64),
            (Gauge::TargetsRateLimited, rate_limited as u64),
            (Gauge::TargetsCoolingDown, cooling_down as u64),
            (Gauge::TargetsLeaving, leaving as u64),
            (Gauge::EnginesSlow, slow_engines as u64),
            (Gauge::TargetsSlow, slow_targets as u64),
            (Gauge::PartsQuarantined, quarantined as u64),
            (Gauge::ResponseBytes, self.response_memory.used() as u64),
            (Gauge::CallerBytes, self.callers.used() as u64),
            (Gauge::ConfigVersion, self.view.config_version()),
            (Gauge::ConfigNewest, self.newest_config()),
            (Gauge::RoutedTargets, self.view.targets().len() as u64),
            (Gauge::OpenRequests, self.open_requests.load(Relaxed)),
            (Gauge::OpenStreams, self.open_streams.load(Relaxed)),
            (Gauge::Connections, self.caller_connections.len() as u64),
            (Gauge::LiveInstances, self.instance_count() as u64),
        ];
        if let Some(bytes) = resident_memory::read() {
            self.metrics.set(Gauge::ResidentBytes, bytes);
        }
        if let Some(age) = self.watch_duty.age(Instant::now()) {
            let age = u64::try_from(age.as_millis()).unwrap_or(u64::MAX);
            self.metrics.set(Gauge::TargetsAge, age);
        }
        if let Some(age) = self.view.config_freshness().age(Instant::now()) {
            let age = u64::try_from(age.as_millis()).unwrap_or(u64::MAX);
            self.metrics.set(Gauge::ConfigAge, age);
        }
        for (gauge, value) in gauges {
            self.metrics.set(gauge, value);
        }
        let panics = celerypond_telemetry::take_panics();
        self.metrics.add(Counter::Panics, panics);
        let mut text = self.metrics.render();
        text.push_str(&self.latencies.render(METRICS_PREFIX));
        text
    }
}
