//! This instance's side in rollouts: which version takes a request and what is seen of it.

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
    force::Force,
    gossip,
    node::{self, Node},
};

mod driver;
mod shares;
mod status;

pub use driver::run;
pub use status::{RolloutStatus, TrialCounts};

use shares::Shares;

/// How often an instance says again what it acts on.
const SAY_AGAIN: Duration = Duration::from_secs(10);
/// How many peers hear of news at once.
const FAN_OUT: usize = 3;
/// What separates a model from its version in the name of a brake.
const SEPARATOR: char = '/';

/// What instances exchange about rollouts.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
struct Talk {
    news: RolloutSnapshot,
    reports: Vec<EvidenceReport>,
}

/// This instance's side in rollouts.
pub struct Rollouts {
    controller: Mutex<RolloutController>,
    open: Mutex<BTreeMap<(ModelName, VersionName), u32>>,
    shares: Shares,
    /// What was last said that this instance acts on, and when.
    said: Mutex<Option<(AppliedState, Instant)>>,
    /// When the records in the store were last read.
    read: Mutex<Option<Instant>>,
}

/// An answer that is open at a version; dropping it counts the answer out.
pub struct TrackedAnswer {
    node: Arc<Node>,
    key: (ModelName, VersionName),
}

impl Drop for TrackedAnswer {
    fn drop(&mut self) {
        let mut open = lock(&self.node.rollouts.open);
        if let Some(count) = open.get_mut(&self.key) {
            *count = count.saturating_sub(1);
        }
    }
}

impl Rollouts {
    /// Makes the side of an instance; `incarnation` must rise with each restart.
    pub fn new(name: InstanceName, incarnation: u64) -> Self {
        Self {
            controller: Mutex::new(RolloutController::new(
                name,
                incarnation,
                RolloutConfig::default(),
            )),
            open: Mutex::default(),
            shares: Shares::default(),
            said: Mutex::default(),
            read: Mutex::default(),
        }
    }

    /// Takes the bundle that has come into force.
    pub fn set_force(&self, force: &Force) {
        let mut controller = self.controller();
        controller.set_parts(force.headline.parts.clone());
        self.shares.publish(&controller, &force.bundle);
    }

    /// Lets requests see the shares as they are now, which a brake has just changed, for example.
    fn publish(&self, node: &Node) {
        if let Some(force) = node.active_bundle.load_full() {
            self.shares.publish(&self.controller(), &force.bundle);
        }
    }

    /// Chooses the version that takes the next request for a model.
    ///
    /// The failure: a bundle names a version that engines have not loaded yet, and its first requests
    /// are refused. The symptom would be a good version that is taken back. Until an engine reports
    /// it, the version that it is to replace serves on. So it does while this instance has just
    /// started and may not know of a brake.
    pub fn choose_version(&self, node: &Node, model: &Model) -> VersionName {
        let chosen = self.shares.choose(model);
        if self.shares.is_synced() && is_loaded(node, model, &chosen) {
            return chosen;
        }
        let force = node.active_bundle.load();
        let part = force
            .as_ref()
            .and_then(|force| force.headline.parts.get(&model.name));
        let mut moves = part.into_iter().flat_map(|part| &part.increases);
        let moved = moves.find(|change| change.candidate.version == chosen);
        moved.map_or(chosen, |change| change.base.clone())
    }

    /// Counts an answer in at the base or a candidate.
    pub fn track_answer(
        &self,
        node: &Arc<Node>,
        model: &ModelName,
        version: &VersionName,
    ) -> TrackedAnswer {
        let key = (model.clone(), version.clone());
        *lock(&self.open).entry(key.clone()).or_default() += 1;
        TrackedAnswer {
            node: Arc::clone(node),
            key,
        }
    }

