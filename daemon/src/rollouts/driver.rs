//! Weighs evidence, and makes the next step of each record in the store.

use std::{collections::HashMap, sync::Arc, time::Duration};

use bytes::Bytes;
use celerypond_fleet::EntryKind;
use celerypond_platform::{PlatformError, Version};
use celerypond_rollout::{rendezvous_order, rollout_key, Rollout, ShareIncrease};
use celerypond_types::{ModelName, Revision};
use tokio::time::{self, Instant};

use super::{listed, lock};
use crate::{
    force::Force,
    gossip,
    node::{self, Node},
};

/// How often evidence is weighed and passed on.
const STEP: Duration = Duration::from_millis(250);
/// How long a step may be due before the next instance in line makes it.
const PATIENCE: Duration = Duration::from_secs(2);
/// The prefix of the records in the store.
const PREFIX: &str = "rollout/";
/// How often the records in the store are read by the instances that do so for all.
const READ_STEPS: u32 = 8;
/// How often each other instance reads them, for what news may have missed.
const SLOW_STEPS: u32 = 240;
/// How many instances read the records for all; the others hear of them from peers.
const READERS: usize = 7;
/// How old the list of instances may be for a decision that counts them.
const LIST_AGE: Duration = Duration::from_secs(10);

/// Weighs evidence and steps rollouts until the instance ends.
pub async fn run(node: Arc<Node>) {
    let mut tick = time::interval(STEP);
    let mut due_since: HashMap<Revision, Instant> = HashMap::new();
    let mut versions: HashMap<Revision, Version> = HashMap::new();
    let mut steps = 0;
    loop {
        tokio::select! {
            () = node.shutdown.cancelled() => return,
            _ = tick.tick() => {}
        }
        steps += 1;
        step(&node);
        let is_due = steps % READ_STEPS == 0 && is_reader(&node) || steps % SLOW_STEPS == 0;
        if is_due && node.active_bundle.load().is_some() {
            read_records(&node, &mut versions).await;
        }
        write_due(&node, &mut due_since, &mut versions).await;
    }
}

fn step(node: &Arc<Node>) {
    let Some(force) = node.active_bundle.load_full() else {
        return;
    };
    let live = listed(node);
    let (tripped, acting, is_talking) = {
        let mut controller = node.rollouts.controller();
        controller.set_live(&live);
        let engines = |change: &ShareIncrease| base_engines(&force, change);
        let tripped = controller.evaluate(engines, node::wall_ms());
        let open = lock(&node.rollouts.open);
        let acting = controller.update_applied_state(force.revision(), |model, version| {
            let key = (model.clone(), version.clone());
            open.get(&key).copied().unwrap_or(0)
        });
        let is_talking = force.headline.parts.values().any(|part| {
            let rollout = controller.rollout(part.origin);
            rollout.is_some_and(|rollout| rollout.versions.iter().any(|it| !it.phase.is_ended()))
        });
        node.rollouts.shares.publish(&controller, &force.bundle);
        (tripped, acting, is_talking || !controller.is_synced())
    };
    if node.rollouts.is_news(&acting) {
        let value = serde_json::to_vec(&acting).unwrap_or_default();
        gossip::set_entry(node, EntryKind::Acting, "", value);
    }
    if tripped {
        node.rollouts.spread(node);
    } else if is_talking {
        node.rollouts.exchange(node);
    }
}

/// Returns whether this instance is one of those that read the records for all.
fn is_reader(node: &Node) -> bool {
    let ranked = rendezvous_order("rollout reader", &listed(node));
    let mut readers = ranked.iter().take(READERS);
    readers.any(|name| *name == node.settings.instance)
}

/// Reads the records in the store.
async fn read_records(node: &Arc<Node>, versions: &mut HashMap<Revision, Version>) {
    let Ok(listing) = node.platform.list_all(PREFIX).await else {
        return;
    };
    *lock(&node.rollouts.read) = Some(Instant::now());
    let mut is_new = false;
    for object in listing.objects {
        if let Some(rollout) = celerypond_rollout::parse_json::<Rollout>(&object.value) {
            versions.insert(rollout.origin, object.version);
            is_new |= node.rollouts.controller().merge_rollout(rollout);
        }
    }
    node.rollouts.publish(node);
    if is_new {
        node.rollouts.spread(node);
    }
}

/// Writes the steps that are due, if this instance is the one whose turn it is.
async fn write_due(
    node: &Arc<Node>,
    since: &mut HashMap<Revision, Instant>,
    versions: &mut HashMap<Revision, Version>,
) {
    let Some(force) = node.active_bundle.load_full() else {
        return;
    };
    let due = {
        let controller = node.rollouts.controller();
        let rates = |model: &ModelName| rate(node, model);
        let is_listed = node
            .instance_list_read_at()
            .is_some_and(|at| at.elapsed() < LIST_AGE);
        controller.due_records(&force.bundle.models, rates, is_listed, node::wall_ms())
    };
    since.retain(|origin, _| due.iter().any(|rollout| rollout.origin == *origin));
    for rollout in due {
        let first = *since.entry(rollout.origin).or_insert_with(Instant::now);
        let live = listed(node);
        let turn = rendezvous_order(&format!("driver {}", rollout.origin), &live);
        let place = turn.iter().position(|name| *name == node.settings.instance);
        let place = place.unwrap_or(turn.len()) as u32;
        if first.elapsed() >= PATIENCE * place {
            write(node, rollout, versions).await;
        }
    }
}

async fn write(node: &Arc<Node>, rollout: Rollout, versions: &mut HashMap<Revision, Version>) {
    let key = rollout_key(rollout.origin);
    let value: Bytes = serde_json::to_vec(&rollout).unwrap_or_default().into();
    let result = match versions.get(&rollout.origin) {
        None => node.platform.create(&key, value).await,
        Some(version) => node.platform.update(&key, *version, value).await,
    };
    match result {
        Ok(version) => {
            versions.insert(rollout.origin, version);
            for record in &rollout.versions {
                let candidate = &record.change.candidate;
                let (model, version) = (&candidate.model, &candidate.version);
                log::info!("rollout of {model} {version}: {:?}", record.phase);
            }
            node.rollouts.controller().merge_rollout(rollout);
            node.rollouts.publish(node);
            node.rollouts.spread(node);
        }
        // Another instance made a step, or the reply was lost: the record tells.
        Err(report) if *report.current_context() != PlatformError::Down => {
            read_records(node, versions).await;
        }
        Err(_) => {}
    }
}

fn base_engines(force: &Force, change: &ShareIncrease) -> u32 {
    let model = force.model(&change.candidate.model);
    let versions = model.into_iter().flat_map(|model| &model.versions);
    let base = versions
        .filter(|version| version.name == change.base)
        .map(|version| version.targets.len() as u32);
    base.sum()
}

/// Estimates the requests a second for a model over all instances from those of this one.
fn rate(node: &Node, model: &ModelName) -> f64 {
    let asked = node.rollouts.shares.asked(model);
    let seconds = (node.now_ms() as f64 / 1e3).max(1.0);
    let instances = listed(node).len().max(1);
    asked as f64 / seconds * instances as f64
}
