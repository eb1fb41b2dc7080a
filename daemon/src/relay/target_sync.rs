//! Fetches the store's targets from other instances.

use std::{
    net::SocketAddr,
    sync::{atomic::Ordering::Relaxed, Arc},
    time::Duration,
};

use celerypond_fleet::Origin;
use celerypond_relay::{decode, TargetUpdate};
use rand::seq::SliceRandom as _;
use tokio::time::{timeout, Instant};

use super::{members, state::RelayState};

/// The interval between two queries of peers while the store does not answer.
const QUERY_INTERVAL: Duration = Duration::from_millis(300);
/// How long the store may take to answer an instance that starts before peers are queried as well.
const MAX_STORE_DELAY: Duration = Duration::from_millis(150);
/// The timeout of a transfer of changes from a peer.
const CHANGES_TIMEOUT: Duration = Duration::from_millis(400);
/// The timeout of a transfer of all targets from a peer, a megabyte in a large fleet.
const LIST_TIMEOUT: Duration = Duration::from_millis(2_500);
/// The maximum number of queries that follow one notice.
const MAX_QUERIES: usize = 4;

/// Queries peers for targets until the instance ends, while none are known and the store does not answer.
pub(super) async fn run(state: Arc<RelayState>) {
    let started = Instant::now() + MAX_STORE_DELAY;
    let mut interval = tokio::time::interval_at(started, QUERY_INTERVAL);
    loop {
        tokio::select! {
            () = state.ending.cancelled() => return,
            _ = interval.tick() => {}
        }
        if !state.view.has_targets() && !is_store_answering(&state) {
            query_peers(&state).await;
        }
    }
}

/// Returns whether the store answers this instance, so that its list is being transferred.
///
/// When a large fleet starts at once and each instance queries peers besides the store, the peers'
/// lists of targets take up the links that the store's list needs.
fn is_store_answering(state: &RelayState) -> bool {
    let wait = state.settings.load().bounds.watch_wait();
    state
        .watch_duty
        .store_answers_within(wait + MAX_STORE_DELAY)
}

async fn query_peers(state: &RelayState) {
    for peer in peers(state) {
        if query_changes(state, peer, 0, LIST_TIMEOUT).await {
            return;
        }
    }
}

/// Starts to fetch the changes of targets from the instance with the newest ones, if these are
/// newer than those known here.
pub(super) fn request_sync(state: &Arc<RelayState>) {
    if state.is_syncing_targets.swap(true, Relaxed) {
        return;
    }
    state.tasks.spawn(sync(Arc::clone(state)));
}

async fn sync(state: Arc<RelayState>) {
    for _ in 0..MAX_QUERIES {
        let revision = state.view.targets_revision();
        let newer = state.watch_duty.watchers().newer(revision, Instant::now());
        let Some(notice) = newer else {
            break;
        };
        let is_sent = match peer_address(&state, notice.origin) {
            Some(peer) => query_changes(&state, peer, revision, CHANGES_TIMEOUT).await,
            None => false,
        };
        if !is_sent {
            state.watch_duty.watchers().forget(notice.origin);
        }
    }
    state.is_syncing_targets.store(false, Relaxed);
}

fn peer_address(state: &RelayState, origin: u64) -> Option<SocketAddr> {
    let gossip = state.gossip();
    let member = gossip.membership().by_origin(Origin(origin))?;
    member.address.parse().ok()
}

/// Queries a peer for the changes of targets since a revision; returns whether it sent them.
async fn query_changes(state: &RelayState, peer: SocketAddr, since: u64, limit: Duration) -> bool {
    let started = Instant::now();
    let response = timeout(limit, state.peers.fetch_changes(peer, since)).await;
    let Some(bytes) = response.ok().and_then(Result::ok).flatten() else {
        log::info!(peer:% = peer, since; "peer sent no changes of targets");
        return false;
    };
    match decode::<TargetUpdate>(&bytes) {
        Ok(update) => state.view.apply_update(update, started),
        Err(error) => {
            log::warn!(peer:% = peer, error:% = error; "cannot decode a peer's targets");
            return false;
        }
    }
    true
}

/// Returns the addresses of other instances: those that seem to be live, in random order, and then
/// the seeds.
pub(super) fn peers(state: &RelayState) -> Vec<SocketAddr> {
    let settings = state.settings.load();
    let own = members::address(&settings);
    let mut peers = state.fleet.load().live_peers.clone();
    peers.shuffle(&mut rand::rng());
    for seed in &settings.seeds {
        let seed = SocketAddr::new(seed.0, own.port());
        if seed != own && !peers.contains(&seed) {
            peers.push(seed);
        }
    }
    peers
}
