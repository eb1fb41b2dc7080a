//! The snapshot that the request path reads.

use std::{collections::HashMap, sync::Arc};

use celerypond_bundle::{Bundle, Model};
use celerypond_types::{
    AdapterName, ModelName, ServiceName, TargetKey, TargetName, VersionKey, VersionName,
};
use slotmap::{Key, SecondaryMap, SlotMap};
use tokio::time::Instant;

use crate::{target_state::Tallies, Accounts, Clock, Pool, PrefixIndex, Target};

slotmap::new_key_type! {
    /// A plain service in the services arena.
    pub struct ServiceKey;
}

/// What serves a request.
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
struct Layout {
    targets: SlotMap<TargetKey, Arc<Target>>,
    names: HashMap<TargetName, TargetKey>,
    models: HashMap<ModelName, ModelEntry>,
    versions: SlotMap<VersionKey, Arc<Pool>>,
    services: SlotMap<ServiceKey, Arc<Pool>>,
    by_service: HashMap<ServiceName, ServiceKey>,
}

/// An immutable snapshot of what a bundle declares; cheap to clone.
///
/// Keys of targets and versions that a later bundle still declares stay the same, and so do the
/// gauges, which hold all that changes between two bundles.
#[derive(Clone, Debug)]
pub struct RoutingView {
    pub(crate) clock: Clock,
    layout: Arc<Layout>,
    accounts: Arc<Accounts>,
    /// How many instances send to the same targets.
    instances: usize,
    pub(crate) cache: Arc<PrefixIndex>,
}

impl RoutingView {
    /// Makes an empty view whose clock counts from `base`.
    pub fn new(base: Instant) -> Self {
        Self {
            clock: Clock::new(base),
            layout: Arc::default(),
            accounts: Arc::default(),
            instances: 1,
            cache: Arc::default(),
        }
    }

    /// Returns the view after `bundle` has come into force at `now`.
    #[must_use]
    pub fn with_bundle(&self, bundle: &Bundle, now: Instant) -> Self {
        let now_ms = self.clock.millis(now);
        let mut layout = self.layout.with_targets(bundle);
        layout.set_models(&self.layout, bundle);
        layout.set_services(&self.layout, bundle);
        layout.set_tallies();
        Self {
            layout: Arc::new(layout),
            accounts: Arc::new(self.accounts.with_bundle(&bundle.accounts, now_ms)),
            ..self.clone()
        }
    }

    /// Returns the view of one of so many instances, which send to the same targets.
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
    pub fn with_prefix_index(&self, cache: Arc<PrefixIndex>) -> Self {
        Self {
            cache,
            ..self.clone()
        }
    }

    /// Returns the clock that the gauges count by.
    pub const fn clock(&self) -> Clock {
        self.clock
    }

    /// Returns the client accounts.
    pub fn accounts(&self) -> &Accounts {
        &self.accounts
    }

    /// Finds a version of a model.
    pub fn version_key(&self, model: &ModelName, version: &VersionName) -> Option<VersionKey> {
        self.layout
            .models
            .get(model)?
            .versions
            .get(version)
            .copied()
    }

    /// Returns whether a model has an adapter.
    pub fn has_adapter(&self, model: &ModelName, adapter: &AdapterName) -> bool {
        let entry = self.layout.models.get(model);
        entry.is_some_and(|entry| entry.adapters.contains(adapter))
    }

    /// Finds a service.
    pub fn service_key(&self, name: &ServiceName) -> Option<ServiceKey> {
        self.layout.by_service.get(name).copied()
    }

    /// Finds a target by name.
    pub fn target_key(&self, name: &TargetName) -> Option<TargetKey> {
        self.layout.names.get(name).copied()
    }

    /// Finds a target by key.
    pub fn target(&self, key: TargetKey) -> Option<&Arc<Target>> {
        self.layout.targets.get(key)
    }

