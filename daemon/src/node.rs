//! What all tasks of an instance share.

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
    admission::Admission, force::Force, forward, front::socket::Sockets, ledger::Ledger, limits,
    orders::LoadedVersions, part::part_of, peers::Peers, rollouts::Rollouts, stalls::Stalls,
    suspects::Suspects, target_watch::TargetEvent,
};

/// The platform's rates for all instances together, of which each uses its share.
const PLATFORM_RATES: Rates = Rates {
    reads: 1500.0,
    writes: 300.0,
    burst: Duration::from_secs(2),
};
/// The part of the writes that is for all but the shards of keyed calls.
const OTHER_WRITES: f64 = 0.3;
/// The writes a second of one shard, a little above its pace.
const SHARD_WRITES: f64 = 75.0;
const PLATFORM_CONNECT: Duration = Duration::from_millis(500);
const PLATFORM_TIMEOUT: Duration = Duration::from_secs(2);
/// The memory for records that are kept for others, in bytes.
const KEEPER_BYTES: usize = 32 << 20;
/// How many instances share the platform's rates until the list of instances is known.
const FIRST_COUNT: usize = 7;

/// What all tasks of an instance share.
pub struct Node {
    /// The settings of this instance.
    pub settings: Settings,
    /// Counters and gauges.
    pub metrics: Metrics,
    /// The platform.
    pub platform: Client,
    /// The snapshot by which targets are chosen.
    pub view: ArcSwap<RoutingView>,
    /// The bundle in force; none before the first roll.
    pub active_bundle: ArcSwapOption<Force>,
    /// The targets of this instance's group; none until the fleet is known.
    group_targets: ArcSwap<Vec<TargetName>>,
    /// The last list of instances that the platform gave.
    pub instance_list: ArcSwap<InstanceList>,
    /// Connections from callers.
    pub sockets: Sockets,
    /// Cancelled at the beginning of a planned stop.
    pub leaving: CancellationToken,
    /// Cancelled when background tasks shall end.
    pub shutdown: CancellationToken,
    /// Tasks that outlive the request that began them.
    pub background_tasks: TaskTracker,
    /// The gaps between tokens of each engine.
    pub stalls: Stalls,
    /// Requests that wait to begin.
    pub admission: Admission,
    /// Targets that failed a moment ago.
    pub suspects: Suspects,
    /// What requests tell of targets.
    pub target_events: mpsc::Sender<TargetEvent>,
    /// Calls that may not be repeated.
    pub ledger: Ledger,
    /// The retries that this instance may make.
    pub retry_budget: RetryBudget,
    /// The time between retries.
    pub backoff: Backoff,
    /// The key of the seals of resume tokens.
    pub resume_token_key: ResumeTokenKey,
    /// Connections to other instances.
    pub peers: Peers,
    /// This instance's side in rollouts.
    pub rollouts: Rollouts,
    /// Wakes the watch of targets when peers say that one leaves.
    pub departures_changed: Notify,
    /// Wakes the task that brings bundles into force.
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
    /// Makes the shared state of an instance.
    pub fn new(
        settings: Settings,
        metrics: Metrics,
        events: mpsc::Sender<TargetEvent>,
    ) -> Arc<Self> {
        let now = Instant::now();
        let platform = celerypond_platform::ClientSettings {
            addresses: settings.platform.clone(),
            connect_timeout: PLATFORM_CONNECT,
            timeout: PLATFORM_TIMEOUT,
            rates: PLATFORM_RATES.share(FIRST_COUNT),
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
            stalls: Stalls::default(),
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
            keeper: Mutex::new(Keeper::new(KEEPER_BYTES)),
            drivers: Mutex::default(),
            instance_list_read_at: Mutex::default(),
            loaded_versions: Mutex::default(),
            open_requests: AtomicI64::new(0),
            rng: Mutex::new(rng),
            nonce,
        })
    }

    /// Brings a bundle into force; an older one than that in force is dropped.
    ///
    /// The failure: a late read, or a peer that lags, brings a bundle that was replaced. The symptom
    /// would be a revision that goes back. The comparison and the swap are one atomic step.
    pub fn activate_bundle(&self, force: Force) -> bool {
        let force = Arc::new(force);
        let last = self.active_bundle.rcu(|held| match held {
            Some(held) if held.revision() >= force.revision() => Some(Arc::clone(held)),
            _ => Some(Arc::clone(&force)),
        });
        if last.is_some_and(|last| last.revision() >= force.revision()) {
            return false;
        }
        self.rollouts.set_active_bundle(&force);
        let before = self
            .view
            .rcu(|view| view.with_bundle(&self.group_bundle(&force), Instant::now()));
        self.set_initial_limits(&before);
        self.metrics.add(Counter::Bundles, 1);
        self.metrics.set(Gauge::Revision, force.revision().0);
        log::info!(
            "revision {} is in force, bundle {}",
            force.revision(),
            force.headline.digest.short()
        );
        true
    }

    /// Takes the targets of this instance's group, and uses them from now on.
    pub fn set_group_targets(&self, targets: Vec<TargetName>) {
        let is_same = *self.group_targets.load_full() == targets;
        self.group_targets.store(Arc::new(targets));
        if let Some(force) = self.active_bundle.load_full().filter(|_| !is_same) {
            self.view
                .rcu(|view| view.with_bundle(&self.group_bundle(&force), Instant::now()));
        }
    }

    /// Returns the bundle with the targets that this instance uses.
    fn group_bundle(&self, force: &Force) -> Bundle {
        part_of(&force.bundle, &self.group_targets.load())
    }

    /// Gives accounts that are new here a part of their limits.
    ///
    /// The failure: until demand was measured, a second later, each of their requests would be refused.
    fn set_initial_limits(&self, before: &RoutingView) {
        let view = self.view.load();
        let part = limits::first_part(self);
        let now_ms = self.now_ms();
        let is_new = |name| before.accounts().key(name).is_none();
        for (_, entry) in view.accounts().iter() {
            if is_new(&entry.account.name) {
                entry
                    .limiter
                    .set_account_limit(&entry.account, part, now_ms);
            }
        }
    }

    /// Passes on what a request tells of a target; under a flood some of it is dropped.
    pub fn report_target_event(&self, event: TargetEvent) {
        // A full channel means that plenty is known already.
        let _ = self.target_events.try_send(event);
    }

    /// Counts answers that begin or end.
    pub fn adjust_open_requests(&self, change: i64) {
        let open = self.open_requests.fetch_add(change, Relaxed) + change;
        self.metrics.set(Gauge::OpenRequests, open.max(0) as u64);
    }

    /// Returns the time in milliseconds by the clock of the snapshots.
    pub fn now_ms(&self) -> u64 {
        self.view.load().clock().millis(Instant::now())
    }

    /// Takes this instance's part of the platform's rates.
    ///
    /// Nearly all writes are those of shards, so the owners of shards get them, and each instance a
    /// little for operators' steps, leases and rollouts.
    pub fn update_platform_rates(&self, instances: usize) {
        let owned = forward::owned_shards(self) as f64;
        let even = PLATFORM_RATES.share(instances);
        let rates = Rates {
            writes: even.writes * OTHER_WRITES + owned * SHARD_WRITES,
            ..even
        };
        self.platform.set_rates(rates);
    }

    /// Returns the gossip; hold it for a moment only.
    pub fn gossip(&self) -> MutexGuard<'_, Gossip> {
        lock(&self.gossip)
    }

    /// Returns the bundles that are heard of; hold it for a moment only.
    pub fn bundle_tracker(&self) -> MutexGuard<'_, BundleTracker> {
        lock(&self.bundle_tracker)
    }

    /// Returns the records that are kept for others; hold it for a moment only.
    pub fn keeper(&self) -> MutexGuard<'_, Keeper> {
        lock(&self.keeper)
    }

    /// Returns the drivers of answers by request; hold it for a moment only.
    pub fn drivers(&self) -> MutexGuard<'_, HashMap<RequestKey, mpsc::Sender<Input>>> {
        lock(&self.drivers)
    }

    /// Takes what an engine has loaded, by its own word.
    pub fn record_loaded_versions(&self, target: &TargetName, versions: Vec<VersionName>) {
        lock(&self.loaded_versions).insert(target.clone(), versions);
    }

    /// Takes an engine's word that it has not loaded a version, until it is asked again.
    pub fn record_unloaded(&self, target: &TargetName, version: &VersionName) {
        let mut reports = lock(&self.loaded_versions);
        let versions = reports.entry(target.clone()).or_default();
        versions.retain(|loaded| loaded != version);
    }

    /// Returns what an engine had loaded when it was last asked.
    pub fn loaded_versions(&self, target: &TargetName) -> Option<Vec<VersionName>> {
        lock(&self.loaded_versions).get(target).cloned()
    }

    /// Takes the platform's list of instances.
    pub fn set_instance_list(&self, list: InstanceList) {
        self.update_platform_rates(list.instances.len());
        self.instance_list.store(Arc::new(list));
        *lock(&self.instance_list_read_at) = Some(Instant::now());
    }

    /// Returns when the list of instances was last read.
    pub fn instance_list_read_at(&self) -> Option<Instant> {
        *lock(&self.instance_list_read_at)
    }

    /// Returns how many instances there are by the platform's list, this one among them; a guess
    /// until it was read.
    pub fn expected_instances(&self) -> usize {
        if self.instance_list_read_at().is_none() {
            return FIRST_COUNT;
        }
        let list = self.instance_list.load();
        let others = list.instances.iter();
        let others = others.filter(|listed| listed.name != self.settings.instance);
        others.count() + 1
    }

    /// Returns a new generator of random numbers.
    pub fn rng(&self) -> SmallRng {
        SmallRng::from_rng(&mut *lock(&self.rng))
    }

    /// Returns a number that no other try has.
    pub fn nonce(&self) -> u64 {
        self.nonce.fetch_add(1, Relaxed)
    }

    /// Returns where callers reach this instance.
    pub fn address(&self) -> SocketAddr {
        self.settings.address
    }
}

/// Returns the wall clock in milliseconds since 1970, for records that people read.
pub fn wall_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
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

/// Locks a mutex whose holders leave it whole even when they panic.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
