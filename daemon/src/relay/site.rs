//! What all tasks of a relaying instance share.

use std::{
    net::SocketAddr,
    sync::{
        atomic::{AtomicBool, AtomicU64, Ordering::Relaxed},
        Arc, Mutex, MutexGuard, PoisonError,
    },
};

use arc_swap::ArcSwap;
use celerypond_fleet::{Gossip, MemberState};
use celerypond_platform::{Client, Rates};
use celerypond_relay::{Config, Settings, Snapshot, Table, TargetEntry, Targets};
use celerypond_route::RetryBudget;
use celerypond_telemetry::{Counter, Gauge, Histograms, Metrics};
use celerypond_types::{DataCentre, TargetKey};
use rand::Rng as _;
use tokio::{
    sync::{watch, Notify},
    time::{Duration, Instant},
};
use tokio_util::{sync::CancellationToken, task::TaskTracker};

use super::connections::Connections;
use crate::peers::Peers;

/// How long a call of the store may take; an answer takes milliseconds when it is sound.
const STORE_TIMEOUT: Duration = Duration::from_millis(1_000);
/// How long a connection to the store may take.
const STORE_CONNECT: Duration = Duration::from_millis(500);
/// The share of the store's rates that one instance may use. A few instances may burst at once, and
/// in steady state each uses a few calls a second.
const STORE_SHARE: f64 = 0.1;
/// The name of the store as a source.
pub(super) const STORE: &str = "store";
/// The name of another instance as a source.
pub(super) const PEER: &str = "peer";
/// What the names of metrics begin with.
const METRICS_PREFIX: &str = "celerypond";
/// The instances that the slack of the retry budget is divided among, while their number is not
/// known.
const INSTANCES_GUESS: f64 = 8.0;

/// What all tasks of a relaying instance share.
pub(super) struct Site {
    pub(super) settings: ArcSwap<Settings>,
    pub(super) table: ArcSwap<Table>,
    pub(super) connections: Connections,
    pub(super) store: Client,
    pub(super) retries: RetryBudget,
    pub(super) peers: Peers,
    pub(super) metrics: Metrics,
    pub(super) latencies: Histograms,
    /// Requests that are being answered.
    pub(super) open: AtomicU64,
    /// Tells that the configuration or the targets changed.
    pub(super) changed: Notify,
    /// Tells that streams of this instance began, were read or ended.
    pub(super) placed: Notify,
    /// Counts the lists of streams that were sent.
    pub(super) sequence: AtomicU64,
    /// Tells of a data centre in which an engine fell silent.
    pub(super) alarm: watch::Sender<Option<DataCentre>>,
    /// No more callers are wanted.
    pub(super) stopping: CancellationToken,
    /// No new connections are taken.
    pub(super) closed: CancellationToken,
    /// Connections of callers are cut off.
    pub(super) killed: CancellationToken,
    /// All background work ends.
    pub(super) ending: CancellationToken,
    pub(super) tasks: TaskTracker,
    /// Connections of callers.
    pub(super) served: TaskTracker,
    targets: Mutex<Targets>,
    gossip: Mutex<Gossip>,
    has_config: AtomicBool,
    has_targets: AtomicBool,
    store_lost: AtomicBool,
    revision: Mutex<u64>,
}

impl Site {
    pub(super) fn new(settings: Settings, gossip: Gossip) -> Self {
        let store = celerypond_platform::Settings {
            addresses: vec![settings.store.address],
            connect: STORE_CONNECT,
            timeout: STORE_TIMEOUT,
            rates: Rates {
                reads: settings.store.reads * STORE_SHARE,
                writes: settings.store.writes * STORE_SHARE,
                burst: Duration::from_secs(1),
            },
        };
        let mut targets = Targets::default();
        targets.lateness = rand::rng().random();
        Self {
            table: ArcSwap::default(),
            connections: Connections::default(),
            store: Client::speaking(&store, celerypond_adapter::store::DIALECT),
            retries: retry_budget(&settings),
            peers: Peers::default(),
            metrics: Metrics::local(),
            latencies: Histograms::default(),
            open: AtomicU64::new(0),
            changed: Notify::new(),
            placed: Notify::new(),
            sequence: AtomicU64::new(0),
            alarm: watch::Sender::default(),
            stopping: CancellationToken::new(),
            closed: CancellationToken::new(),
            killed: CancellationToken::new(),
            ending: CancellationToken::new(),
            tasks: TaskTracker::new(),
            served: TaskTracker::new(),
            targets: Mutex::new(targets),
            gossip: Mutex::new(gossip),
            has_config: AtomicBool::new(false),
            has_targets: AtomicBool::new(false),
            store_lost: AtomicBool::new(false),
            revision: Mutex::default(),
            settings: ArcSwap::from_pointee(settings),
        }
    }

    pub(super) fn targets(&self) -> MutexGuard<'_, Targets> {
        self.targets.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns where a target listens; nothing when it is gone.
    pub(super) fn address_of(&self, key: TargetKey) -> Option<SocketAddr> {
        let targets = self.targets();
        targets.get(key).map(|target| target.entry.address)
    }

    /// Returns the data centre of a target; nothing when it is gone.
    pub(super) fn data_centre_of(&self, key: TargetKey) -> Option<DataCentre> {
        let targets = self.targets();
        targets
            .get(key)
            .map(|target| target.entry.data_centre.clone())
    }

