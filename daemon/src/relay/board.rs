//! Tells other instances where the streams of this one run, and hears of theirs.

use std::{
    net::SocketAddr,
    sync::{atomic::Ordering::Relaxed, Arc},
    time::Duration,
};

use celerypond_fleet::MemberState;
use celerypond_relay::Placements;
use tokio::{net::UdpSocket, time::Instant};

use super::site::Site;

/// The longest time between two lists; a lost one is made good by then.
const REPEAT: Duration = Duration::from_secs(1);
/// How long changes are gathered before a list is sent. Streams begin and end in groups when
/// engines are lost; a millisecond is far below the time in which a prompt is read.
const GATHER: Duration = Duration::from_millis(1);
/// The largest datagram that is read.
const DATAGRAM: usize = 16 << 10;

/// Returns where instances send their lists.
pub(super) fn address(site: &Site) -> SocketAddr {
    let settings = site.settings.load();
    SocketAddr::new(settings.ip, settings.peer_ports.0)
}

/// Sends and hears lists until the instance ends.
pub(super) async fn run(site: Arc<Site>, socket: UdpSocket) {
    let mut buffer = vec![0; DATAGRAM];
    let mut repeat = tokio::time::interval(REPEAT);
    loop {
        tokio::select! {
            () = site.ending.cancelled() => return,
            received = socket.recv_from(&mut buffer) => {
                if let Ok((len, _)) = received {
                    hear(&site, &buffer[..len]);
                }
            }
            () = site.placed.notified() => {
                tokio::time::sleep(GATHER).await;
                tell(&site, &socket).await;
            }
            _ = repeat.tick() => {
                site.targets().sweep(Instant::now());
                tell(&site, &socket).await;
            }
        }
    }
}

fn hear(site: &Site, bytes: &[u8]) {
    match bincode::deserialize::<Placements>(bytes) {
        Ok(list) => site.targets().hear(list, Instant::now()),
        Err(error) => log::warn!(error:% = error; "a list of streams cannot be read"),
    }
}

/// A list that cannot be sent is left out: the next one says the same and more.
async fn tell(site: &Site, socket: &UdpSocket) {
    let sequence = site.sequence.fetch_add(1, Relaxed) + 1;
    let (origin, peers) = peers(site);
    let list = site.targets().placements(origin, sequence, Instant::now());
    match bincode::serialize(&list) {
        Ok(bytes) if bytes.len() <= DATAGRAM => {
            for peer in peers {
                let _ = socket.send_to(&bytes, peer).await;
            }
        }
        Ok(_) => log::warn!(streams = list.streams.len(); "the list of streams is too long"),
        Err(error) => log::error!(error:% = error; "the list of streams cannot be written"),
    }
}

fn peers(site: &Site) -> (u64, Vec<SocketAddr>) {
    let gossip = site.gossip();
    let members = gossip.roster().of_state(MemberState::Live);
    let peers = members.filter_map(|member| member.address.parse().ok());
    (gossip.origin().0, peers.collect())
}
