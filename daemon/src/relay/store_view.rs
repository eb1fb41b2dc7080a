//! The view that an instance has of the store's data, from the store itself or from its peers.

use std::{
    net::SocketAddr,
    sync::{
        atomic::{AtomicBool, Ordering::Relaxed},
        Arc, Mutex, MutexGuard, PoisonError,
    },
    time::Duration,
};

use arc_swap::ArcSwap;
use celerypond_relay::{
    Bounds, Change, Config, Freshness, Observation, RoutingTable, StoreContact, TargetEntry,
    TargetUpdate, Targets,
};
use celerypond_types::{DataCentre, TargetKey, TargetName};
use rand::Rng as _;
use tokio::{
    sync::{futures::Notified, Notify},
    time::Instant,
};

/// Where data of the store came from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Source {
    /// The store itself.
    Store,
    /// Another instance.
    Peer,
}

/// The configuration and the targets as this instance knows them, and how recent they are.
pub(super) struct StoreView {
    table: ArcSwap<RoutingTable>,
    config_freshness: Mutex<Freshness>,
    /// How recent the list of targets is, by revisions of the store.
    targets_freshness: Mutex<Freshness>,
    /// Whether the store is sending this instance a newer configuration.
    pub(super) is_receiving: AtomicBool,
    targets: Mutex<Targets>,
    has_config: AtomicBool,
    has_targets: AtomicBool,
    /// The store's revision up to which the targets are known.
    targets_revision: Mutex<u64>,
    /// Notifies waiting tasks that the view changed.
    changed: Notify,
    /// Notifies that there is a change that other instances have to be told about.
    pub(super) unreported_change: Notify,
    store_contact: Mutex<StoreContact>,
    /// The minimum outage of the store in which entries can expire.
    min_outage: Duration,
    /// How long entries may be missing after the store has returned.
    missing_entry_grace: Duration,
}

impl StoreView {
    /// Creates an empty view.
    pub(super) fn new(bounds: &Bounds) -> Self {
        let mut targets = Targets::default();
        targets.lateness = rand::rng().random();
        Self {
            table: ArcSwap::default(),
            config_freshness: Mutex::new(Freshness::new(Instant::now())),
            targets_freshness: Mutex::new(Freshness::new(Instant::now())),
            is_receiving: AtomicBool::new(false),
            targets: Mutex::new(targets),
            has_config: AtomicBool::new(false),
            has_targets: AtomicBool::new(false),
            targets_revision: Mutex::default(),
            changed: Notify::new(),
            unreported_change: Notify::new(),
            store_contact: Mutex::default(),
            min_outage: bounds.min_outage(),
            missing_entry_grace: bounds.missing_entry_grace(),
        }
    }

    /// Returns the current configuration.
    pub(super) fn table(&self) -> arc_swap::Guard<Arc<RoutingTable>> {
        self.table.load()
    }

    /// Returns the version of the current configuration.
    pub(super) fn config_version(&self) -> u64 {
        self.table.load().config().version
    }

    /// Returns how recent the current configuration is.
    pub(super) fn config_freshness(&self) -> MutexGuard<'_, Freshness> {
        self.config_freshness
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns how recent the list of targets is.
    pub(super) fn targets_freshness(&self) -> MutexGuard<'_, Freshness> {
        self.targets_freshness
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Records which configuration the store was seen to hold.
    pub(super) fn observe_config(&self, observation: Observation) {
        self.config_freshness().observe(observation);
        self.changed.notify_waiters();
    }

    /// Records that the store answered this or another instance at a moment. If that ends an outage,
    /// entries may be missing for a while.
    ///
    /// This has to precede the changes that the answer contains.
    pub(super) fn record_store_answer(&self, at: Instant) {
        let mut contact = self
            .store_contact
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let outage = contact.record(at, self.min_outage);
        drop(contact);
        if let Some(outage) = outage {
            log::warn!(
                outage_ms = outage.as_millis() as u64,
                grace_ms = self.missing_entry_grace.as_millis() as u64;
                "store returned, entries may be missing"
            );
            self.targets().await_entries(self.missing_entry_grace, at);
        }
    }

    /// Records which revision of the targets the store was seen to hold.
    pub(super) fn observe_targets(&self, observation: Observation) {
        self.record_store_answer(observation.at);
        let mut freshness = self.targets_freshness();
        freshness.observe(observation);
        let verified_at = freshness.verified_at();
        drop(freshness);
        if let Some(at) = verified_at {
            for name in self.targets().verify(at) {
                log::info!(target = name.as_str(), reason = "not listed by the store"; "target gone");
            }
        }
        self.changed.notify_waiters();
    }

