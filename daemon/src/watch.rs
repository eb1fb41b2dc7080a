//! Brings bundles into force as the store names them.

use std::{sync::Arc, time::Duration};

use celerypond_platform::Version;
use celerypond_rollout::{bundle_key, Current, StoreCall, StoreReply, Submission, CURRENT_KEY};
use rand::Rng;
use tokio::time;

use crate::{force::Force, node::Node, store};

/// How long one watch waits for a change.
const WAIT: Duration = Duration::from_secs(10);
/// The least pause after a failed call.
const PAUSE_MS: u64 = 200;

/// Watches the store until the instance ends.
pub async fn run(node: Arc<Node>) {
    let mut rng = node.rng();
    let mut since = Version(0);
    while !node.ending.is_cancelled() {
        let watched = tokio::select! {
            () = node.ending.cancelled() => return,
            () = node.look.notified() => Some(since),
            watched = watch(&node, since) => watched,
        };
        let brought = match watched {
            Some(revision) => {
                since = revision;
                bring_current(&node).await
            }
            None => false,
        };
        if !brought {
            // Jitter keeps instances from coming back to a recovered store in step.
            let pause = Duration::from_millis(rng.random_range(PAUSE_MS..2 * PAUSE_MS));
            time::sleep(pause).await;
        }
    }
}

async fn watch(node: &Node, since: Version) -> Option<Version> {
    let changes = node.platform.watch(CURRENT_KEY, since, WAIT).await.ok()?;
    Some(changes.revision)
}

/// Brings what the store names into force; returns whether this instance now acts on it.
pub async fn bring_current(node: &Node) -> bool {
    let Some(current) = read::<Current>(node, StoreCall::read(CURRENT_KEY)).await else {
        return false;
    };
    let held = node.force.load().as_ref().map(|force| force.revision);
    if held.is_some_and(|held| held >= current.revision) {
        return true;
    }
    let call = StoreCall::read(bundle_key(current.digest));
    let Some(submission) = read::<Submission>(node, call).await else {
        return false;
    };
    let force = Force::new(current.revision, Arc::new(submission.bundle));
    if force.digest != current.digest {
        // Content other than what was signed off must never act.
        log::error!(
            "the stored bundle does not have the digest {}",
            current.digest
        );
        return false;
    }
    node.bring(force);
    true
}

async fn read<T: serde::de::DeserializeOwned>(node: &Node, call: StoreCall) -> Option<T> {
    match store::call(&node.platform, &node.metrics, &call).await {
        StoreReply::Found { value, .. } => celerypond_rollout::parse(&value),
        _ => None,
    }
}
