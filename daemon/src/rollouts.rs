//! Rollouts on this instance: chooses the version for each request, collects evidence about
//! versions and exchanges rollout state with other instances.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use celerypond_bundle::Model;
use celerypond_fleet::{Brake, EntryKind};
use celerypond_rollout::{
    evidence_reporters, AppliedState, Brakes, Candidate, Cause, EvidenceReport, RequestClass,
    RolloutConfig, RolloutController, RolloutSnapshot, Trial,
};
use celerypond_types::{InstanceName, ModelName, TargetKey, TargetName, VersionName};
use rand::seq::IndexedRandom;
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use crate::{
    active_bundle::ActiveBundle,
    gossip,
    node::{self, Node},
};

mod driver;
mod shares;
mod status;

pub use driver::run;
pub use status::{RolloutStatus, TrialCounts};

use shares::Shares;

/// The interval at which an instance announces its applied state again although it did not change.
const REANNOUNCE_INTERVAL: Duration = Duration::from_secs(10);
/// The number of peers that receive new rollout state directly.
const FAN_OUT: usize = 3;
/// Separates the model from the version in the `version` field of a [`Brake`].
const BRAKE_NAME_SEPARATOR: char = '/';

/// The request and the response of a rollout exchange between instances.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
struct RolloutExchange {
    #[serde(rename = "news")]
    snapshot: RolloutSnapshot,
    reports: Vec<EvidenceReport>,
}

/// The rollout state of this instance.
pub struct Rollouts {
    controller: Mutex<RolloutController>,
    /// The number of open answers of each version.
    open_answers: Mutex<BTreeMap<(ModelName, VersionName), u32>>,
    shares: Shares,
    /// The applied state that was announced last, and when.
    last_announced: Mutex<Option<(AppliedState, Instant)>>,
    /// When the records in the store were last read.
    records_read_at: Mutex<Option<Instant>>,
}

/// An open answer of a version; dropping it decrements the count of open answers.
pub struct TrackedAnswer {
    node: Arc<Node>,
    key: (ModelName, VersionName),
}

impl Drop for TrackedAnswer {
    fn drop(&mut self) {
        let mut open = lock(&self.node.rollouts.open_answers);
        if let Some(count) = open.get_mut(&self.key) {
            *count = count.saturating_sub(1);
        }
    }
}

impl Rollouts {
    /// Creates the rollout state of an instance; `incarnation` must increase with each restart.
    pub fn new(name: InstanceName, incarnation: u64) -> Self {
        Self {
            controller: Mutex::new(RolloutController::new(
                name,
                incarnation,
                RolloutConfig::default(),
            )),
            open_answers: Mutex::default(),
            shares: Shares::default(),
            last_announced: Mutex::default(),
            records_read_at: Mutex::default(),
        }
    }

    /// Sets the bundle that has come into force.
    pub fn set_active_bundle(&self, active: &ActiveBundle) {
        let mut controller = self.controller();
        controller.set_parts(active.header.parts.clone());
        self.shares.publish(&controller, &active.bundle);
    }

    /// Publishes the current shares to the request path, for example after a brake changed them.
    fn publish_shares(&self, node: &Node) {
        if let Some(active) = node.active_bundle.load_full() {
            self.shares.publish(&self.controller(), &active.bundle);
        }
    }

    /// Chooses the version for the next request for a model.
    ///
    /// The base takes the requests of a candidate until an engine reports the candidate as loaded.
    /// Otherwise engines would refuse its first requests, and a good version would be rolled back.
    /// The base also takes them after a start until a peer has sent its brakes.
    pub fn choose_version(&self, node: &Node, model: &Model) -> VersionName {
        let chosen = self.shares.choose(model);
        if self.shares.is_synced() && is_loaded_on_any_engine(node, model, &chosen) {
            return chosen;
        }
        let active = node.active_bundle.load();
        let part = active
            .as_ref()
            .and_then(|active| active.header.parts.get(&model.name));
        let mut increases = part.into_iter().flat_map(|part| &part.increases);
        let increase = increases.find(|increase| increase.candidate.version == chosen);
        increase.map_or(chosen, |increase| increase.base.clone())
    }

    /// Counts an answer of a version as open until the returned guard is dropped.
    pub fn track_answer(
        &self,
        node: &Arc<Node>,
        model: &ModelName,
        version: &VersionName,
    ) -> TrackedAnswer {
        let key = (model.clone(), version.clone());
        *lock(&self.open_answers).entry(key.clone()).or_default() += 1;
        TrackedAnswer {
            node: Arc::clone(node),
            key,
        }
    }