    /// Records that another instance has this version of the configuration.
    pub(super) fn report_config(&self, version: u64, now: Instant) {
        self.config_freshness().report(version, now);
    }

    /// Records a contact with the store or another instance.
    pub(super) fn record_contact(&self, now: Instant) {
        self.config_freshness().record_contact(now);
        self.targets_freshness().record_contact(now);
    }

    /// Sets whether there are other instances that have not announced that they leave.
    pub(super) fn set_has_peers(&self, has_peers: bool) {
        self.config_freshness().set_has_peers(has_peers);
        self.targets_freshness().set_has_peers(has_peers);
    }

    /// Returns a revision of the store at which the current configuration was the newest one, if
    /// such a revision is known.
    pub(super) fn config_revision(&self) -> Option<u64> {
        self.config_freshness().revision()
    }

    /// Returns whether the configuration and the targets are known.
    pub(super) fn is_complete(&self) -> bool {
        self.has_config() && self.has_targets()
    }

    pub(super) fn targets(&self) -> MutexGuard<'_, Targets> {
        self.targets.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the address of a target, or `None` if it is gone.
    pub(super) fn address_of(&self, key: TargetKey) -> Option<SocketAddr> {
        let targets = self.targets();
        targets.get(key).map(|target| target.entry.address)
    }

    /// Returns the data centre of a target, or `None` if it is gone.
    pub(super) fn data_centre_of(&self, key: TargetKey) -> Option<DataCentre> {
        let targets = self.targets();
        targets
            .get(key)
            .map(|target| target.entry.data_centre.clone())
    }

    /// Returns whether a configuration is known.
    pub(super) fn has_config(&self) -> bool {
        self.has_config.load(Relaxed)
    }

    /// Returns the store's revision up to which the targets are known.
    pub(super) fn targets_revision(&self) -> u64 {
        *self.lock_revision()
    }

    /// Returns whether the targets are known.
    pub(super) fn has_targets(&self) -> bool {
        self.has_targets.load(Relaxed)
    }

    /// Makes a configuration current, unless the current one has the same or a later version.
    ///
    /// A store that serves stale reads, or a peer that lags, may send an older version. With it a
    /// removed key or route would become valid again, so the version never decreases here.
    pub(super) fn apply_config(&self, config: Config, source: Source) {
        let previous = self.table.load();
        let previous_version = previous.config().version;
        if self.has_config() && config.version <= previous_version {
            return;
        }
        let version = config.version;
        self.table.store(Arc::new(RoutingTable::new(config)));
        self.config_freshness().set_current(version);
        self.has_config.store(true, Relaxed);
        self.unreported_change.notify_one();
        log::info!(version, before = previous_version, source:? = source; "configuration in force");
        self.changed.notify_waiters();
    }

    /// Replaces the whole list of targets by that of the store's revision, unless a later one is
    /// known. Returns whether it did.
    pub(super) fn replace_targets(
        &self,
        entries: Vec<TargetEntry>,
        revision: u64,
        source: Source,
    ) -> bool {
        let mut current_revision = self.lock_revision();
        let is_outdated = match source {
            Source::Peer => revision <= *current_revision,
            _ => revision < *current_revision,
        };
        if self.has_targets() && is_outdated {
            return false;
        }
        *current_revision = revision;
        self.targets_freshness().set_current(revision);
        let now = Instant::now();
        let mut targets = self.targets();
        // The time at which the store had this list is recorded separately, by
        // [`Self::observe_targets`].
        let changes = targets.replace_unverified(entries, now);
        targets.record_full_list(revision);
        drop(targets);
        drop(current_revision);
        let is_first = !self.has_targets.swap(true, Relaxed);
        log::info!(revision, source:? = source, is_first, changed = changes.len(); "targets listed");
        // All targets are new to an instance that starts, and thousands of lines would delay it.
        for change in changes.iter().filter(|_| !is_first) {
            log::info!(revision, source:? = source, change:? = change; "target changed");
        }
        self.unreported_change.notify_one();
        self.changed.notify_waiters();
        true
    }

