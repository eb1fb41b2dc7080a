//! The state that all tasks of an instance share.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{
        atomic::{AtomicI64, AtomicU64, Ordering::Relaxed},
        Arc, Mutex, MutexGuard, PoisonError,
    },
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use arc_swap::{ArcSwap, ArcSwapOption};
use celerypond_answer::{Input, Keeper, ResumeTokenKey};
use celerypond_bundle::{Bundle, Settings};
use celerypond_fleet::{Gossip, Identity, Incarnation};
use celerypond_platform::{Client, InstanceList, Rates};
use celerypond_rollout::BundleTracker;
use celerypond_route::{Backoff, RetryBudget, RoutingView};
use celerypond_telemetry::{Counter, Gauge, Metrics};
use celerypond_types::{RequestKey, TargetName, VersionName};
use rand::{rngs::SmallRng, SeedableRng};
use smol_str::format_smolstr;
use tokio::{
    sync::{mpsc, Notify},
    time::Instant,
};
use tokio_util::{sync::CancellationToken, task::TaskTracker};

use crate::{
    active_bundle::ActiveBundle, admission::Admission, bundle_subset::restrict_to_group, forward,
    front::socket::Sockets, ledger::Ledger, limits, orders::LoadedVersions, peers::Peers,
    progress_timeouts::ProgressTimeouts, rollouts::Rollouts, suspects::Suspects,
    target_watch::TargetEvent,
};

/// The platform's rate limits for all instances together; each instance uses a share of them.
const PLATFORM_RATES: Rates = Rates {
    reads: 1500.0,
    writes: 300.0,
    burst: Duration::from_secs(2),
};
/// The fraction of the writes that is for everything except the ledger shards.
const OTHER_WRITES_FRACTION: f64 = 0.3;
/// The writes per second for one ledger shard, slightly more than its minimum write interval
/// permits.
const SHARD_WRITES_PER_S: f64 = 75.0;
const PLATFORM_CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
const PLATFORM_CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// The maximum size of the records that this instance keeps for answers of other instances, in
/// bytes.
const MAX_KEEPER_BYTES: usize = 32 << 20;
/// The number of instances that is assumed until the instance list has been read.
const ASSUMED_INSTANCE_COUNT: usize = 7;

/// The state that all tasks of an instance share.
pub struct Node {
    /// The settings of this instance.
    pub settings: Settings,
    /// Counters and gauges.
    pub metrics: Metrics,
    /// The client of the platform.
    pub platform: Client,
    /// The snapshot by which targets are picked.
    pub view: ArcSwap<RoutingView>,
    /// The bundle in force; `None` before the first roll.
    pub active_bundle: ArcSwapOption<ActiveBundle>,
    /// The targets of this instance's group; empty until the first gossip round.
    group_targets: ArcSwap<Vec<TargetName>>,
    /// The instance list that was last read from the platform.
    pub instance_list: ArcSwap<InstanceList>,
    /// The connections from callers.
    pub sockets: Sockets,
    /// Cancelled when a planned stop begins.
    pub leaving: CancellationToken,
    /// Cancelled when the background tasks must end.
    pub shutdown: CancellationToken,
    /// Tasks that may outlive the request that started them.
    pub background_tasks: TaskTracker,
    /// The progress timeouts of engines.
    pub progress_timeouts: ProgressTimeouts,
    /// The queue of requests that wait to start.
    pub admission: Admission,
    /// The targets that recently failed.
    pub suspects: Suspects,
    /// The channel for the results of requests at targets.
    pub target_events: mpsc::Sender<TargetEvent>,
    /// The ledger of keyed calls, which run at most once.
    pub ledger: Ledger,
    /// The budget of this instance for retries.
    pub retry_budget: RetryBudget,
    /// The delays between retries.
    pub backoff: Backoff,
    /// The key that authenticates resume tokens.
    pub resume_token_key: ResumeTokenKey,
    /// The connections to other instances.
    pub peers: Peers,
    /// The rollout state of this instance.
    pub rollouts: Rollouts,
    /// Wakes the target watcher when peers have changed their departure notices.
    pub departures_changed: Notify,
    /// Wakes the bundle task when peers know a later revision.
    pub bundle_changed: Notify,
    gossip: Mutex<Gossip>,
    bundle_tracker: Mutex<BundleTracker>,
    keeper: Mutex<Keeper>,
    drivers: Mutex<HashMap<RequestKey, mpsc::Sender<Input>>>,
    instance_list_read_at: Mutex<Option<Instant>>,
    loaded_versions: Mutex<LoadedVersions>,
    open_requests: AtomicI64,
    rng: Mutex<SmallRng>,
    nonce: AtomicU64,
}

