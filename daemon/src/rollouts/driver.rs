//! Evaluates evidence and advances the rollout records in the store.

use std::{collections::HashMap, sync::Arc, time::Duration};

use bytes::Bytes;
use celerypond_fleet::EntryKind;
use celerypond_platform::{PlatformError, Version};
use celerypond_rollout::{rendezvous_order, rollout_key, Rollout, ShareIncrease};
use celerypond_types::{ModelName, Revision};
use tokio::time::{self, Instant};

use super::{listed_live_instances, lock};
use crate::{
    active_bundle::ActiveBundle,
    gossip,
    node::{self, Node},
};

/// The interval at which evidence is evaluated and exchanged.
const STEP_INTERVAL: Duration = Duration::from_millis(250);
/// How long each instance in the order of writers has to write a due step before the next one may.
const WRITER_TIMEOUT: Duration = Duration::from_secs(2);
/// The key prefix of rollout records in the store.
const RECORD_PREFIX: &str = "rollout/";
/// The number of steps between two reads of the records by a record reader.
const READER_STEPS: u32 = 8;
/// The number of steps between two reads by any other instance, in case an exchange missed
/// something.
const NON_READER_STEPS: u32 = 240;
/// The number of instances that read the records often; the others receive them from peers.
const READERS: usize = 7;
/// The maximum age of the instance list for a decision that requires all live instances.
const MAX_LIST_AGE: Duration = Duration::from_secs(10);

/// Evaluates evidence and advances rollouts until the instance shuts down.
pub async fn run(node: Arc<Node>) {
    let mut tick = time::interval(STEP_INTERVAL);
    let mut due_since: HashMap<Revision, Instant> = HashMap::new();
    let mut record_versions: HashMap<Revision, Version> = HashMap::new();
    let mut steps = 0;
    loop {
        tokio::select! {
            () = node.shutdown.cancelled() => return,
            _ = tick.tick() => {}
        }
        steps += 1;
        step(&node);
        let is_due =
            steps % READER_STEPS == 0 && is_record_reader(&node) || steps % NON_READER_STEPS == 0;
        if is_due && node.active_bundle.load().is_some() {
            read_records(&node, &mut record_versions).await;
        }
        write_due_records(&node, &mut due_since, &mut record_versions).await;
    }
}

fn step(node: &Arc<Node>) {
    let Some(active) = node.active_bundle.load_full() else {
        return;
    };
    let live = listed_live_instances(node);
    let (is_braked, applied, needs_exchange) = {
        let mut controller = node.rollouts.controller();
        controller.set_live(&live);
        let engines = |increase: &ShareIncrease| count_base_engines(&active, increase);
        let is_braked = controller.evaluate(engines, node::wall_ms());
        let open_answers = lock(&node.rollouts.open_answers);
        let applied = controller.update_applied_state(active.revision(), |model, version| {
            let key = (model.clone(), version.clone());
            open_answers.get(&key).copied().unwrap_or(0)
        });
        let has_running = active.header.parts.values().any(|part| {
            let rollout = controller.rollout(part.origin);
            rollout.is_some_and(|rollout| rollout.versions.iter().any(|it| !it.phase.is_ended()))
        });
        node.rollouts.shares.publish(&controller, &active.bundle);
        (is_braked, applied, has_running || !controller.is_synced())
    };
    if node.rollouts.should_announce(&applied) {
        let value = serde_json::to_vec(&applied).unwrap_or_default();
        gossip::set_entry(node, EntryKind::Acting, "", value);
    }
    if is_braked {
        node.rollouts.broadcast(node);
    } else if needs_exchange {
        node.rollouts.exchange_evidence(node);
    }
}

/// Returns whether this instance is one of those that read the records often.
fn is_record_reader(node: &Node) -> bool {
    let ranked = rendezvous_order("rollout reader", &listed_live_instances(node));
    let mut readers = ranked.iter().take(READERS);
    readers.any(|name| *name == node.settings.instance)
}

