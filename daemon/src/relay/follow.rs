//! Targets of the store, from other instances.

use std::{
    net::SocketAddr,
    sync::{atomic::Ordering::Relaxed, Arc},
    time::Duration,
};

use celerypond_fleet::Origin;
use celerypond_relay::{decode, TargetUpdate};
use rand::seq::SliceRandom as _;
use tokio::time::{timeout, Instant};

use super::{members, site::Site};

/// The time between two queries of peers while the store does not answer.
const QUERY_INTERVAL: Duration = Duration::from_millis(300);
/// How long the store may take to answer an instance that starts before peers are queried as well.
const STORE_START: Duration = Duration::from_millis(150);
/// How long a peer may take to send what changed.
const CHANGES_TIMEOUT: Duration = Duration::from_millis(400);
/// How long a peer may take to send all targets, a megabyte in a large fleet.
const LIST_TIMEOUT: Duration = Duration::from_millis(2_500);
/// How many queries follow one notice at most.
const MAX_QUERIES: usize = 4;

/// Queries peers for targets until the instance ends, while none are known and the store does not answer.
pub(super) async fn run(site: Arc<Site>) {
    let begun = Instant::now() + STORE_START;
    let mut turn = tokio::time::interval_at(begun, QUERY_INTERVAL);
    loop {
        tokio::select! {
            () = site.ending.cancelled() => return,
            _ = turn.tick() => {}
        }
        if !site.known.has_targets() && !store_answers(&site) {
            query_peers(&site).await;
        }
    }
}

/// Returns whether the store answers this instance, so that its list is under way.
///
/// The failure: a large fleet starts at once. If each instance queries peers beside the store, their lists of targets
/// take the links from the store's.
fn store_answers(site: &Site) -> bool {
    let wait = site.settings.load().bounds.watch_wait();
    site.duty.store_answers_within(wait + STORE_START)
}

async fn query_peers(site: &Site) {
    for peer in peers(site) {
        if query_changes(site, peer, 0, LIST_TIMEOUT).await {
            return;
        }
    }
}

/// Queries the instance with the newest targets, if these are newer than what is known here.
pub(super) fn request_targets(site: &Arc<Site>) {
    if site.is_asking.swap(true, Relaxed) {
        return;
    }
    site.tasks.spawn(sync_targets(Arc::clone(site)));
}

async fn sync_targets(site: Arc<Site>) {
    for _ in 0..MAX_QUERIES {
        let revision = site.known.revision();
        let newer = site.duty.watchers().newer(revision, Instant::now());
        let Some(notice) = newer else {
            break;
        };
        let is_sent = match address_of(&site, notice.origin) {
            Some(peer) => query_changes(&site, peer, revision, CHANGES_TIMEOUT).await,
            None => false,
        };
        if !is_sent {
            site.duty.watchers().forget(notice.origin);
        }
    }
    site.is_asking.store(false, Relaxed);
}

fn address_of(site: &Site, origin: u64) -> Option<SocketAddr> {
    let gossip = site.gossip();
    let member = gossip.membership().by_origin(Origin(origin))?;
    member.address.parse().ok()
}

/// Queries a peer for the changes of targets since a revision; returns whether it sent them.
async fn query_changes(site: &Site, peer: SocketAddr, since: u64, limit: Duration) -> bool {
    let begun = Instant::now();
    let sent = timeout(limit, site.peers.changes(peer, since)).await;
    let Some(bytes) = sent.ok().and_then(Result::ok).flatten() else {
        log::info!(peer:% = peer, since; "a peer sent no targets");
        return false;
    };
    match decode::<TargetUpdate>(&bytes) {
        Ok(news) => site.known.take_news(news, begun),
        Err(error) => {
            log::warn!(peer:% = peer, error:% = error; "a peer's targets cannot be read");
            return false;
        }
    }
    true
}

/// Returns where other instances listen: those that seem to live, in random order, and then the seeds.
pub(super) fn peers(site: &Site) -> Vec<SocketAddr> {
    let settings = site.settings.load();
    let own = members::address(&settings);
    let mut peers = site.fleet.load().others.clone();
    peers.shuffle(&mut rand::rng());
    for seed in &settings.seeds {
        let seed = SocketAddr::new(seed.0, own.port());
        if seed != own && !peers.contains(&seed) {
            peers.push(seed);
        }
    }
    peers
}