    /// Returns the engines that new requests for a version must not use at the current stage of its
    /// rollout.
    pub fn excluded_engines(
        &self,
        node: &Node,
        model: &Model,
        version: &VersionName,
    ) -> Vec<TargetKey> {
        let candidate = Candidate {
            model: model.name.clone(),
            version: version.clone(),
        };
        let mut excluded = self.engines_without_version(node, model, version);
        let (Some(targets), Some(active)) =
            (targets(model, version), node.active_bundle.load_full())
        else {
            return excluded;
        };
        let part = active.header.parts.get(&model.name);
        let stage_engines =
            part.and_then(|part| self.controller().stage_engines(part.origin, &candidate));
        let stage_engines = stage_engines.map_or(targets.len(), |engines| engines as usize);
        let view = node.view.load();
        // All instances use the first engines in the order of the bundle, so they exclude the same
        // ones.
        let excluded_names = targets.iter().skip(stage_engines);
        excluded.extend(excluded_names.filter_map(|name| view.target_key(name)));
        excluded
    }

    /// Returns the engines that have not loaded a version.
    ///
    /// An answer that has begun may continue on any other engine of the version, whatever the
    /// stage, since it must not wait for the next stage.
    pub fn engines_without_version(
        &self,
        node: &Node,
        model: &Model,
        version: &VersionName,
    ) -> Vec<TargetKey> {
        let targets = targets(model, version).unwrap_or_default();
        let view = node.view.load();
        let unloaded = targets
            .iter()
            .filter(|name| !may_have_loaded(node, name, version));
        unloaded.filter_map(|name| view.target_key(name)).collect()
    }

    /// Calls a function with the controller locked, for example to record the result of a request.
    pub fn with_controller(&self, update: impl FnOnce(&mut RolloutController)) {
        update(&mut self.controller());
    }

    /// Merges a brake received by gossip.
    pub fn handle_brake(&self, node: &Arc<Node>, brake: &Brake) {
        let Some((model, version)) = brake.version.as_str().split_once(BRAKE_NAME_SEPARATOR) else {
            return;
        };
        let candidate = Candidate {
            model: model.into(),
            version: version.into(),
        };
        let mut brakes = Brakes::default();
        brakes.insert(brake.revision, candidate, Cause::Failures);
        let snapshot = RolloutSnapshot {
            rollouts: Vec::new(),
            brakes,
        };
        let is_new = self.controller().merge_snapshot(&snapshot);
        self.publish_shares(node);
        if is_new {
            node.metrics.add(celerypond_telemetry::Counter::Brakes, 1);
            log::warn!(
                "version {} of revision {} is braked",
                brake.version,
                brake.revision
            );
        }
    }

    /// Merges the applied states of other instances from gossip.
    pub fn merge_applied_states(&self, node: &Node) {
        let applied_states: Vec<AppliedState> = {
            let gossip = node.gossip();
            let items = gossip.entries().items(EntryKind::Acting);
            items
                .filter_map(|(_, item)| serde_json::from_slice(&item.value).ok())
                .collect()
        };
        let mut controller = self.controller();
        for applied_state in applied_states {
            controller.merge_applied_state(applied_state);
        }
    }

    /// Merges the rollout state of a peer and returns the state of this instance.
    pub fn handle_exchange(&self, node: &Arc<Node>, request: &[u8]) -> Vec<u8> {
        self.merge_exchange(node, request);
        self.encode_exchange()
    }

    fn merge_exchange(&self, node: &Arc<Node>, exchange: &[u8]) {
        let Ok(exchange) = serde_json::from_slice::<RolloutExchange>(exchange) else {
            return;
        };
        let is_new = {
            let mut controller = self.controller();
            for report in exchange.reports {
                controller.merge_report(report);
            }
            controller.merge_snapshot(&exchange.snapshot)
        };
        self.publish_shares(node);
        if is_new {
            self.broadcast(node);
        }
    }

    fn encode_exchange(&self) -> Vec<u8> {
        let controller = self.controller();
        let exchange = RolloutExchange {
            snapshot: controller.snapshot(),
            reports: controller.own_reports().cloned().collect(),
        };
        serde_json::to_vec(&exchange).unwrap_or_default()
    }

    /// Sends the brakes by gossip and the whole rollout state to some peers, without the store.
    fn broadcast(&self, node: &Arc<Node>) {
        let brakes: Vec<Brake> = active_brakes(node, &self.controller());
        for brake in brakes {
            node.gossip().add_brake(brake);
        }
        gossip::process_events(node);
        self.exchange_with_peers(node, FAN_OUT, |_| true);
    }

    /// Exchanges rollout state with one of the evidence reporters, or with any peer if there is
    /// none.
    fn exchange_evidence(&self, node: &Arc<Node>) {
        let live = listed_live_instances(node);
        let Some(active) = node.active_bundle.load_full() else {
            return;
        };
        let parts = active.header.parts.iter();
        let reporters: Vec<InstanceName> = parts
            .flat_map(|(model, part)| evidence_reporters(part.origin, model, &live))
            .collect();
        self.exchange_with_peers(node, 1, |name| {
            reporters.is_empty() || reporters.contains(name)
        });
    }

