//! Fetches new bundles from the store and from peers, and brings them into force.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use celerypond_bundle::Bundle;
use celerypond_platform::Version;
use celerypond_rollout::{
    bundle_key, is_watcher, BundleHeader, BundleTracker, CurrentBundle, Source, StoreCall,
    StoreReply, Submission, CURRENT_KEY,
};
use celerypond_types::{Digest, InstanceName, Revision};
use rand::{rngs::SmallRng, seq::IndexedRandom, Rng};
use serde::{Deserialize, Serialize};
use tokio::time::{self, Instant};

use crate::{
    active_bundle::ActiveBundle,
    gossip::{self, LiveInstance},
    node::Node,
    store,
};

/// The time after which a watch of the store returns without a change.
const WATCH_TIMEOUT: Duration = Duration::from_secs(10);
/// The interval at which an instance checks for a newer bundle.
const STEP_INTERVAL: Duration = Duration::from_millis(100);
/// The minimum delay of a watcher after a failed watch, in milliseconds.
const MIN_RETRY_DELAY_MS: u64 = 300;

/// The bundle in force at an instance, as it is sent to a peer.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct BundleMessage {
    /// The header: the revision, the digest and what changed.
    #[serde(rename = "headline")]
    pub header: BundleHeader,
    /// The content of the bundle.
    pub bundle: Bundle,
}

impl BundleMessage {
    /// Encodes the message.
    pub fn encode(&self) -> Vec<u8> {
        // Serialization cannot fail, since the types have only text keys.
        serde_json::to_vec(self).unwrap_or_default()
    }
}

/// Brings bundles into force until the instance shuts down.
pub async fn run(node: Arc<Node>) {
    let mut rng = node.rng();
    query_all(&node).await;
    let mut step = time::interval(STEP_INTERVAL);
    loop {
        tokio::select! {
            () = node.shutdown.cancelled() => return,
            () = node.bundle_changed.notified() => {}
            _ = step.tick() => {}
        }
        let is_due = node.bundle_tracker().poll_due(Instant::now(), &mut rng);
        if is_due || node.active_bundle.load().is_none() {
            fetch_from_store(&node).await;
        }
        let known_revision = node.gossip().facts().revision();
        if known_revision > node.bundle_tracker().revision() {
            fetch_newer(&node, known_revision, &mut rng).await;
        }
        activate_newest(&node);
    }
}

/// Watches the store while this instance is one of the watchers of its data centre.
pub async fn watch_store(node: Arc<Node>) {
    let mut rng = node.rng();
    let mut since = Version(0);
    loop {
        let delay =
            Duration::from_millis(rng.random_range(MIN_RETRY_DELAY_MS..2 * MIN_RETRY_DELAY_MS));
        let is_watcher = is_watching_instance(&node);
        let watched = async {
            if !is_watcher {
                time::sleep(WATCH_TIMEOUT / 10).await;
                return Some(since);
            }
            let changes = node
                .platform
                .watch(CURRENT_KEY, since, WATCH_TIMEOUT)
                .await
                .ok()?;
            if !changes.changes.is_empty() {
                fetch_from_store(&node).await;
            }
            Some(changes.revision)
        };
        let watched = tokio::select! {
            () = node.shutdown.cancelled() => return,
            watched = watched => watched,
        };
        match watched {
            Some(revision) => since = revision,
            // Jitter keeps watchers from calling a recovered store at the same time.
            None => time::sleep(delay).await,
        }
    }
}

/// Reads the current bundle of the store and brings it into force if it is newer.
pub async fn fetch_from_store(node: &Arc<Node>) {
    let call = StoreCall::read(CURRENT_KEY);
    let current: CurrentBundle = match store::call(&node.platform, &node.metrics, &call).await {
        StoreReply::Found { value, .. } => match celerypond_rollout::parse_json(&value) {
            Some(current) => current,
            None => return,
        },
        StoreReply::Missing => return node.bundle_tracker().mark_answered(Source::Store),
        _ => return,
    };
    let header = current.header();
    let digest = header.digest;
    let is_new = node.bundle_tracker().note_header(header, Source::Store);
    if is_new || node.bundle_tracker().revision() < current.revision {
        let Some(bundle) = read_bundle(node, digest).await else {
            return;
        };
        accept_bundle(node, bundle);
    }
    node.bundle_tracker().mark_answered(Source::Store);
    activate_newest(node);
}