/// Merges the records in the store and notes their store versions.
async fn read_records(node: &Arc<Node>, record_versions: &mut HashMap<Revision, Version>) {
    let Ok(listing) = node.platform.list_all(RECORD_PREFIX).await else {
        return;
    };
    *lock(&node.rollouts.records_read_at) = Some(Instant::now());
    let mut is_new = false;
    for object in listing.objects {
        if let Some(rollout) = celerypond_rollout::parse_json::<Rollout>(&object.value) {
            record_versions.insert(rollout.origin, object.version);
            is_new |= node.rollouts.controller().merge_rollout(rollout);
        }
    }
    node.rollouts.publish_shares(node);
    if is_new {
        node.rollouts.broadcast(node);
    }
}

/// Writes the records whose next step is due, if it is this instance's turn to write them.
///
/// The order of writers of each record is a rendezvous order over the live instances.
async fn write_due_records(
    node: &Arc<Node>,
    due_since: &mut HashMap<Revision, Instant>,
    record_versions: &mut HashMap<Revision, Version>,
) {
    let Some(active) = node.active_bundle.load_full() else {
        return;
    };
    let due = {
        let controller = node.rollouts.controller();
        let rates = |model: &ModelName| estimate_rate(node, model);
        let is_list_fresh = node
            .instance_list_read_at()
            .is_some_and(|at| at.elapsed() < MAX_LIST_AGE);
        controller.due_records(&active.bundle.models, rates, is_list_fresh, node::wall_ms())
    };
    due_since.retain(|origin, _| due.iter().any(|rollout| rollout.origin == *origin));
    for rollout in due {
        let first_due = *due_since.entry(rollout.origin).or_insert_with(Instant::now);
        let live = listed_live_instances(node);
        let writers = rendezvous_order(&format!("driver {}", rollout.origin), &live);
        let rank = writers
            .iter()
            .position(|name| *name == node.settings.instance);
        let rank = rank.unwrap_or(writers.len()) as u32;
        if first_due.elapsed() >= WRITER_TIMEOUT * rank {
            write_record(node, rollout, record_versions).await;
        }
    }
}

async fn write_record(
    node: &Arc<Node>,
    rollout: Rollout,
    record_versions: &mut HashMap<Revision, Version>,
) {
    let key = rollout_key(rollout.origin);
    let value: Bytes = serde_json::to_vec(&rollout).unwrap_or_default().into();
    let result = match record_versions.get(&rollout.origin) {
        None => node.platform.create(&key, value).await,
        Some(version) => node.platform.update(&key, *version, value).await,
    };
    match result {
        Ok(version) => {
            record_versions.insert(rollout.origin, version);
            for record in &rollout.versions {
                let candidate = &record.change.candidate;
                let (model, version) = (&candidate.model, &candidate.version);
                log::info!(
                    "rollout of {model} {version} is in phase {:?}",
                    record.phase
                );
            }
            node.rollouts.controller().merge_rollout(rollout);
            node.rollouts.publish_shares(node);
            node.rollouts.broadcast(node);
        }
        // Another instance advanced the record or the reply was lost; the record shows which.
        Err(report) if *report.current_context() != PlatformError::Down => {
            read_records(node, record_versions).await;
        }
        Err(_) => {}
    }
}

/// Returns the number of engines that serve the base of a share increase.
fn count_base_engines(active: &ActiveBundle, increase: &ShareIncrease) -> u32 {
    let model = active.model(&increase.candidate.model);
    let versions = model.into_iter().flat_map(|model| &model.versions);
    let base = versions
        .filter(|version| version.name == increase.base)
        .map(|version| version.targets.len() as u32);
    base.sum()
}

/// Estimates the requests per second for a model at all instances from the mean rate at this one.
fn estimate_rate(node: &Node, model: &ModelName) -> f64 {
    let requests = node.rollouts.shares.request_count(model);
    let seconds = (node.now_ms() as f64 / 1e3).max(1.0);
    let instances = listed_live_instances(node).len().max(1);
    requests as f64 / seconds * instances as f64
}
