//! The immutable snapshot that the request path reads.

use std::{collections::HashMap, sync::Arc};

use celerypond_bundle::{Bundle, Model};
use celerypond_types::{
    AdapterName, ModelName, ServiceName, TargetKey, TargetName, VersionKey, VersionName,
};
use slotmap::{Key, SecondaryMap, SlotMap};
use tokio::time::Instant;

use crate::{target_state::PoolCounters, Accounts, Clock, Pool, PrefixIndex, Target};

slotmap::new_key_type! {
    /// The key of a plain service in a [`RoutingView`].
    pub struct ServiceKey;
}

/// The destination of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Route {
    /// One version of a model.
    Version(VersionKey),
    /// A plain service.
    Service(ServiceKey),
}

#[derive(Clone, Debug, Default)]
struct ModelEntry {
    versions: HashMap<VersionName, VersionKey>,
    adapters: Vec<AdapterName>,
}

#[derive(Clone, Debug, Default)]
struct Topology {
    targets: SlotMap<TargetKey, Arc<Target>>,
    target_keys: HashMap<TargetName, TargetKey>,
    models: HashMap<ModelName, ModelEntry>,
    versions: SlotMap<VersionKey, Arc<Pool>>,
    services: SlotMap<ServiceKey, Arc<Pool>>,
    service_keys: HashMap<ServiceName, ServiceKey>,
}

/// An immutable snapshot of what a bundle declares; cheap to clone.
///
/// Targets and versions that a later bundle still declares keep their keys, and targets keep their
/// [`crate::TargetState`], which holds everything that changes between bundles.
#[derive(Clone, Debug)]
pub struct RoutingView {
    pub(crate) clock: Clock,
    topology: Arc<Topology>,
    accounts: Arc<Accounts>,
    /// How many instances send to the same targets.
    instances: usize,
    pub(crate) prefix_index: Arc<PrefixIndex>,
}

impl RoutingView {
    /// Creates an empty view whose clock counts from `base`.
    pub fn new(base: Instant) -> Self {
        Self {
            clock: Clock::new(base),
            topology: Arc::default(),
            accounts: Arc::default(),
            instances: 1,
            prefix_index: Arc::default(),
        }
    }

    /// Returns the view after `bundle` came into force at `now`.
    #[must_use]
    pub fn with_bundle(&self, bundle: &Bundle, now: Instant) -> Self {
        let now_ms = self.clock.millis(now);
        let mut topology = self.topology.with_targets(bundle);
        topology.set_models(&self.topology, bundle);
        topology.set_services(&self.topology, bundle);
        topology.assign_pool_counters();
        Self {
            topology: Arc::new(topology),
            accounts: Arc::new(self.accounts.with_bundle(&bundle.accounts, now_ms)),
            ..self.clone()
        }
    }

    /// Returns the view with the number of instances, this one included, that send to the same
    /// targets.
    #[must_use]
    pub fn with_instances(&self, instances: usize) -> Self {
        Self {
            instances,
            ..self.clone()
        }
    }

    /// Returns how many instances send to the same targets.
    pub const fn instances(&self) -> usize {
        self.instances
    }

    /// Returns the view with another index of cached prefixes.
    #[must_use]
    pub fn with_prefix_index(&self, prefix_index: Arc<PrefixIndex>) -> Self {
        Self {
            prefix_index,
            ..self.clone()
        }
    }

    /// Returns the clock that the states of targets use.
    pub const fn clock(&self) -> Clock {
        self.clock
    }

    /// Returns the client accounts.
    pub fn accounts(&self) -> &Accounts {
        &self.accounts
    }

    /// Looks up a version of a model.
    pub fn version_key(&self, model: &ModelName, version: &VersionName) -> Option<VersionKey> {
        self.topology
            .models
            .get(model)?
            .versions
            .get(version)
            .copied()
    }

    /// Returns whether a model has an adapter.
    pub fn has_adapter(&self, model: &ModelName, adapter: &AdapterName) -> bool {
        let entry = self.topology.models.get(model);
        entry.is_some_and(|entry| entry.adapters.contains(adapter))
    }

    /// Looks up a plain service.
    pub fn service_key(&self, name: &ServiceName) -> Option<ServiceKey> {
        self.topology.service_keys.get(name).copied()
    }

    /// Looks up a target by name.
    pub fn target_key(&self, name: &TargetName) -> Option<TargetKey> {
        self.topology.target_keys.get(name).copied()
    }

    /// Looks up a target by key.
    pub fn target(&self, key: TargetKey) -> Option<&Arc<Target>> {
        self.topology.targets.get(key)
    }

