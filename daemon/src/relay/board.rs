//! Tells other instances where the streams of this one run and what is new in the store, and hears
//! of theirs.

use std::{
    net::SocketAddr,
    sync::{atomic::Ordering::Relaxed, Arc},
    time::Duration,
};

use celerypond_fleet::MemberState;
use celerypond_relay::{Lists, Placements, Report, Stage, Watchers, Word};
use celerypond_types::ServiceName;
use serde::{Deserialize, Serialize};
use tokio::{net::UdpSocket, time::Instant};

use super::{follow, site::Site};

/// How long changes are gathered before a list is sent. Streams begin and end in groups when
/// engines are lost.
const GATHER: Duration = Duration::from_micros(200);
/// The largest datagram that is read.
const DATAGRAM: usize = 16 << 10;

/// The time between two words of an instance that watches the store.
const WORD: Duration = Duration::from_millis(300);

/// What instances tell each other by datagram; what is lost is told again.
#[derive(Serialize, Deserialize)]
pub(super) enum Datagram {
    /// Where streams run.
    Streams(Placements),
    /// What is known of the store.
    Word(Word),
    /// How far an order to move a service has come.
    Stage(Stage),
    /// What was seen of such an order.
    Report(ServiceName, Report),
}

/// Sends and hears lists until the instance ends.
pub(super) async fn run(site: Arc<Site>, socket: Arc<UdpSocket>) {
    let mut buffer = vec![0; DATAGRAM];
    let mut lists = Lists::new(Instant::now());
    let mut word = tokio::time::interval(WORD);
    let mut said = Instant::now();
    let mut has_news = false;
    loop {
        let due = said + Watchers::word_gap(site.instances());
        tokio::select! {
            () = site.ending.cancelled() => return,
            received = socket.recv_from(&mut buffer) => {
                if let Ok((len, _)) = received {
                    hear(&site, &buffer[..len]);
                }
            }
            () = site.placed.notified(), if !lists.has_news => lists.has_news = true,
            () = tokio::time::sleep_until(lists.due(site.instances())) => {
                tokio::time::sleep(GATHER).await;
                tell(&site, &socket, &mut lists).await;
            }
            () = site.known.told.notified(), if !has_news => has_news = true,
            () = tokio::time::sleep_until(due), if has_news => {
                (said, has_news) = (Instant::now(), false);
                say(&site, &socket).await;
            }
            _ = word.tick() => {
                follow::choose_watchers(&site);
                (said, has_news) = (Instant::now(), false);
                say(&site, &socket).await;
            }
        }
    }
}

fn hear(site: &Arc<Site>, bytes: &[u8]) {
    match bincode::deserialize(bytes) {
        Ok(Datagram::Streams(mut list)) => {
            let sends = std::mem::take(&mut list.sends);
            let now = Instant::now();
            site.retries().hear(list.origin, sends, now);
            site.known.targets().hear(list, now);
        }
        Ok(Datagram::Word(word)) => {
            site.duty.watchers().hear(word, Instant::now());
            follow::ask_for_news(site);
        }
        Ok(Datagram::Stage(stage)) => site.rollouts.hear_stage(stage),
        Ok(Datagram::Report(service, report)) => site.rollouts.hear_report(&service, report),
        Err(error) => log::warn!(error:% = error; "a datagram of a peer cannot be read"),
    }
}

async fn tell(site: &Site, socket: &UdpSocket, lists: &mut Lists) {
    let sequence = site.sequence.fetch_add(1, Relaxed) + 1;
    let (origin, peers) = peers(site);
    let now = Instant::now();
    let since = lists.sent(peers.len() + 1, now);
    let list = list(site, origin, sequence, since);
    send(socket, &peers, &Datagram::Streams(list)).await;
}

fn list(site: &Site, origin: u64, sequence: u64, since: Option<Instant>) -> Placements {
    let now = Instant::now();
    let mut targets = site.known.targets();
    if since.is_none() {
        targets.sweep(now);
    }
    let list = targets.placements(origin, sequence, since, now);
    drop(targets);
    Placements {
        sends: site.retries().sends(now),
        ..list
    }
}

/// Says what is known of the store, if this instance watches it.
async fn say(site: &Site, socket: &UdpSocket) {
    let Some(age) = site.duty.age(Instant::now()) else {
        return;
    };
    let (origin, peers) = peers(site);
    let word = Word {
        origin,
        revision: site.known.revision(),
        config: site.known.version(),
        age_ms: u32::try_from(age.as_millis()).unwrap_or(u32::MAX),
    };
    send(socket, &peers, &Datagram::Word(word)).await;
}

/// What cannot be sent is left out: the next datagram says the same and more.
pub(super) async fn send(socket: &UdpSocket, peers: &[SocketAddr], datagram: &Datagram) {
    match bincode::serialize(datagram) {
        Ok(bytes) if bytes.len() <= DATAGRAM => {
            for peer in peers {
                let _ = socket.send_to(&bytes, peer).await;
            }
        }
        Ok(bytes) => log::warn!(len = bytes.len(); "a datagram is too long"),
        Err(error) => log::error!(error:% = error; "a datagram cannot be written"),
    }
}

pub(super) fn peers(site: &Site) -> (u64, Vec<SocketAddr>) {
    let gossip = site.gossip();
    let members = gossip.roster().of_state(MemberState::Live);
    let peers = members.filter_map(|member| member.address.parse().ok());
    (gossip.origin().0, peers.collect())
}
