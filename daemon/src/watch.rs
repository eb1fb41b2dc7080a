//! Brings bundles into force, as the store and other instances name them.

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
    force::Force,
    gossip::{self, LiveInstance},
    node::Node,
    store,
};

/// How long one watch waits for a change.
const WAIT: Duration = Duration::from_secs(10);
/// How often an instance looks at what it has heard.
const STEP: Duration = Duration::from_millis(100);
/// The least pause of a watcher after a failed call.
const PAUSE_MS: u64 = 300;

/// What an instance tells a peer of the bundle that it has in force.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Told {
    /// The revision, digest and what it changed.
    pub headline: BundleHeader,
    /// The content.
    pub bundle: Bundle,
}

impl Told {
    /// Encodes it for a peer.
    pub fn encode(&self) -> Vec<u8> {
        // The types have text keys only, so they always have a JSON form.
        serde_json::to_vec(self).unwrap_or_default()
    }
}

/// Brings bundles into force until the instance ends.
pub async fn run(node: Arc<Node>) {
    let mut rng = node.rng();
    ask_all(&node).await;
    let mut step = time::interval(STEP);
    loop {
        tokio::select! {
            () = node.shutdown.cancelled() => return,
            () = node.bundle_changed.notified() => {}
            _ = step.tick() => {}
        }
        let is_due = node.bundle_tracker().poll_due(Instant::now(), &mut rng);
        if is_due || node.active_bundle.load().is_none() {
            ask_store(&node).await;
        }
        let heard = node.gossip().facts().revision();
        if heard > node.bundle_tracker().revision() {
            catch_up(&node, heard, &mut rng).await;
        }
        settle(&node);
    }
}

/// Holds a watch on the store while this instance is one of the watchers of its data centre.
pub async fn hold(node: Arc<Node>) {
    let mut rng = node.rng();
    let mut since = Version(0);
    loop {
        let pause = Duration::from_millis(rng.random_range(PAUSE_MS..2 * PAUSE_MS));
        let is_watcher = is_watcher_here(&node);
        let watched = async {
            if !is_watcher {
                time::sleep(WAIT / 10).await;
                return Some(since);
            }
            let changes = node.platform.watch(CURRENT_KEY, since, WAIT).await.ok()?;
            if !changes.changes.is_empty() {
                ask_store(&node).await;
            }
            Some(changes.revision)
        };
        let watched = tokio::select! {
            () = node.shutdown.cancelled() => return,
            watched = watched => watched,
        };
        match watched {
            Some(revision) => since = revision,
            // Jitter keeps watchers from coming back to a recovered store in step.
            None => time::sleep(pause).await,
        }
    }
}

/// Reads what the store names and brings it into force.
pub async fn ask_store(node: &Arc<Node>) {
    let call = StoreCall::read(CURRENT_KEY);
    let current: CurrentBundle = match store::call(&node.platform, &node.metrics, &call).await {
        StoreReply::Found { value, .. } => match celerypond_rollout::parse_json(&value) {
            Some(current) => current,
            None => return,
        },
        StoreReply::Missing => return node.bundle_tracker().mark_answered(Source::Store),
        _ => return,
    };
    let headline = current.header();
    let digest = headline.digest;
    let is_news = node.bundle_tracker().note_header(headline, Source::Store);
    if is_news || node.bundle_tracker().revision() < current.revision {
        let Some(bundle) = read_bundle(node, digest).await else {
            return;
        };
        take(node, bundle);
    }
    node.bundle_tracker().mark_answered(Source::Store);
    settle(node);
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

/// Asks every instance that answers, and the store, as a starting instance does.
async fn ask_all(node: &Arc<Node>) {
    let peers = peers(node);
    let asks = peers
        .iter()
        .map(|(name, address)| ask_peer(node, name, *address, Revision(0)));
    futures::future::join_all(asks).await;
    ask_store(node).await;
    settle(node);
}

/// Fetches a bundle that others have, from one of them or from the store in turn.
async fn catch_up(node: &Arc<Node>, revision: Revision, rng: &mut SmallRng) {
    let peers = peers(node);
    if let Some((name, address)) = peers.choose(rng) {
        ask_peer(node, name, *address, revision).await;
    }
    if node.bundle_tracker().revision() < revision {
        ask_store(node).await;
    }
}

async fn ask_peer(node: &Arc<Node>, name: &InstanceName, address: SocketAddr, least: Revision) {
    let source = Source::Peer(name.clone());
    let Ok(answer) = node.peers.fetch_bundle(address, least).await else {
        return;
    };
    let told = answer.and_then(|told| serde_json::from_slice::<Told>(&told).ok());
    if let Some(told) = told {
        let is_news = node
            .bundle_tracker()
            .note_header(told.headline, source.clone());
        if is_news {
            take(node, told.bundle);
        }
    }
    if least == Revision(0) {
        node.bundle_tracker().mark_answered(source);
    }
}

fn take(node: &Node, bundle: Bundle) {
    let result = node.bundle_tracker().accept_bundle(bundle);
    if let Err(error) = result {
        log::warn!("a bundle was not taken: {error}");
    }
}

/// Lets requests see the bundle in force, once a starting instance knows enough.
fn settle(node: &Arc<Node>) {
    let peers: Vec<InstanceName> = peers(node).into_iter().map(|(name, _)| name).collect();
    let held = {
        let tracker: &BundleTracker = &node.bundle_tracker();
        // An instance that serves already only goes on to later revisions.
        let is_ready = node.active_bundle.load().is_some() || tracker.is_ready(&peers);
        tracker.active().filter(|_| is_ready).cloned()
    };
    let Some((headline, bundle)) = held else {
        return;
    };
    let revision = headline.revision;
    if node.activate_bundle(Force::new(headline, bundle)) {
        node.gossip().raise_acting_revision(revision);
        gossip::process_events(node);
    }
}

fn peers(node: &Node) -> Vec<(InstanceName, SocketAddr)> {
    let live = gossip::live_instances(node);
    live.into_iter()
        .filter_map(|instance| Some((instance.name, instance.address?)))
        .collect()
}

fn is_watcher_here(node: &Node) -> bool {
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