    /// Iterates over all targets in storage order.
    pub fn targets(&self) -> impl Iterator<Item = (TargetKey, &Arc<Target>)> + '_ {
        self.topology.targets.iter()
    }

    /// Looks up the pool of a route.
    pub fn pool(&self, route: Route) -> Option<&Arc<Pool>> {
        match route {
            Route::Version(key) => self.topology.versions.get(key),
            Route::Service(key) => self.topology.services.get(key),
        }
    }

    /// Updates the load statistics of every pool; call it about every 100 ms.
    pub fn update_load_stats(&self, now: Instant) {
        let now_ms = self.clock.millis(now);
        for pool in self.pools() {
            pool.update_load_stats(now_ms, self.instances);
        }
    }

    /// Iterates over all pools.
    pub fn pools(&self) -> impl Iterator<Item = &Arc<Pool>> + '_ {
        let versions = self.topology.versions.values();
        versions.chain(self.topology.services.values())
    }
}

impl Topology {
    fn with_targets(&self, bundle: &Bundle) -> Self {
        let mut targets = self.targets.clone();
        let mut target_keys = HashMap::with_capacity(bundle.targets.len());
        for declared in &bundle.targets {
            let key = match self.existing_target(declared) {
                Some((key, target)) => {
                    targets[key] = Arc::new(target);
                    key
                }
                None => targets.insert(Arc::new(Target::new(declared))),
            };
            target_keys.insert(declared.name.clone(), key);
        }
        targets.retain(|key, target| target_keys.get(&target.name) == Some(&key));
        Self {
            targets,
            target_keys,
            versions: self.versions.clone(),
            services: self.services.clone(),
            ..Self::default()
        }
    }

    fn existing_target(&self, declared: &celerypond_bundle::Target) -> Option<(TargetKey, Target)> {
        let key = *self.target_keys.get(&declared.name)?;
        let target = self.targets.get(key)?.updated(declared)?;
        Some((key, target))
    }

    fn set_models(&mut self, previous: &Self, bundle: &Bundle) {
        let mut retained = Vec::new();
        for model in &bundle.models {
            let entry = self.model_entry(previous.models.get(&model.name), model);
            retained.extend(entry.versions.values().copied());
            self.models.insert(model.name.clone(), entry);
        }
        self.versions.retain(|key, _| retained.contains(&key));
    }

    fn model_entry(&mut self, previous: Option<&ModelEntry>, model: &Model) -> ModelEntry {
        let mut entry = ModelEntry {
            adapters: model.adapters.clone(),
            ..ModelEntry::default()
        };
        for version in &model.versions {
            let existing =
                previous.and_then(|previous| previous.versions.get(&version.name).copied());
            let previous_pool = existing.map(|key| &self.versions[key]);
            let pool = self.build_pool(&version.targets, previous_pool);
            let key = insert_or_replace(&mut self.versions, existing, pool);
            entry.versions.insert(version.name.clone(), key);
        }
        entry
    }

    fn set_services(&mut self, previous: &Self, bundle: &Bundle) {
        for service in &bundle.services {
            let existing = previous.service_keys.get(&service.name).copied();
            let previous_pool = existing.map(|key| &self.services[key]);
            let pool = self.build_pool(&service.targets, previous_pool);
            let key = insert_or_replace(&mut self.services, existing, pool);
            self.service_keys.insert(service.name.clone(), key);
        }
        let Self {
            services,
            service_keys,
            ..
        } = self;
        services.retain(|key, _| service_keys.values().any(|existing| *existing == key));
    }

    /// Sets, for each target, the in-flight counters of the pools it belongs to.
    fn assign_pool_counters(&self) {
        let mut counters: SecondaryMap<TargetKey, PoolCounters> = SecondaryMap::new();
        for pool in self.versions.values().chain(self.services.values()) {
            for key in pool.target_keys() {
                let counter = Arc::clone(&pool.stats.in_flight);
                if let Some(entry) = counters.entry(key) {
                    entry.or_default().push(counter);
                }
            }
        }
        for (key, target) in &self.targets {
            target
                .state
                .set_pool_counters(counters.remove(key).unwrap_or_default());
        }
    }

    fn build_pool(&self, names: &[TargetName], previous: Option<&Arc<Pool>>) -> Pool {
        let keys = names.iter().filter_map(|name| self.target_keys.get(name));
        let targets = keys.map(|key| (*key, Arc::clone(&self.targets[*key])));
        Pool::new(targets.collect(), previous.map(Arc::as_ref))
    }
}

/// Stores a pool under its existing key, or under a new one, and returns the key.
fn insert_or_replace<K: Key>(
    pools: &mut SlotMap<K, Arc<Pool>>,
    existing: Option<K>,
    pool: Pool,
) -> K {
    let pool = Arc::new(pool);
    let Some(key) = existing else {
        return pools.insert(pool);
    };
    pools[key] = pool;
    key
}