    pub(super) fn gossip(&self) -> MutexGuard<'_, Gossip> {
        self.gossip.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns whether requests can be served.
    pub(super) fn is_ready(&self) -> bool {
        let knows = self.has_config.load(Relaxed) && self.has_targets.load(Relaxed);
        knows && !self.stopping.is_cancelled()
    }

    /// Returns whether a configuration is known.
    pub(super) fn has_config(&self) -> bool {
        self.has_config.load(Relaxed)
    }

    /// Returns the store's revision up to which the targets are known.
    pub(super) fn revision(&self) -> u64 {
        *self.revision.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns whether the store does not tell of targets at present.
    pub(super) fn is_store_lost(&self) -> bool {
        self.store_lost.load(Relaxed)
    }

    /// Takes in whether the store tells of targets.
    pub(super) fn set_store_lost(&self, is_lost: bool) {
        if is_lost {
            self.metrics.add(Counter::StoreLosses, 1);
        }
        self.store_lost.store(is_lost, Relaxed);
    }

    /// Returns whether the targets are known.
    pub(super) fn has_targets(&self) -> bool {
        self.has_targets.load(Relaxed)
    }

    /// Puts a configuration in force, unless one of its version or a later one is.
    ///
    /// The failure: a store that answers from the past, or a peer that is behind, tells of an older
    /// version. A caller would see a removed key or route come back. Versions only rise here.
    pub(super) fn apply(&self, config: Config, source: &str) {
        let before = self.table.load();
        let known = before.config().version;
        if self.has_config() && config.version <= known {
            return;
        }
        let version = config.version;
        self.table.store(Arc::new(Table::new(config)));
        self.has_config.store(true, Relaxed);
        self.gossip().raise(celerypond_types::Revision(version));
        log::info!(version, before = known, source; "configuration in force");
        self.changed.notify_waiters();
    }

    /// Takes in a whole list of targets of the store's revision, unless a later one is known.
    pub(super) fn list_targets(&self, entries: Vec<TargetEntry>, revision: u64, source: &str) {
        let mut known = self.revision.lock().unwrap_or_else(PoisonError::into_inner);
        let is_old = match source {
            PEER => revision <= *known,
            _ => revision < *known,
        };
        if self.has_targets() && is_old {
            return;
        }
        *known = revision;
        drop(known);
        let now = Instant::now();
        let mut targets = self.targets();
        if self.is_store_lost() && source == STORE {
            targets.await_entries(now);
        }
        let changes = targets.replace(entries, now);
        drop(targets);
        for change in &changes {
            log::info!(revision, source, change:? = change; "target changed");
        }
        self.has_targets.store(true, Relaxed);
        self.changed.notify_waiters();
    }

    /// Takes in one change of the targets at the store's revision.
    pub(super) fn change_target(&self, change: &celerypond_relay::Change, revision: u64) {
        let mut known = self.revision.lock().unwrap_or_else(PoisonError::into_inner);
        *known = revision.max(*known);
        drop(known);
        let now = Instant::now();
        let mut targets = self.targets();
        if self.is_store_lost() {
            targets.await_entries(now);
        }
        let is_new = targets.apply(change, now);
        drop(targets);
        if is_new {
            log::info!(revision, source = STORE, change:? = change; "target changed");
            self.changed.notify_waiters();
        }
    }

    /// Renders counters, levels and latencies as text.
    pub(super) fn render_metrics(&self) -> String {
        let version = self.table.load().config().version;
        let members = self.gossip().roster().of_state(MemberState::Live).count() as u64;
        let levels = [
            (Gauge::ConfigVersion, version),
            (Gauge::RoutedTargets, self.targets().len() as u64),
            (Gauge::OpenRequests, self.open.load(Relaxed)),
            (Gauge::Connections, self.served.len() as u64),
            (Gauge::LiveInstances, members + 1),
        ];
        for (gauge, level) in levels {
            self.metrics.set(gauge, level);
        }
        let mut text = self.metrics.render();
        text.push_str(&self.latencies.render(METRICS_PREFIX));
        text
    }

    /// Waits until configuration and targets are known, or until `until`.
    pub(super) async fn wait_known(&self, until: Instant) {
        loop {
            let changed = self.changed.notified();
            let is_known = self.has_config() && self.has_targets();
            if is_known || tokio::time::timeout_at(until, changed).await.is_err() {
                return;
            }
        }
    }

    /// Removes targets whose entries did not come back after the store's return.
    pub(super) fn drop_missing(&self) {
        for name in self.targets().drop_missing(Instant::now()) {
            log::info!(target = name.as_str(), reason = "entry did not come back"; "target gone");
        }
    }

    /// Returns what a starting peer needs while the store is away.
    pub(super) fn snapshot(&self) -> Option<Snapshot> {
        if !self.has_config() || !self.has_targets() {
            return None;
        }
        let revision = self.revision();
        let targets = self.targets();
        let entries = targets.iter().map(|(_, target)| target.entry.clone());
        Some(Snapshot {
            config: self.table.load().config().clone(),
            targets: entries.collect(),
            revision,
            versions: Vec::new(),
        })
    }
}

/// Each request adds the allowed share of one more send; the slack is divided among the instances.
fn retry_budget(settings: &Settings) -> RetryBudget {
    /// The part of the allowed ratio and slack that is used, so that all instances together stay
    /// below it when requests are spread unevenly over time.
    const MARGIN: f64 = 0.7;
    let per_mille = settings.bounds.retry_ratio * MARGIN * 1_000.0;
    let slack = (settings.bounds.retry_slack * MARGIN / INSTANCES_GUESS).max(1.0);
    RetryBudget::new(per_mille as u32, slack as u32, slack as u32)
}