impl Node {
    /// Creates the state of an instance.
    pub fn new(
        settings: Settings,
        metrics: Metrics,
        events: mpsc::Sender<TargetEvent>,
    ) -> Arc<Self> {
        let now = Instant::now();
        let platform = celerypond_platform::ClientSettings {
            addresses: settings.platform.clone(),
            connect_timeout: PLATFORM_CONNECT_TIMEOUT,
            timeout: PLATFORM_CALL_TIMEOUT,
            rates: PLATFORM_RATES.share(ASSUMED_INSTANCE_COUNT),
        };
        let mut rng = SmallRng::from_os_rng();
        let nonce = AtomicU64::new(rand::Rng::random(&mut rng));
        let resume_token_key = ResumeTokenKey::new(*settings.fleet_key.as_bytes());
        let incarnation = wall_ms();
        let rollouts = Rollouts::new(settings.instance.clone(), incarnation);
        let gossip = new_gossip(&settings, incarnation, &mut rng, now);
        Arc::new(Self {
            settings,
            metrics,
            platform: Client::new(&platform),
            view: ArcSwap::from_pointee(RoutingView::new(now)),
            active_bundle: ArcSwapOption::empty(),
            group_targets: ArcSwap::default(),
            instance_list: ArcSwap::default(),
            sockets: Sockets::default(),
            leaving: CancellationToken::new(),
            shutdown: CancellationToken::new(),
            background_tasks: TaskTracker::new(),
            progress_timeouts: ProgressTimeouts::default(),
            admission: Admission::default(),
            suspects: Suspects::default(),
            target_events: events,
            ledger: Ledger::default(),
            retry_budget: RetryBudget::per_instance(),
            backoff: Backoff::default(),
            resume_token_key,
            peers: Peers::default(),
            rollouts,
            departures_changed: Notify::new(),
            bundle_changed: Notify::new(),
            gossip: Mutex::new(gossip),
            bundle_tracker: Mutex::default(),
            keeper: Mutex::new(Keeper::new(MAX_KEEPER_BYTES)),
            drivers: Mutex::default(),
            instance_list_read_at: Mutex::default(),
            loaded_versions: Mutex::default(),
            open_requests: AtomicI64::new(0),
            rng: Mutex::new(rng),
            nonce,
        })
    }

    /// Brings a bundle into force, unless the one in force is at least as new; returns whether it
    /// did.
    ///
    /// A delayed read or a lagging peer may supply a bundle that has been replaced already. The
    /// comparison and the swap are one atomic step, so that the revision never decreases.
    pub fn activate_bundle(&self, active: ActiveBundle) -> bool {
        let active = Arc::new(active);
        let last = self.active_bundle.rcu(|held| match held {
            Some(held) if held.revision() >= active.revision() => Some(Arc::clone(held)),
            _ => Some(Arc::clone(&active)),
        });
        if last.is_some_and(|last| last.revision() >= active.revision()) {
            return false;
        }
        self.rollouts.set_active_bundle(&active);
        let before = self
            .view
            .rcu(|view| view.with_bundle(&self.group_bundle(&active), Instant::now()));
        self.set_initial_limits(&before);
        self.metrics.add(Counter::Bundles, 1);
        self.metrics.set(Gauge::Revision, active.revision().0);
        log::info!(
            "revision {} is in force, bundle {}",
            active.revision(),
            active.header.digest.short()
        );
        true
    }

    /// Sets the targets of this instance's group and updates the routing view.
    pub fn set_group_targets(&self, targets: Vec<TargetName>) {
        let is_same = *self.group_targets.load_full() == targets;
        self.group_targets.store(Arc::new(targets));
        if let Some(active) = self.active_bundle.load_full().filter(|_| !is_same) {
            self.view
                .rcu(|view| view.with_bundle(&self.group_bundle(&active), Instant::now()));
        }
    }

    /// Returns the bundle reduced to the targets that this instance uses.
    fn group_bundle(&self, active: &ActiveBundle) -> Bundle {
        restrict_to_group(&active.bundle, &self.group_targets.load())
    }

    /// Sets the limits of accounts that are new on this instance to a first part of their total
    /// limits.
    ///
    /// Otherwise all their requests would be refused until demand is measured, a second later.
    fn set_initial_limits(&self, before: &RoutingView) {
        let view = self.view.load();
        let share = limits::initial_share(self);
        let now_ms = self.now_ms();
        let is_new = |name| before.accounts().key(name).is_none();
        for (_, entry) in view.accounts().iter() {
            if is_new(&entry.account.name) {
                entry
                    .limiter
                    .set_account_limit(&entry.account, share, now_ms);
            }
        }
    }

    /// Sends the result of a request to the target watcher; drops it if the channel is full.
    pub fn report_target_event(&self, event: TargetEvent) {
        // With a full channel, the watcher has many events to handle already.
        let _ = self.target_events.try_send(event);
    }

    /// Adds to the number of open requests; `change` is negative when requests end.
    pub fn adjust_open_requests(&self, change: i64) {
        let open = self.open_requests.fetch_add(change, Relaxed) + change;
        self.metrics.set(Gauge::OpenRequests, open.max(0) as u64);
    }

