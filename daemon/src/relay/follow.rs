//! What other instances know of the store, and who watches it for all.

use std::{
    net::SocketAddr,
    sync::{atomic::Ordering::Relaxed, Arc},
    time::Duration,
};

use celerypond_fleet::{choose, Candidate, MemberState, Origin};
use celerypond_relay::News;
use celerypond_types::Revision;
use rand::seq::SliceRandom as _;
use tokio::time::{timeout, Instant};

use super::{members, site::Site};

/// The time between two questions to peers for what the store does not tell.
const ASK_PEERS: Duration = Duration::from_millis(300);
/// How long a peer may take to tell its news; a whole list takes some ten milliseconds.
const ANSWER: Duration = Duration::from_millis(400);
/// How many instances watch the store for all. One may die while the others are told by the second.
const WATCHERS: usize = 2;
/// The job for which the instances that watch the store are chosen.
const WATCH_JOB: &[u8] = b"watch the store";
/// How often peers are asked in a row before the next word is waited for.
const ASK_MOST: usize = 4;

/// Asks peers for what is not known, until the instance ends.
///
/// The failures: an instance starts while the store is away; a word that told of something new was
/// lost.
pub(super) async fn run(site: Arc<Site>) {
    let mut turn = tokio::time::interval(ASK_PEERS);
    loop {
        tokio::select! {
            () = site.ending.cancelled() => return,
            _ = turn.tick() => {}
        }
        let knows_all = site.known.is_complete();
        let is_behind = site.gossip().facts().revision().0 > site.known.version();
        if knows_all && !is_behind {
            continue;
        }
        let mut peers = peers(&site);
        peers.shuffle(&mut rand::rng());
        for peer in peers {
            if ask_peer(&site, peer, 0).await {
                break;
            }
        }
    }
}

/// Asks the instance that knows more of the store than this one, if there is one.
pub(super) fn ask_for_news(site: &Arc<Site>) {
    if site.is_asking.swap(true, Relaxed) {
        return;
    }
    site.tasks.spawn(ask_ahead(Arc::clone(site)));
}

async fn ask_ahead(site: Arc<Site>) {
    for _ in 0..ASK_MOST {
        let (revision, config) = (site.known.revision(), site.known.version());
        let ahead = site.duty.watchers().ahead(revision, config, Instant::now());
        let Some(origin) = ahead else {
            break;
        };
        let peer = address_of(&site, origin);
        let is_told = match peer {
            Some(peer) => ask_peer(&site, peer, revision).await,
            None => false,
        };
        let (Some(peer), true) = (peer, is_told) else {
            site.duty.watchers().forget(origin);
            continue;
        };
        if site.known.revision() == revision && site.known.version() == config {
            // What changed does not concern the targets; the configuration is asked for whole.
            ask_peer(&site, peer, 0).await;
            break;
        }
    }
    site.is_asking.store(false, Relaxed);
}

fn address_of(site: &Site, origin: u64) -> Option<SocketAddr> {
    let gossip = site.gossip();
    let member = gossip.roster().run(Origin(origin))?;
    member.address.parse().ok()
}

/// Asks a peer for what is new since a revision; returns whether it told anything.
async fn ask_peer(site: &Site, peer: SocketAddr, since: u64) -> bool {
    let told = timeout(ANSWER, site.peers.bundle(peer, Revision(since))).await;
    let Ok(Ok(Some(bytes))) = told else {
        log::info!(peer:% = peer, since; "a peer told no news");
        return false;
    };
    match News::decode(&bytes) {
        Ok(news) => {
            site.known.take_news(news);
            true
        }
        Err(error) => {
            log::warn!(peer:% = peer, error:% = error; "a peer's news cannot be read");
            false
        }
    }
}

/// Takes in whether this instance is among those that watch the store for all.
///
/// Instances that know different ones may disagree for a while. Then one more watches, or none that
/// others hear of, and those watch for themselves.
pub(super) fn choose_watchers(site: &Site) {
    let settings = site.settings.load();
    let gossip = site.gossip();
    let live = gossip.roster().of_state(MemberState::Live);
    let mut candidates: Vec<Candidate<'_>> = live
        .map(|member| Candidate {
            name: &member.name,
            data_centre: &member.data_centre,
        })
        .collect();
    if !site.stopping.is_cancelled() {
        candidates.push(Candidate {
            name: &settings.instance,
            data_centre: &settings.data_centre,
        });
    }
    let chosen = choose(WATCH_JOB, &candidates, WATCHERS);
    let is_chosen = chosen.iter().any(|one| *one.name == settings.instance);
    if site.duty.is_chosen.swap(is_chosen, Relaxed) != is_chosen {
        log::info!(is_chosen, live = candidates.len(); "watcher of the store");
    }
}

fn peers(site: &Site) -> Vec<SocketAddr> {
    let settings = site.settings.load();
    let own = members::address(&settings);
    let seeds = settings.seeds.iter();
    let seeds = seeds.map(|seed| SocketAddr::new(seed.0, own.port()));
    let gossip = site.gossip();
    let members = gossip.roster().of_state(MemberState::Live);
    let members = members.filter_map(|member| member.address.parse().ok());
    let mut all: Vec<SocketAddr> = seeds.chain(members).filter(|peer| *peer != own).collect();
    all.sort();
    all.dedup();
    all
}
