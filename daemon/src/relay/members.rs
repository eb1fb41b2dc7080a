//! The instances among themselves.

use std::{
    net::SocketAddr,
    sync::{atomic::Ordering::Relaxed, Arc},
    time::Duration,
};

use celerypond_fleet::{
    accept, choose, Candidate, Event, Gossip, Identity, Incarnation, MemberState, Message, Origin,
    Outgoing, Peer,
};
use celerypond_relay::{News, Settings};
use celerypond_types::{Attempt, RequestKey, Revision};
use rand::{rngs::SmallRng, seq::SliceRandom as _, SeedableRng as _};
use smol_str::format_smolstr;
use tarpc::context::Context;
use tokio::{net::TcpListener, task::JoinSet, time::Instant};

use super::site::Site;

/// The time between two rounds of gossip. After two failed exchanges a dead instance is no longer
/// named to callers.
const ROUND: Duration = Duration::from_millis(500);
/// The time between two questions to peers for what the store does not tell.
const ASK_PEERS: Duration = Duration::from_millis(300);

/// How many instances watch the store for all. One may die while the others are told by the second.
const WATCHERS: usize = 2;
/// The job for which the instances that watch the store are chosen.
const WATCH_JOB: &[u8] = b"watch the store";
/// How often peers are asked in a row before the next word is waited for.
const ASK_MOST: usize = 4;

/// Makes the gossip of this instance.
pub(super) fn gossip(settings: &Settings, now: Instant) -> Gossip {
    let started = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    // A clock before 1970 gives the first ordinal; peers then let this run take a later one.
    let started = started.map_or(0, |time| time.as_millis() as u64);
    let identity = Identity {
        name: settings.instance.clone(),
        incarnation: Incarnation(started),
        address: format_smolstr!("{}", address(settings)),
        data_centre: settings.data_centre.clone(),
    };
    let port = settings.peer_ports.0;
    let seeds = settings.seeds.iter();
    let seeds = seeds
        .filter(|seed| seed.0 != settings.ip)
        .map(|seed| format_smolstr!("{}", SocketAddr::new(seed.0, port)));
    let settings = celerypond_fleet::Settings {
        round: ROUND,
        seeds: seeds.collect(),
        ..celerypond_fleet::Settings::default()
    };
    Gossip::new(identity, settings, SmallRng::from_os_rng(), now)
}

/// Returns where peers reach this instance.
pub(super) fn address(settings: &Settings) -> SocketAddr {
    SocketAddr::new(settings.ip, settings.peer_ports.0)
}

/// Returns the addresses for callers of all instances that seem to live. All instances have the
/// same ports.
pub(super) fn addresses(site: &Site) -> Vec<SocketAddr> {
    let settings = site.settings.load();
    let Some(own) = settings.listen.callers else {
        return Vec::new();
    };
    let gossip = site.gossip();
    let others = gossip.roster().of_state(MemberState::Live);
    let others = others.filter_map(|member| member.address.parse::<SocketAddr>().ok());
    let others = others.map(|address| SocketAddr::new(address.ip(), own.port()));
    let own = site.is_ready().then_some(own);
    own.into_iter().chain(others).collect()
}

/// Takes the turns of gossip until the instance ends.
pub(super) async fn run(site: Arc<Site>) {
    let mut round = tokio::time::interval(ROUND);
    loop {
        tokio::select! {
            () = site.ending.cancelled() => return,
            _ = round.tick() => {}
        }
        let sends = site.gossip().tick(Instant::now());
        deliver(&site, sends);
        after(&site);
    }
}

/// Says to all instances that this one takes no new work.
pub(super) fn leave(site: &Arc<Site>) {
    site.gossip().leave();
    after(site);
}

fn after(site: &Arc<Site>) {
    let (events, sends) = {
        let mut gossip = site.gossip();
        (gossip.events(), gossip.pushes(Instant::now()))
    };
    deliver(site, sends);
    for event in events {
        match event {
            Event::Revision(_) => site.changed.notify_waiters(),
            Event::Joined(_) | Event::Suspected(_) | Event::Returned(_) | Event::Forgotten(_) => {
                log::info!(event:? = event; "membership changed");
            }
            Event::Brake(_) | Event::Changed(_) | Event::Renumbered => {}
        }
    }
}

