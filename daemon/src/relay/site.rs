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
use celerypond_relay::{Change, Config, News, Settings, Table, TargetEntry, Targets, Watchers};
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
const STORE_TIMEOUT: Duration = Duration::from_millis(700);
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
    /// The revision of the store that was known when the configuration came.
    config_revision: AtomicU64,
    /// When the store last answered about the configuration; nothing while it is not watched.
    pub(super) config_answer: Mutex<Option<Instant>>,
    /// When the store last answered about targets; nothing while they are not watched.
    pub(super) targets_answer: Mutex<Option<Instant>>,
    /// What instances that watch the store have said.
    watchers: Mutex<Watchers>,
    /// Whether this instance was chosen to watch the store for all.
    pub(super) is_watcher: AtomicBool,
    /// Tells that others have to be told of something new in the store.
    pub(super) told: Notify,
    /// Whether a peer is being asked for news.
    pub(super) is_asking: AtomicBool,
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
            config_revision: AtomicU64::new(0),
            config_answer: Mutex::default(),
            targets_answer: Mutex::default(),
            watchers: Mutex::default(),
            is_watcher: AtomicBool::new(false),
            told: Notify::new(),
            is_asking: AtomicBool::new(false),
            settings: ArcSwap::from_pointee(settings),
        }
    }

    pub(super) fn targets(&self) -> MutexGuard<'_, Targets> {
        self.targets.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn watchers(&self) -> MutexGuard<'_, Watchers> {
        self.watchers.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns whether this instance has to watch the store itself.
    pub(super) fn must_watch(&self) -> bool {
        let is_chosen = self.is_watcher.load(Relaxed);
        let knows_all = self.has_config() && self.has_targets();
        !knows_all || self.watchers().must_watch(is_chosen, Instant::now())
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
        *self.known_revision()
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
        self.config_revision.store(self.revision(), Relaxed);
        self.told.notify_one();
        self.gossip().raise(celerypond_types::Revision(version));
        log::info!(version, before = known, source; "configuration in force");
        self.changed.notify_waiters();
    }

    /// Takes in a whole list of targets of the store's revision, unless a later one is known.
    pub(super) fn list_targets(&self, entries: Vec<TargetEntry>, revision: u64, source: &str) {
        let mut known = self.known_revision();
        let is_old = match source {
            PEER => revision <= *known,
            _ => revision < *known,
        };
        if self.has_targets() && is_old {
            return;
        }
        *known = revision;
        let now = Instant::now();
        let mut targets = self.targets();
        if self.is_store_lost() && source == STORE {
            targets.await_entries(now);
        }
        let changes = targets.replace(entries, now);
        targets.note_list(revision);
        drop(targets);
        drop(known);
        for change in &changes {
            log::info!(revision, source, change:? = change; "target changed");
        }
        self.has_targets.store(true, Relaxed);
        self.told.notify_one();
        self.changed.notify_waiters();
    }

    /// Takes in what a watch saw up to a revision of the store, unless a later one is known.
    pub(super) fn change_targets(&self, changes: &[(u64, Change)], revision: u64, source: &str) {
        let mut known = self.known_revision();
        if revision <= *known {
            return;
        }
        *known = revision;
        let now = Instant::now();
        let mut targets = self.targets();
        if self.is_store_lost() && source == STORE {
            targets.await_entries(now);
        }
        for (at, change) in changes {
            targets.note_change(*at, change.name());
            if targets.apply(change, now) {
                log::info!(revision = *at, source, change:? = change; "target changed");
            }
        }
        drop(targets);
        drop(known);
        self.told.notify_one();
        self.changed.notify_waiters();
    }

    /// Takes in the news of another instance.
    pub(super) fn take_news(&self, news: News) {
        if let Some(config) = news.config {
            self.apply(config, PEER);
        }
        if news.is_whole {
            self.list_targets(news.targets, news.revision, PEER);
        } else {
            let there = news.targets.into_iter().map(Change::Is);
            let gone = news.gone.into_iter().map(Change::Gone);
            let changes: Vec<(u64, Change)> = there
                .chain(gone)
                .map(|change| (news.revision, change))
                .collect();
            self.change_targets(&changes, news.revision, PEER);
        }
        self.targets().miss_all(&news.missing, Instant::now());
    }

    /// Returns what another instance that knows the targets up to a revision has to be told.
    pub(super) fn news(&self, since: u64) -> Option<News> {
        if !self.has_config() || !self.has_targets() {
            return None;
        }
        let known = self.known_revision();
        let mut news = self.targets().news(since, *known);
        drop(known);
        if news.is_whole || self.config_revision.load(Relaxed) >= since {
            news.config = Some(self.table.load().config().clone());
        }
        Some(news)
    }

    /// Returns how long ago the store last answered this instance, if it watches the store.
    pub(super) fn store_age(&self, now: Instant) -> Option<Duration> {
        let answered = |at: &Mutex<Option<Instant>>| {
            let at = *at.lock().unwrap_or_else(PoisonError::into_inner);
            at.map(|at| now.saturating_duration_since(at))
        };
        let (config, targets) = (
            answered(&self.config_answer),
            answered(&self.targets_answer),
        );
        Some(config?.max(targets?))
    }

    fn known_revision(&self) -> MutexGuard<'_, u64> {
        self.revision.lock().unwrap_or_else(PoisonError::into_inner)
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
