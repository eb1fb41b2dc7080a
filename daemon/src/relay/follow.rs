//! What other instances know of the targets in the store.

use std::{
    net::SocketAddr,
    sync::{atomic::Ordering::Relaxed, Arc},
    time::Duration,
};

use celerypond_fleet::Origin;
use celerypond_relay::{unpack, News};
use rand::seq::SliceRandom as _;
use tokio::time::{timeout, Instant};

use super::{members, site::Site};

/// The time between two questions to peers for what the store does not tell.
const ASK_PEERS: Duration = Duration::from_millis(300);
/// How long the store may take to tell an instance that starts anything before peers are asked as well.
const STORE_START: Duration = Duration::from_millis(150);
/// How long a peer may take to tell what changed.
const ANSWER: Duration = Duration::from_millis(400);
/// How long a peer may take to tell all targets; 11,000 of them are a megabyte.
const ANSWER_WHOLE: Duration = Duration::from_millis(2_500);
/// How often peers are asked in a row before the next word is waited for.
const ASK_MOST: usize = 4;

/// Asks for targets until the instance ends, while none are known and the store does not tell them.
pub(super) async fn run(site: Arc<Site>) {
    let begun = Instant::now() + STORE_START;
    let mut turn = tokio::time::interval_at(begun, ASK_PEERS);
    loop {
        tokio::select! {
            () = site.ending.cancelled() => return,
            _ = turn.tick() => {}
        }
        if !site.known.has_targets() && !store_answers(&site) {
            ask_for_targets(&site).await;
        }
    }
}

/// Returns whether the store answers this instance, so that what it does not know yet is under way.
///
/// The failure: a large fleet starts at once. If each asks peers beside the store, the lists of targets that
/// they send each other take their links from the store's.
fn store_answers(site: &Site) -> bool {
    let wait = site.settings.load().bounds.watch_wait();
    site.duty.store_answers_within(wait + STORE_START)
}

async fn ask_for_targets(site: &Site) {
    let mut peers = peers(site);
    peers.shuffle(&mut rand::rng());
    for peer in peers {
        if ask_changes(site, peer, 0, ANSWER_WHOLE).await {
            return;
        }
    }
}

/// Asks for the targets that another instance knows and this one does not, if there is such.
pub(super) fn ask_for_news(site: &Arc<Site>) {
    if site.is_asking.swap(true, Relaxed) {
        return;
    }
    site.tasks.spawn(ask_ahead(Arc::clone(site)));
}

async fn ask_ahead(site: Arc<Site>) {
    for _ in 0..ASK_MOST {
        let revision = site.known.revision();
        let ahead = site.duty.watchers().ahead(revision, Instant::now());
        let Some(word) = ahead else {
            break;
        };
        let is_told = match address_of(&site, word.origin) {
            Some(peer) => ask_changes(&site, peer, revision, ANSWER).await,
            None => false,
        };
        if !is_told {
            site.duty.watchers().forget(word.origin);
        }
    }
    site.is_asking.store(false, Relaxed);
}

fn address_of(site: &Site, origin: u64) -> Option<SocketAddr> {
    let gossip = site.gossip();
    let member = gossip.roster().run(Origin(origin))?;
    member.address.parse().ok()
}

/// Asks a peer for the changes of targets since a revision; returns whether it told them.
async fn ask_changes(site: &Site, peer: SocketAddr, since: u64, limit: Duration) -> bool {
    let told = timeout(limit, site.peers.changes(peer, since)).await;
    let Some(bytes) = told.ok().and_then(Result::ok).flatten() else {
        log::info!(peer:% = peer, since; "a peer told no targets");
        return false;
    };
    match unpack::<News>(&bytes) {
        Ok(news) => site.known.take_news(news),
        Err(error) => {
            log::warn!(peer:% = peer, error:% = error; "a peer's targets cannot be read");
            return false;
        }
    }
    true
}

/// Returns where other instances listen: those that seem to live, and the seeds.
pub(super) fn peers(site: &Site) -> Vec<SocketAddr> {
    let settings = site.settings.load();
    let own = members::address(&settings);
    let seeds = settings.seeds.iter();
    let seeds = seeds.map(|seed| SocketAddr::new(seed.0, own.port()));
    let fleet = site.fleet.load();
    let members = fleet.others.iter().copied();
    let mut all: Vec<SocketAddr> = seeds.chain(members).filter(|peer| *peer != own).collect();
    all.sort();
    all.dedup();
    all
}