fn deliver(site: &Arc<Site>, sends: Vec<Outgoing>) {
    for outgoing in sends {
        site.tasks.spawn(send(Arc::clone(site), outgoing));
    }
}

async fn send(site: Arc<Site>, outgoing: Outgoing) {
    let Ok(to) = outgoing.to.parse::<SocketAddr>() else {
        return site.gossip().failed(outgoing.member, Instant::now());
    };
    let mut next = Some(outgoing.message);
    while let Some(message) = next.take() {
        match site.peers.exchange(to, message).await {
            Ok(answer) => {
                next = site
                    .gossip()
                    .answered(outgoing.member, answer, Instant::now());
            }
            Err(_) => site.gossip().failed(outgoing.member, Instant::now()),
        }
    }
    after(&site);
}

/// Asks peers for what is not known, until the instance ends.
///
/// The failures: an instance starts while the store is away; a word that told of something new was
/// lost.
pub(super) async fn follow_peers(site: Arc<Site>) {
    let mut turn = tokio::time::interval(ASK_PEERS);
    loop {
        tokio::select! {
            () = site.ending.cancelled() => return,
            _ = turn.tick() => {}
        }
        let knows_all = site.has_config() && site.has_targets();
        let is_behind = site.gossip().facts().revision().0 > site.table.load().config().version;
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
pub(super) fn follow(site: &Arc<Site>) {
    if site.is_asking.swap(true, Relaxed) {
        return;
    }
    site.tasks.spawn(ask_ahead(Arc::clone(site)));
}

async fn ask_ahead(site: Arc<Site>) {
    for _ in 0..ASK_MOST {
        let (revision, config) = (site.revision(), site.table.load().config().version);
        let ahead = site.watchers().ahead(revision, config, Instant::now());
        let Some(peer) = ahead.and_then(|origin| address_of(&site, origin)) else {
            break;
        };
        if !ask_peer(&site, peer, revision).await {
            break;
        }
        if site.revision() == revision && site.table.load().config().version == config {
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
    let told = site.peers.bundle(peer, Revision(since)).await;
    let Ok(Some(bytes)) = told else {
        return false;
    };
    match News::decode(&bytes) {
        Ok(news) => {
            site.take_news(news);
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
    if site.is_watcher.swap(is_chosen, Relaxed) != is_chosen {
        log::info!(is_chosen, live = candidates.len(); "watcher of the store");
    }
}

fn peers(site: &Site) -> Vec<SocketAddr> {
    let settings = site.settings.load();
    let own = address(&settings);
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

/// Answers the calls of other instances until the instance ends.
pub(super) async fn serve(site: Arc<Site>, listener: TcpListener) {
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            () = site.ending.cancelled() => break,
            accepted = listener.accept() => {
                if let Ok((socket, _)) = accepted {
                    let server = Server(Arc::clone(&site));
                    connections.spawn(async move {
                        // A peer that goes away in the middle is an ordinary end.
                        let _ = accept(socket, server.serve()).await;
                    });
                }
            }
            Some(_) = connections.join_next() => {}
        }
    }
    connections.shutdown().await;
}

/// Answers the calls of other instances. A relaying instance keeps no records for others, and has
/// no keyed calls.
#[derive(Clone)]
struct Server(Arc<Site>);

impl Peer for Server {
    async fn exchange(self, _: Context, message: Message) -> Message {
        let answer = self.0.gossip().receive(message, Instant::now());
        after(&self.0);
        answer
    }

    async fn keep(self, _: Context, _: Vec<u8>) -> Option<Vec<u8>> {
        None
    }

    async fn extend(self, _: Context, _: Vec<u8>) {}

    async fn forget(self, _: Context, _: RequestKey, _: Attempt) {}

    async fn kept(self, _: Context, _: RequestKey) -> Option<Vec<u8>> {
        None
    }

    async fn bundle(self, _: Context, revision: Revision) -> Option<Vec<u8>> {
        self.0.news(revision.0).map(|news| news.encode())
    }

    async fn rollouts(self, _: Context, _: Vec<u8>) -> Vec<u8> {
        Vec::new()
    }

    async fn forward(self, _: Context, _: Vec<u8>) -> Vec<u8> {
        Vec::new()
    }
}