    /// Applies changes of targets up to a revision of the store, unless a later one is known.
    pub(super) fn apply_changes(&self, changes: &[(u64, Change)], revision: u64, source: Source) {
        let mut current_revision = self.lock_revision();
        if revision <= *current_revision {
            return;
        }
        let previous_revision = std::mem::replace(&mut *current_revision, revision);
        self.targets_freshness().set_current(revision);
        let now = Instant::now();
        let mut targets = self.targets();
        for (at, change) in changes {
            // A removed object may still have the revision that it had before. Other instances would
            // not be notified of its removal, as they know the targets up to a later revision.
            let at = if *at > previous_revision {
                *at
            } else {
                revision
            };
            targets.record_change(at, change.name());
            if targets.apply(change, now) {
                log::info!(revision = at, source:? = source, change:? = change; "target changed");
            } else if targets.is_missing(change.name()) {
                log::info!(revision = at, source:? = source, target = change.name().as_str(); "target missing");
            }
        }
        drop(targets);
        drop(current_revision);
        self.unreported_change.notify_one();
        self.changed.notify_waiters();
    }

    /// Applies an update of the targets that another instance sent after `received_after`.
    pub(super) fn apply_update(&self, update: TargetUpdate, received_after: Instant) {
        let age = update.age_ms.map(|age| Duration::from_millis(age.into()));
        let observed_at = age.and_then(|age| received_after.checked_sub(age));
        if let Some(at) = observed_at {
            self.record_store_answer(at);
        }
        let revision = update.revision;
        if update.is_whole {
            if self.replace_targets(update.targets, update.revision, Source::Peer) {
                self.targets()
                    .set_unlisted(&to_past_instants(update.observed, received_after));
            }
        } else {
            let present = update.targets.into_iter().map(Change::Is);
            let gone = update.gone.into_iter().map(Change::Gone);
            let changes: Vec<(u64, Change)> = present
                .chain(gone)
                .map(|change| (update.revision, change))
                .collect();
            self.apply_changes(&changes, update.revision, Source::Peer);
        }
        let remaining = update.missing.into_iter();
        let missing: Vec<(TargetName, Instant)> = remaining
            .map(|(name, left)| (name, received_after + Duration::from_millis(left.into())))
            .collect();
        self.targets().mark_all_missing(&missing);
        if let Some(at) = observed_at {
            self.observe_targets(Observation {
                version: revision,
                revision,
                at,
            });
        }
    }

    /// Returns the update for an instance that knows the targets up to the revision `since`, or
    /// `None` if this instance does not know the targets itself.
    pub(super) fn update_since(&self, since: u64) -> Option<TargetUpdate> {
        if !self.has_targets() {
            return None;
        }
        let current_revision = self.lock_revision();
        let now = Instant::now();
        let age = self.targets_freshness().age(now);
        let age_ms = age.and_then(|age| u32::try_from(age.as_millis()).ok());
        let targets = self.targets();
        Some(TargetUpdate {
            age_ms,
            missing: targets.missing_targets(now),
            observed: targets.unlisted_targets(now),
            ..targets.update_since(since, *current_revision)
        })
    }

    /// Returns the current configuration if it has at least this version.
    pub(super) fn config_since(&self, version: u64) -> Option<Arc<RoutingTable>> {
        let table = self.has_config().then(|| self.table.load_full());
        table.filter(|table| table.config().version >= version)
    }

    fn lock_revision(&self) -> MutexGuard<'_, u64> {
        self.targets_revision
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits for the next change of the view.
    pub(super) fn changed(&self) -> Notified<'_> {
        self.changed.notified()
    }

    /// Waits until the configuration and the targets are known, or until `until`.
    pub(super) async fn wait_known(&self, until: Instant) {
        loop {
            let changed = self.changed.notified();
            if self.is_complete() || tokio::time::timeout_at(until, changed).await.is_err() {
                return;
            }
        }
    }

    /// Removes targets whose entries did not return in time after the store did.
    pub(super) fn drop_missing(&self) {
        for name in self.targets().drop_missing(Instant::now()) {
            log::info!(target = name.as_str(), reason = "entry did not come back"; "target gone");
        }
    }
}

/// Converts ages of the last response of targets, which a peer sent after a moment, to moments.
fn to_past_instants(
    observed: Vec<(TargetName, u32)>,
    received_after: Instant,
) -> Vec<(TargetName, Instant)> {
    let seen_at = |age: u32| received_after.checked_sub(Duration::from_millis(age.into()));
    let observed = observed.into_iter();
    observed
        .filter_map(|(name, age)| Some((name, seen_at(age)?)))
        .collect()
}