    /// Returns the engines that new requests for a version must not use at its present stage.
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
        let (Some(targets), Some(force)) =
            (targets(model, version), node.active_bundle.load_full())
        else {
            return excluded;
        };
        let part = force.headline.parts.get(&model.name);
        let engines =
            part.and_then(|part| self.controller().stage_engines(part.origin, &candidate));
        let engines = engines.map_or(targets.len(), |engines| engines as usize);
        let view = node.view.load();
        // All instances leave out the same engines, in the order that the bundle names them.
        let left_out = targets.iter().skip(engines);
        excluded.extend(left_out.filter_map(|name| view.target_key(name)));
        excluded
    }

    /// Returns the engines that have not loaded a version. Others may go on with answers of it,
    /// whatever the stage: an answer that has begun must not wait for the next stage.
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
            .filter(|name| !has_loaded(node, name, version));
        unloaded.filter_map(|name| view.target_key(name)).collect()
    }

    /// Lets the controller note what became of a request.
    pub fn with_controller(&self, note: impl FnOnce(&mut RolloutController)) {
        note(&mut self.controller());
    }

    /// Takes a brake that gossip brought.
    pub fn braked(&self, node: &Arc<Node>, brake: &Brake) {
        let Some((model, version)) = brake.version.as_str().split_once(SEPARATOR) else {
            return;
        };
        let candidate = Candidate {
            model: model.into(),
            version: version.into(),
        };
        let mut brakes = Brakes::default();
        brakes.insert(brake.revision, candidate, Cause::Failures);
        let news = RolloutSnapshot {
            rollouts: Vec::new(),
            brakes,
        };
        let is_new = self.controller().merge_snapshot(&news);
        self.publish(node);
        if is_new {
            node.metrics.add(celerypond_telemetry::Counter::Brakes, 1);
            log::warn!(
                "the brake is on for {} of revision {}",
                brake.version,
                brake.revision
            );
        }
    }

    /// Takes what other instances say they act on.
    pub fn hear_acting(&self, node: &Node) {
        let words: Vec<AppliedState> = {
            let gossip = node.gossip();
            let items = gossip.entries().items(EntryKind::Acting);
            items
                .filter_map(|(_, item)| serde_json::from_slice(&item.value).ok())
                .collect()
        };
        let mut controller = self.controller();
        for word in words {
            controller.merge_applied_state(word);
        }
    }

    /// Takes a peer's news and answers with the own.
    pub fn answer(&self, node: &Arc<Node>, talk: &[u8]) -> Vec<u8> {
        self.hear(node, talk);
        self.talk()
    }

    fn hear(&self, node: &Arc<Node>, talk: &[u8]) {
        let Ok(talk) = serde_json::from_slice::<Talk>(talk) else {
            return;
        };
        let is_new = {
            let mut controller = self.controller();
            for report in talk.reports {
                controller.merge_report(report);
            }
            controller.merge_snapshot(&talk.news)
        };
        self.publish(node);
        if is_new {
            self.spread(node);
        }
    }

    fn talk(&self) -> Vec<u8> {
        let controller = self.controller();
        let talk = Talk {
            news: controller.snapshot(),
            reports: controller.own_reports().cloned().collect(),
        };
        serde_json::to_vec(&talk).unwrap_or_default()
    }

    /// Passes the brakes on by gossip and all news to some peers, without the store.
    fn spread(&self, node: &Arc<Node>) {
        let brakes: Vec<Brake> = brakes(node, &self.controller());
        for brake in brakes {
            node.gossip().add_brake(brake);
        }
        gossip::process_events(node);
        self.push(node, FAN_OUT, |_| true);
    }

    /// Exchanges evidence with one of those who weigh it.
    fn exchange(&self, node: &Arc<Node>) {
        let live = listed(node);
        let Some(force) = node.active_bundle.load_full() else {
            return;
        };
        let parts = force.headline.parts.iter();
        let all: Vec<InstanceName> = parts
            .flat_map(|(model, part)| evidence_reporters(part.origin, model, &live))
            .collect();
        self.push(node, 1, |name| all.is_empty() || all.contains(name));
    }

    fn push(&self, node: &Arc<Node>, count: usize, fits: impl Fn(&InstanceName) -> bool) {
        let addresses: Vec<_> = gossip::live_instances(node)
            .into_iter()
            .filter(|instance| fits(&instance.name))
            .filter_map(|instance| instance.address)
            .collect();
        let talk = self.talk();
        let chosen: Vec<_> = addresses
            .choose_multiple(&mut node.rng(), count)
            .copied()
            .collect();
        for address in chosen {
            let node = Arc::clone(node);
            let talk = talk.clone();
            let work = node.background_tasks.clone();
            work.spawn(async move {
                if let Ok(answer) = node.peers.exchange_rollouts(address, talk).await {
                    node.rollouts.hear(&node, &answer);
                }
            });
        }
    }

    /// Returns whether others must hear what this instance acts on: it changed, or was long not said.
    fn is_news(&self, acting: &AppliedState) -> bool {
        let mut said = lock(&self.said);
        let is_old = said.as_ref().is_none_or(|(last, at)| {
            let is_same = (last.revision, &last.shares) == (acting.revision, &acting.shares);
            !is_same || at.elapsed() >= SAY_AGAIN
        });
        if is_old {
            *said = Some((acting.clone(), Instant::now()));
        }
        is_old
    }

    fn controller(&self) -> MutexGuard<'_, RolloutController> {
        lock(&self.controller)
    }
}

fn targets<'a>(model: &'a Model, version: &VersionName) -> Option<&'a [TargetName]> {
    let found = model.versions.iter().find(|found| found.name == *version);
    found.map(|found| found.targets.as_slice())
}

/// Returns whether any engine of a version reports to have loaded it.
fn is_loaded(node: &Node, model: &Model, version: &VersionName) -> bool {
    let left_out = node.rollouts.excluded_engines(node, model, version);
    let view = node.view.load();
    let targets = targets(model, version).unwrap_or_default().iter();
    // An instance uses the engines of its group only, and a stage may use none of those.
    let mut used = targets.filter(|target| {
        let key = view.target_key(target);
        key.is_some_and(|key| !left_out.contains(&key))
    });
    used.any(|target| has_loaded(node, target, version))
}

/// Returns whether an engine may have a version loaded; one that was never asked may.
fn has_loaded(node: &Node, target: &TargetName, version: &VersionName) -> bool {
    let reported = node.loaded_versions(target);
    reported.is_none_or(|versions| versions.contains(version))
}

fn brakes(node: &Node, controller: &RolloutController) -> Vec<Brake> {
    let Some(force) = node.active_bundle.load_full() else {
        return Vec::new();
    };
    let moves = force.headline.parts.values().flat_map(|part| {
        part.increases
            .iter()
            .map(|change| (part.origin, change.candidate.clone()))
    });
    moves
        .filter(|(origin, candidate)| controller.brakes().cause(*origin, candidate).is_some())
        .map(|(revision, candidate)| Brake {
            revision,
            version: VersionName::new(format!(
                "{}{SEPARATOR}{}",
                candidate.model, candidate.version
            )),
        })
        .collect()
}

/// Returns the live instances by the platform's list.
fn listed(node: &Node) -> Vec<InstanceName> {
    let list = node.instance_list.load();
    let live = list
        .instances
        .iter()
        .filter(|instance| instance.state == celerypond_platform::Presence::Live);
    live.map(|instance| instance.name.clone()).collect()
}

/// Returns the kind of request that a version's faults may differ by.
pub fn request_class(adapter: Option<&celerypond_types::AdapterName>) -> RequestClass {
    RequestClass(adapter.map_or("", |adapter| adapter.as_str()).into())
}

/// Makes the trial of one chunk of an answer.
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
