//! Keeper records, with which another instance can take over an answer.

use std::{net::SocketAddr, sync::Arc};

use celerypond_answer::{Input, KeeperRecord, RecordExtension};
use celerypond_types::{Attempt, InstanceName, RequestKey};
use tokio::{sync::mpsc, time::Instant};

use crate::{gossip, node::Node};

/// Stores a record at the keepers of its request; if one has a higher record, the driver that owns
/// `inputs` is fenced.
pub fn put(node: &Arc<Node>, record: &KeeperRecord, inputs: &mpsc::Sender<Input>) {
    for keeper in gossip::record_keepers(node, &record.key) {
        let node = Arc::clone(node);
        let value = record.encode();
        let inputs = inputs.clone();
        let work = node.background_tasks.clone();
        work.spawn(async move {
            let sent = node.peers.store_record(keeper, value).await;
            let higher = sent.ok().flatten();
            let higher = higher.and_then(|value| KeeperRecord::decode(&value).ok());
            if let Some(higher) = higher {
                // Fails if the answer has ended, which then needs no fencing.
                let _ = inputs.send(Input::Fenced(higher)).await;
            }
        });
    }
}

/// Appends tokens to the record at the keepers.
pub fn extend(node: &Arc<Node>, extension: &RecordExtension) {
    let value = extension.encode();
    for keeper in gossip::record_keepers(node, &extension.key) {
        let node = Arc::clone(node);
        let value = value.clone();
        let work = node.background_tasks.clone();
        work.spawn(async move {
            // A keeper that misses an extension rejects all later ones, so its record has no gap.
            let _ = node.peers.append_to_record(keeper, value).await;
        });
    }
}

/// Removes a record from the keepers, unless it belongs to a later attempt.
pub fn remove(node: &Arc<Node>, request: &RequestKey, attempt: Attempt) {
    for keeper in gossip::record_keepers(node, request) {
        let node = Arc::clone(node);
        let request = request.clone();
        let work = node.background_tasks.clone();
        work.spawn(async move {
            // If a record is not removed, it expires.
            let _ = node.peers.remove_record(keeper, request, attempt).await;
        });
    }
}

/// Sends the record to the previous driver's instance, so that this driver stops.
pub fn notify_instance(node: &Arc<Node>, instance: &InstanceName, record: &KeeperRecord) {
    let peers = gossip::live_instances(node);
    let address = peers.iter().find(|peer| peer.name == *instance);
    let Some(address) = address.and_then(|peer| peer.address) else {
        return;
    };
    let node = Arc::clone(node);
    let record = record.encode();
    let work = node.background_tasks.clone();
    work.spawn(async move {
        // If the instance cannot be reached, its driver is fenced by the keepers.
        let _ = node.peers.store_record(address, record).await;
    });
}

/// Queries the keepers of a request for its record and returns the highest.
pub async fn query(node: &Node, request: &RequestKey) -> Option<KeeperRecord> {
    let keepers = gossip::record_keepers(node, request);
    let queries = keepers
        .into_iter()
        .map(|keeper| query_keeper(node, keeper, request));
    let found = futures::future::join_all(queries).await;
    // This instance may itself be a keeper.
    let own = node.keeper().get(Instant::now(), request).cloned();
    let records = found.into_iter().chain([own]).flatten();
    records.reduce(KeeperRecord::merge)
}

/// Fences this instance's driver of a request if the record belongs to another instance.
pub fn notify_driver(node: &Node, record: &KeeperRecord) {
    let Some(driver) = node.drivers().get(&record.key).cloned() else {
        return;
    };
    if record.instance != node.settings.instance {
        // If the driver's channel is full, it is fenced by the keepers.
        let _ = driver.try_send(Input::Fenced(record.clone()));
    }
}

async fn query_keeper(
    node: &Node,
    keeper: SocketAddr,
    request: &RequestKey,
) -> Option<KeeperRecord> {
    let record = node
        .peers
        .fetch_record(keeper, request.clone())
        .await
        .ok()??;
    KeeperRecord::decode(&record).ok()
}

/// Registers the driver of a request, until the returned value is dropped.
pub fn register_driver(
    node: &Arc<Node>,
    request: RequestKey,
    inputs: mpsc::Sender<Input>,
) -> DriverRegistration {
    node.drivers().insert(request.clone(), inputs.clone());
    DriverRegistration {
        node: Arc::clone(node),
        request,
        inputs,
    }
}

/// The entry of a driver in the instance's table of drivers, removed when dropped.
pub struct DriverRegistration {
    node: Arc<Node>,
    request: RequestKey,
    inputs: mpsc::Sender<Input>,
}

impl Drop for DriverRegistration {
    fn drop(&mut self) {
        let mut drivers = self.node.drivers();
        let own = drivers.get(&self.request);
        // A later driver of the same request may have replaced the entry.
        if own.is_some_and(|own| own.same_channel(&self.inputs)) {
            drivers.remove(&self.request);
        }
    }
}