    fn exchange_with_peers(
        &self,
        node: &Arc<Node>,
        count: usize,
        is_eligible: impl Fn(&InstanceName) -> bool,
    ) {
        let addresses: Vec<_> = gossip::live_instances(node)
            .into_iter()
            .filter(|instance| is_eligible(&instance.name))
            .filter_map(|instance| instance.address)
            .collect();
        let request = self.encode_exchange();
        let chosen: Vec<_> = addresses
            .choose_multiple(&mut node.rng(), count)
            .copied()
            .collect();
        for address in chosen {
            let node = Arc::clone(node);
            let request = request.clone();
            let tasks = node.background_tasks.clone();
            tasks.spawn(async move {
                if let Ok(response) = node.peers.exchange_rollouts(address, request).await {
                    node.rollouts.merge_exchange(&node, &response);
                }
            });
        }
    }

    /// Returns whether to announce the applied state now, and records it as announced if so.
    ///
    /// It is announced when it changed and at least once per [`REANNOUNCE_INTERVAL`].
    fn should_announce(&self, applied: &AppliedState) -> bool {
        let mut last_announced = lock(&self.last_announced);
        let is_due = last_announced.as_ref().is_none_or(|(last, at)| {
            let is_same = (last.revision, &last.shares) == (applied.revision, &applied.shares);
            !is_same || at.elapsed() >= REANNOUNCE_INTERVAL
        });
        if is_due {
            *last_announced = Some((applied.clone(), Instant::now()));
        }
        is_due
    }

    fn controller(&self) -> MutexGuard<'_, RolloutController> {
        lock(&self.controller)
    }
}

/// Returns the targets of a version, in the order of the bundle.
fn targets<'a>(model: &'a Model, version: &VersionName) -> Option<&'a [TargetName]> {
    let found = model.versions.iter().find(|found| found.name == *version);
    found.map(|found| found.targets.as_slice())
}

/// Returns whether an engine that new requests for a version may use has possibly loaded it.
fn is_loaded_on_any_engine(node: &Node, model: &Model, version: &VersionName) -> bool {
    let excluded = node.rollouts.excluded_engines(node, model, version);
    let view = node.view.load();
    let targets = targets(model, version).unwrap_or_default().iter();
    // An instance uses only the engines of its group, and the stage may include none of them.
    let mut usable = targets.filter(|target| {
        let key = view.target_key(target);
        key.is_some_and(|key| !excluded.contains(&key))
    });
    usable.any(|target| may_have_loaded(node, target, version))
}

/// Returns whether an engine may have loaded a version: it reported so, or has not reported yet.
fn may_have_loaded(node: &Node, target: &TargetName, version: &VersionName) -> bool {
    let loaded = node.loaded_versions(target);
    loaded.is_none_or(|versions| versions.contains(version))
}

/// Returns the brakes of the share increases in the active bundle.
fn active_brakes(node: &Node, controller: &RolloutController) -> Vec<Brake> {
    let Some(active) = node.active_bundle.load_full() else {
        return Vec::new();
    };
    let candidates = active.header.parts.values().flat_map(|part| {
        part.increases
            .iter()
            .map(|increase| (part.origin, increase.candidate.clone()))
    });
    candidates
        .filter(|(origin, candidate)| controller.brakes().cause(*origin, candidate).is_some())
        .map(|(revision, candidate)| Brake {
            revision,
            version: VersionName::new(format!(
                "{}{BRAKE_NAME_SEPARATOR}{}",
                candidate.model, candidate.version
            )),
        })
        .collect()
}

/// Returns the live instances according to the platform's instance list.
fn listed_live_instances(node: &Node) -> Vec<InstanceName> {
    let list = node.instance_list.load();
    let live = list
        .instances
        .iter()
        .filter(|instance| instance.state == celerypond_platform::Presence::Live);
    live.map(|instance| instance.name.clone()).collect()
}

/// Returns the class of a request; the faults of a version may affect only some classes.
pub fn request_class(adapter: Option<&celerypond_types::AdapterName>) -> RequestClass {
    RequestClass(adapter.map_or("", |adapter| adapter.as_str()).into())
}

/// Returns a trial of the first chunk of an answer that begins now.
pub fn new_trial(
    model: &ModelName,
    version: &VersionName,
    class: &RequestClass,
    target: &TargetName,
) -> Trial {
    Trial {
        model: model.clone(),
        version: version.clone(),
        class: class.clone(),
        target: target.clone(),
        is_first: true,
        begun_ms: node::wall_ms(),
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
