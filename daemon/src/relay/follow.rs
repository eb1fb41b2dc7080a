//! What other instances know of the store.

use std::{
    net::SocketAddr,
    sync::{atomic::Ordering::Relaxed, Arc, PoisonError},
    time::Duration,
};

use celerypond_fleet::Origin;
use celerypond_relay::{unpack, Config, News};
use celerypond_types::Revision;
use rand::seq::SliceRandom as _;
use serde::de::DeserializeOwned;
use tokio::time::{timeout, Instant};

use super::{knowledge::Source, members, site::Site, watches};

/// The time between two questions to peers for what the store does not tell.
const ASK_PEERS: Duration = Duration::from_millis(300);
/// How long the store may take to tell an instance that starts anything before peers are asked as well.
const STORE_START: Duration = Duration::from_millis(150);
/// How long a peer may take to tell what changed; a whole list takes some ten milliseconds.
const ANSWER: Duration = Duration::from_millis(400);
/// How long a peer may take to tell the configuration. One of 300 KB takes a quarter of a second over a
/// link of 10 Mbit/s, and a peer may be asked by a few at once.
const ANSWER_CONFIG: Duration = Duration::from_secs(1);
/// How often peers are asked in a row before the next word is waited for.
const ASK_MOST: usize = 4;

/// Asks for what is not known, until the instance ends.
///
/// The failures: an instance starts while the store is away; a word that told of something new was
/// lost.
pub(super) async fn run(site: Arc<Site>) {
    let begun = Instant::now() + STORE_START;
    let mut turn = tokio::time::interval_at(begun, ASK_PEERS);
    loop {
        tokio::select! {
            () = site.ending.cancelled() => return,
            _ = turn.tick() => {}
        }
        let version = site.gossip().facts().revision().0;
        let mut peers = peers(&site);
        peers.shuffle(&mut rand::rng());
        if !site.known.is_complete() {
            if !store_answers(&site) {
                ask_for_all(&site, &peers).await;
            }
        } else if version > site.known.version() {
            fetch_config(&site, peers.first().copied(), version).await;
        }
    }
}

/// Returns whether the store answers this instance, so that what it does not know yet is under way.
///
/// The failure: a large fleet starts at once. If each asks peers beside the store, the lists of targets that
/// they send each other take their links from the store's. At 300 instances before 3,000 engines the
/// busiest one carried 1,630 kB/s so, and 578 kB/s since peers are left alone and tell two others at a time.
fn store_answers(site: &Site) -> bool {
    let answer = *site
        .duty
        .config_answer
        .lock()
        .unwrap_or_else(PoisonError::into_inner);
    let wait = site.settings.load().bounds.watch_wait();
    answer.is_some_and(|at| at.elapsed() < wait + STORE_START)
}

/// Asks peers until one has told what is not known. The store is asked all the while by the watches.
async fn ask_for_all(site: &Site, peers: &[SocketAddr]) {
    for peer in peers {
        let has_config = site.known.has_config() || ask_config(site, *peer, 0).await;
        let has_targets = site.known.has_targets() || ask_changes(site, *peer, 0).await;
        if has_config && has_targets {
            return;
        }
    }
}

/// Asks for what another instance knows of the store and this one does not, if there is such.
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
        let Some(word) = ahead else {
            break;
        };
        let peer = address_of(&site, word.origin);
        let (has_config, has_targets) = tokio::join!(
            async { word.config <= config || fetch_config(&site, peer, word.config).await },
            async {
                match peer {
                    _ if word.revision <= revision => true,
                    Some(peer) => ask_changes(&site, peer, revision).await,
                    None => false,
                }
            }
        );
        if !(has_config && has_targets) {
            site.duty.watchers().forget(word.origin);
        }
    }
    site.is_asking.store(false, Relaxed);
}

/// Takes in a configuration of at least this version from the store, or from a peer where the store
/// does not tell it.
///
/// A configuration of a thousand routes is some 300 KB. If all instances of a large fleet took it from
/// the one that saw it first, they would fill its link for seconds, and the version would be late
/// everywhere. The store's link is wide, and one call of each instance is cheap beside that.
///
/// The failure: such versions follow each other within a second, and an instance fetches them twice at a time, and
/// from a peer as well. Its own link of 10 Mbit/s is full, each call runs into its timeout and is made
/// again, and the instance stays behind by seconds. So one is fetched at a time, from one place.
async fn fetch_config(site: &Site, peer: Option<SocketAddr>, version: u64) -> bool {
    let _turn = site.fetching.lock().await;
    if site.known.version() >= version || watches::read_config(site, version).await {
        return true;
    }
    match peer {
        Some(peer) => ask_config(site, peer, version).await,
        None => false,
    }
}

fn address_of(site: &Site, origin: u64) -> Option<SocketAddr> {
    let gossip = site.gossip();
    let member = gossip.roster().run(Origin(origin))?;
    member.address.parse().ok()
}

/// Asks a peer for a configuration of at least this version; returns whether it told one.
async fn ask_config(site: &Site, peer: SocketAddr, version: u64) -> bool {
    let begun = Instant::now();
    let told = timeout(ANSWER_CONFIG, site.peers.bundle(peer, Revision(version))).await;
    let is_answered = matches!(told, Ok(Ok(_)));
    let told = told.ok().and_then(Result::ok).flatten();
    log::info!(
        source:% = peer,
        wanted = version,
        known = site.known.version(),
        is_answered,
        received = told.as_ref().map_or(0, Vec::len),
        took_ms = begun.elapsed().as_millis() as u64;
        "configuration fetched"
    );
    let Some(config) = read::<Config>(peer, "configuration", told) else {
        return false;
    };
    site.known.apply(config, Source::Peer);
    true
}

/// Asks a peer for the changes of targets since a revision; returns whether it told them.
async fn ask_changes(site: &Site, peer: SocketAddr, since: u64) -> bool {
    let told = timeout(ANSWER, site.peers.changes(peer, since)).await;
    let told = told.ok().and_then(Result::ok).flatten();
    let Some(news) = read::<News>(peer, "targets", told) else {
        return false;
    };
    site.known.take_news(news);
    true
}

/// Reads what a peer told, if it told anything.
fn read<T: DeserializeOwned>(peer: SocketAddr, what: &str, told: Option<Vec<u8>>) -> Option<T> {
    let Some(bytes) = told else {
        log::info!(peer:% = peer, what; "a peer told nothing new");
        return None;
    };
    unpack(&bytes)
        .inspect_err(
            |error| log::warn!(peer:% = peer, what, error:% = error; "a peer's news cannot be read"),
        )
        .ok()
}

fn peers(site: &Site) -> Vec<SocketAddr> {
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
