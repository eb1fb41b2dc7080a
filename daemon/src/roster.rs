//! Reads the platform's list of instances and targets at intervals.

use std::{sync::Arc, time::Duration};

use rand::Rng;
use tokio::time;

use crate::node::Node;

/// The minimum of the mean interval between two reads by an instance, in milliseconds.
const MIN_MEAN_INTERVAL_MS: u64 = 1_000;
/// The maximum mean rate of reads of all instances together, so that a growing fleet does not
/// overload the platform.
const FLEET_READS_PER_S: u64 = 50;

/// Reads the list until the instance shuts down.
pub async fn run(node: Arc<Node>) {
    let mut rng = node.rng();
    loop {
        if let Ok(list) = node.platform.instances().await {
            node.set_instance_list(list);
        }
        // Jitter keeps the instances from reading at the same time.
        let instances = node.instance_list.load().instances.len() as u64;
        let mean_ms = MIN_MEAN_INTERVAL_MS.max(instances * 1_000 / FLEET_READS_PER_S);
        let pause = Duration::from_millis(rng.random_range(mean_ms / 2..mean_ms * 3 / 2));
        tokio::select! {
            () = node.shutdown.cancelled() => return,
            () = time::sleep(pause) => {}
        }
    }
}