    /// Returns all targets, in the order of the arena.
    pub fn targets(&self) -> impl Iterator<Item = (TargetKey, &Arc<Target>)> + '_ {
        self.layout.targets.iter()
    }

    /// Finds the pool of a route.
    pub fn pool(&self, route: Route) -> Option<&Arc<Pool>> {
        match route {
            Route::Version(key) => self.layout.versions.get(key),
            Route::Service(key) => self.layout.services.get(key),
        }
    }

    /// Surveys every pool; call it about every 100 ms.
    pub fn update_load_stats(&self, now: Instant) {
        let now_ms = self.clock.millis(now);
        for pool in self.pools() {
            pool.update_load_stats(now_ms, self.instances);
        }
    }

    /// Returns all pools.
    pub fn pools(&self) -> impl Iterator<Item = &Arc<Pool>> + '_ {
        let versions = self.layout.versions.values();
        versions.chain(self.layout.services.values())
    }
}

impl Layout {
    fn with_targets(&self, bundle: &Bundle) -> Self {
        let mut targets = self.targets.clone();
        let mut names = HashMap::with_capacity(bundle.targets.len());
        for declared in &bundle.targets {
            let key = match self.kept(declared) {
                Some((key, target)) => {
                    targets[key] = Arc::new(target);
                    key
                }
                None => targets.insert(Arc::new(Target::new(declared))),
            };
            names.insert(declared.name.clone(), key);
        }
        targets.retain(|key, target| names.get(&target.name) == Some(&key));
        Self {
            targets,
            names,
            versions: self.versions.clone(),
            services: self.services.clone(),
            ..Self::default()
        }
    }

    fn kept(&self, declared: &celerypond_bundle::Target) -> Option<(TargetKey, Target)> {
        let key = *self.names.get(&declared.name)?;
        let target = self.targets.get(key)?.updated(declared)?;
        Some((key, target))
    }

    fn set_models(&mut self, last: &Self, bundle: &Bundle) {
        let mut kept = Vec::new();
        for model in &bundle.models {
            let entry = self.model_entry(last.models.get(&model.name), model);
            kept.extend(entry.versions.values().copied());
            self.models.insert(model.name.clone(), entry);
        }
        self.versions.retain(|key, _| kept.contains(&key));
    }

    fn model_entry(&mut self, last: Option<&ModelEntry>, model: &Model) -> ModelEntry {
        let mut entry = ModelEntry {
            adapters: model.adapters.clone(),
            ..ModelEntry::default()
        };
        for version in &model.versions {
            let kept = last.and_then(|last| last.versions.get(&version.name).copied());
            let before = kept.map(|key| &self.versions[key]);
            let pool = self.pool_of(&version.targets, before);
            let key = put(&mut self.versions, kept, pool);
            entry.versions.insert(version.name.clone(), key);
        }
        entry
    }

    fn set_services(&mut self, last: &Self, bundle: &Bundle) {
        for service in &bundle.services {
            let kept = last.by_service.get(&service.name).copied();
            let before = kept.map(|key| &self.services[key]);
            let pool = self.pool_of(&service.targets, before);
            let key = put(&mut self.services, kept, pool);
            self.by_service.insert(service.name.clone(), key);
        }
        let Self {
            services,
            by_service,
            ..
        } = self;
        services.retain(|key, _| by_service.values().any(|kept| *kept == key));
    }

    /// Tells each gauge the pools that count its requests.
    fn set_tallies(&self) {
        let mut tallies: SecondaryMap<TargetKey, Tallies> = SecondaryMap::new();
        for pool in self.versions.values().chain(self.services.values()) {
            for key in pool.target_keys() {
                let tally = Arc::clone(&pool.gauge.open);
                if let Some(entry) = tallies.entry(key) {
                    entry.or_default().push(tally);
                }
            }
        }
        for (key, target) in &self.targets {
            target
                .state
                .set_tallies(tallies.remove(key).unwrap_or_default());
        }
    }

    fn pool_of(&self, names: &[TargetName], last: Option<&Arc<Pool>>) -> Pool {
        let keys = names.iter().filter_map(|name| self.names.get(name));
        let targets = keys.map(|key| (*key, Arc::clone(&self.targets[*key])));
        Pool::new(targets.collect(), last.map(Arc::as_ref))
    }
}

/// Puts a pool under the key that it had before, or under a new one, and returns the key.
fn put<K: Key>(pools: &mut SlotMap<K, Arc<Pool>>, kept: Option<K>, pool: Pool) -> K {
    let pool = Arc::new(pool);
    let Some(key) = kept else {
        return pools.insert(pool);
    };
    pools[key] = pool;
    key
}