    /// Returns the current time in milliseconds of the routing view's clock.
    pub fn now_ms(&self) -> u64 {
        self.view.load().clock().millis(Instant::now())
    }

    /// Updates this instance's share of the platform's rate limits.
    ///
    /// Nearly all writes are those of ledger shards, so they are allotted to the owners of the
    /// shards. In addition, each instance gets a small share for operators' actions, leases and
    /// rollouts.
    pub fn update_platform_rates(&self, instances: usize) {
        let owned = forward::owned_shards(self) as f64;
        let even = PLATFORM_RATES.share(instances);
        let rates = Rates {
            writes: even.writes * OTHER_WRITES_FRACTION + owned * SHARD_WRITES_PER_S,
            ..even
        };
        self.platform.set_rates(rates);
    }

    /// Locks the gossip state; hold the lock only briefly.
    pub fn gossip(&self) -> MutexGuard<'_, Gossip> {
        lock(&self.gossip)
    }

    /// Locks the tracker of known bundles; hold the lock only briefly.
    pub fn bundle_tracker(&self) -> MutexGuard<'_, BundleTracker> {
        lock(&self.bundle_tracker)
    }

    /// Locks the records that this instance keeps for others; hold the lock only briefly.
    pub fn keeper(&self) -> MutexGuard<'_, Keeper> {
        lock(&self.keeper)
    }

    /// Locks the input channels of the answers that this instance drives, by request; hold the lock
    /// only briefly.
    pub fn drivers(&self) -> MutexGuard<'_, HashMap<RequestKey, mpsc::Sender<Input>>> {
        lock(&self.drivers)
    }

    /// Records the versions that an engine reports as loaded.
    pub fn record_loaded_versions(&self, target: &TargetName, versions: Vec<VersionName>) {
        lock(&self.loaded_versions).insert(target.clone(), versions);
    }

    /// Records that an engine refused a request because it has not loaded a version, until its next
    /// report.
    pub fn record_unloaded(&self, target: &TargetName, version: &VersionName) {
        let mut loaded_versions = lock(&self.loaded_versions);
        let versions = loaded_versions.entry(target.clone()).or_default();
        versions.retain(|loaded| loaded != version);
    }

    /// Returns the versions that an engine last reported as loaded; `None` if it has not reported
    /// yet.
    pub fn loaded_versions(&self, target: &TargetName) -> Option<Vec<VersionName>> {
        lock(&self.loaded_versions).get(target).cloned()
    }

    /// Sets the instance list and updates what depends on the number of instances.
    pub fn set_instance_list(&self, list: InstanceList) {
        self.update_platform_rates(list.instances.len());
        self.instance_list.store(Arc::new(list));
        *lock(&self.instance_list_read_at) = Some(Instant::now());
    }

    /// Returns when the instance list was last read.
    pub fn instance_list_read_at(&self) -> Option<Instant> {
        *lock(&self.instance_list_read_at)
    }

    /// Returns the number of instances on the platform's list, including this one. Until the list
    /// has been read, returns an assumed number.
    pub fn expected_instances(&self) -> usize {
        if self.instance_list_read_at().is_none() {
            return ASSUMED_INSTANCE_COUNT;
        }
        let list = self.instance_list.load();
        let others = list.instances.iter();
        let others = others.filter(|listed| listed.name != self.settings.instance);
        others.count() + 1
    }

    /// Returns a new random number generator.
    pub fn rng(&self) -> SmallRng {
        SmallRng::from_rng(&mut *lock(&self.rng))
    }

    /// Returns a number that identifies one attempt of an operation. Numbers start at a random
    /// value, so those of other instances and earlier runs differ.
    pub fn nonce(&self) -> u64 {
        self.nonce.fetch_add(1, Relaxed)
    }

    /// Returns the address at which callers reach this instance.
    pub fn address(&self) -> SocketAddr {
        self.settings.address
    }
}

/// Returns the wall clock time as Unix time in milliseconds.
pub fn wall_ms() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    since_epoch.map_or(0, |since_epoch| since_epoch.as_millis() as u64)
}

fn new_gossip(settings: &Settings, incarnation: u64, rng: &mut SmallRng, now: Instant) -> Gossip {
    let identity = Identity {
        name: settings.instance.clone(),
        incarnation: Incarnation(incarnation),
        address: format_smolstr!("{}", settings.peer_address),
        data_centre: settings.data_centre.clone(),
    };
    let seeds = settings.seeds.iter();
    let settings = celerypond_fleet::GossipSettings {
        seeds: seeds.map(|address| format_smolstr!("{address}")).collect(),
        ..celerypond_fleet::GossipSettings::default()
    };
    Gossip::new(identity, settings, SmallRng::from_rng(rng), now)
}

/// Locks a mutex even if it is poisoned: its data stays consistent when a holder panics.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
