//! Reads the platform's list of instances and targets.

use std::{sync::Arc, time::Duration};

use rand::Rng;
use tokio::time;

use crate::node::Node;

/// The time between two reads.
const EVERY_MS: u64 = 1_000;

/// Reads the list until the instance ends.
pub async fn run(node: Arc<Node>) {
    let mut rng = node.rng();
    loop {
        if let Ok(list) = node.platform.instances().await {
            node.take_list(list);
        }
        // Jitter keeps the instances from asking in step.
        let pause = Duration::from_millis(rng.random_range(EVERY_MS / 2..EVERY_MS * 3 / 2));
        tokio::select! {
            () = node.ending.cancelled() => return,
            () = time::sleep(pause) => {}
        }
    }
}
