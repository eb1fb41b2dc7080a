//! Keeper records: what lets another instance go on with an answer.

use std::{net::SocketAddr, sync::Arc};

use celerypond_answer::{Input, KeeperRecord, RecordExtension};
use celerypond_types::{Attempt, InstanceName, RequestKey};
use tokio::{sync::mpsc, time::Instant};

use crate::{gossip, node::Node};

/// Puts a record at the keepers of its request, and fences this driver if they hold a higher one.
pub fn put(node: &Arc<Node>, record: &KeeperRecord, inputs: &mpsc::Sender<Input>) {
    for keeper in gossip::record_keepers(node, &record.key) {
        let node = Arc::clone(node);
        let value = record.encode();
        let inputs = inputs.clone();
        let work = node.background_tasks.clone();
        work.spawn(async move {
            let sent = node.peers.store_record(keeper, value).await;
            let newer = sent.ok().flatten();
            let newer = newer.and_then(|value| KeeperRecord::decode(&value).ok());
            if let Some(newer) = newer {
                // An answer that is over needs no fence.
                let _ = inputs.send(Input::Fenced(newer)).await;
            }
        });
    }
}

/// Adds tokens to the record at the keepers.
pub fn extend(node: &Arc<Node>, extension: &RecordExtension) {
    let value = extension.encode();
    for keeper in gossip::record_keepers(node, &extension.key) {
        let node = Arc::clone(node);
        let value = value.clone();
        let work = node.background_tasks.clone();
        work.spawn(async move {
            // A keeper that misses a copy takes none of the later ones either.
            let _ = node.peers.append_to_record(keeper, value).await;
        });
    }
}

/// Removes a record from the keepers, unless it is of a later driver.
pub fn remove(node: &Arc<Node>, request: &RequestKey, attempt: Attempt) {
    for keeper in gossip::record_keepers(node, request) {
        let node = Arc::clone(node);
        let request = request.clone();
        let work = node.background_tasks.clone();
        work.spawn(async move {
            // A record that stays expires.
            let _ = node.peers.remove_record(keeper, request, attempt).await;
        });
    }
}

/// Tells the instance that drove a request before that another one drives it now.
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
        // An instance that can't be told meets the higher record at the keepers.
        let _ = node.peers.store_record(address, record).await;
    });
}

/// Asks the keepers of a request for its record and returns the highest.
pub async fn query(node: &Node, request: &RequestKey) -> Option<KeeperRecord> {
    let keepers = gossip::record_keepers(node, request);
    let queries = keepers
        .into_iter()
        .map(|keeper| query_keeper(node, keeper, request));
    let found = futures::future::join_all(queries).await;
    // This instance may be a keeper itself.
    let own = node.keeper().get(Instant::now(), request).cloned();
    let records = found.into_iter().chain([own]).flatten();
    records.reduce(KeeperRecord::merge)
}

/// Passes a record of another driver on to this instance's driver of the same request.
pub fn notify_driver(node: &Node, record: &KeeperRecord) {
    let Some(driver) = node.drivers().get(&record.key).cloned() else {
        return;
    };
    if record.instance != node.settings.instance {
        // A driver that can't take it now meets the higher record at the keepers.
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

/// Returns a driver's place in the table of drivers, given back when dropped.
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

/// A driver's place in the table of drivers.
pub struct DriverRegistration {
    node: Arc<Node>,
    request: RequestKey,
    inputs: mpsc::Sender<Input>,
}

impl Drop for DriverRegistration {
    fn drop(&mut self) {
        let mut drivers = self.node.drivers();
        let own = drivers.get(&self.request);
        // A later driver of the same request may stand there by now.
        if own.is_some_and(|own| own.same_channel(&self.inputs)) {
            drivers.remove(&self.request);
        }
    }
}