async fn read_bundle(node: &Node, digest: Digest) -> Option<Bundle> {
    let call = StoreCall::read(bundle_key(digest));
    match store::call(&node.platform, &node.metrics, &call).await {
        StoreReply::Found { value, .. } => {
            let submission: Submission = celerypond_rollout::parse_json(&value)?;
            Some(submission.bundle)
        }
        _ => None,
    }
}

/// Fetches the bundle from all live peers and the store, at the start of the instance.
async fn query_all(node: &Arc<Node>) {
    let peers = live_peers(node);
    let fetches = peers
        .iter()
        .map(|(name, address)| fetch_from_peer(node, name, *address, Revision(0)));
    futures::future::join_all(fetches).await;
    fetch_from_store(node).await;
    activate_newest(node);
}

/// Fetches a bundle of at least this revision from a random peer, and from the store if that fails.
async fn fetch_newer(node: &Arc<Node>, revision: Revision, rng: &mut SmallRng) {
    let peers = live_peers(node);
    if let Some((name, address)) = peers.choose(rng) {
        fetch_from_peer(node, name, *address, revision).await;
    }
    if node.bundle_tracker().revision() < revision {
        fetch_from_store(node).await;
    }
}

async fn fetch_from_peer(
    node: &Arc<Node>,
    name: &InstanceName,
    address: SocketAddr,
    min_revision: Revision,
) {
    let source = Source::Peer(name.clone());
    let Ok(response) = node.peers.fetch_bundle(address, min_revision).await else {
        return;
    };
    let message =
        response.and_then(|message| serde_json::from_slice::<BundleMessage>(&message).ok());
    if let Some(message) = message {
        let is_new = node
            .bundle_tracker()
            .note_header(message.header, source.clone());
        if is_new {
            accept_bundle(node, message.bundle);
        }
    }
    // Only without a minimum revision does a peer always answer with the bundle that it has in
    // force.
    if min_revision == Revision(0) {
        node.bundle_tracker().mark_answered(source);
    }
}

fn accept_bundle(node: &Node, bundle: Bundle) {
    let result = node.bundle_tracker().accept_bundle(bundle);
    if let Err(error) = result {
        log::warn!("rejected a bundle: {error}");
    }
}

/// Brings the newest known bundle into force.
///
/// A starting instance waits until the tracker has got enough answers from peers and the store.
fn activate_newest(node: &Arc<Node>) {
    let peers: Vec<InstanceName> = live_peers(node).into_iter().map(|(name, _)| name).collect();
    let newest = {
        let tracker: &BundleTracker = &node.bundle_tracker();
        // Once an instance has a bundle in force, every later one may replace it.
        let is_ready = node.active_bundle.load().is_some() || tracker.is_ready(&peers);
        tracker.active().filter(|_| is_ready).cloned()
    };
    let Some((header, bundle)) = newest else {
        return;
    };
    let revision = header.revision;
    if node.activate_bundle(ActiveBundle::new(header, bundle)) {
        node.gossip().raise_acting_revision(revision);
        gossip::process_events(node);
    }
}

fn live_peers(node: &Node) -> Vec<(InstanceName, SocketAddr)> {
    let live = gossip::live_instances(node);
    live.into_iter()
        .filter_map(|instance| Some((instance.name, instance.address?)))
        .collect()
}

fn is_watching_instance(node: &Node) -> bool {
    let live: Vec<_> = gossip::live_instances(node)
        .into_iter()
        .map(
            |LiveInstance {
                 name, data_centre, ..
             }| (name, data_centre),
        )
        .collect();
    is_watcher(&node.settings.instance, &node.settings.data_centre, &live)
}
