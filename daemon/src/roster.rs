//! Reads the platform's list of instances and targets.

use std::{sync::Arc, time::Duration};

use rand::Rng;
use tokio::time;

use crate::node::Node;

/// The least mean time between two reads of an instance.
const EVERY_MS: u64 = 1_000;
/// The reads a second of all instances together; a fleet that grows must not outgrow the platform.
const FLEET_READS: u64 = 50;

/// Reads the list until the instance ends.
pub async fn run(node: Arc<Node>) {
    let mut rng = node.rng();
    loop {
        if let Ok(list) = node.platform.instances().await {
            node.set_instance_list(list);
        }
        // Jitter keeps the instances from asking in step.
        let instances = node.instance_list.load().instances.len() as u64;
        let mean = EVERY_MS.max(instances * 1_000 / FLEET_READS);
        let pause = Duration::from_millis(rng.random_range(mean / 2..mean * 3 / 2));
        tokio::select! {
            () = node.shutdown.cancelled() => return,
            () = time::sleep(pause) => {}
        }
    }
}
