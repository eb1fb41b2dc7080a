//! The instances among themselves.

use std::{
    net::SocketAddr,
    sync::{atomic::Ordering::Relaxed, Arc},
    time::Duration,
};

use celerypond_fleet::{Event, Gossip, Identity, Incarnation, MemberState, Outgoing};
use celerypond_relay::{PeerCounts, Settings};
use celerypond_types::Revision;
use rand::{rngs::SmallRng, SeedableRng as _};
use smol_str::format_smolstr;
use tokio::time::Instant;

use super::{fleet, site::Site};

/// The time between two rounds of gossip. After two failed exchanges a dead instance is no longer
/// named to callers.
const ROUND: Duration = Duration::from_millis(500);

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
    let settings = celerypond_fleet::GossipSettings {
        round_interval: ROUND,
        seeds: seeds.collect(),
        ..celerypond_fleet::GossipSettings::default()
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
    let others = gossip.membership().in_state(MemberState::Live);
    let others = others.filter_map(|member| member.address.parse::<SocketAddr>().ok());
    let others = others.map(|address| SocketAddr::new(address.ip(), own.port()));
    let mut found: Vec<SocketAddr> = others.collect();
    // Where all stop at once, those that still take callers are all that there is.
    if site.is_ready() || (found.is_empty() && site.takes_callers()) {
        found.insert(0, own);
    }
    found
}

/// Returns what is known of the other instances.
pub(super) fn others(site: &Site) -> PeerCounts {
    let gossip = site.gossip();
    let count = |state| gossip.membership().in_state(state).count();
    PeerCounts {
        live: count(MemberState::Live),
        leaving: count(MemberState::Leaving),
    }
}

/// Takes the turns of gossip until the instance ends.
pub(super) async fn run(site: Arc<Site>) {
    let mut round = Instant::now();
    loop {
        tokio::select! {
            () = site.ending.cancelled() => return,
            () = tokio::time::sleep_until(round) => {}
        }
        let now = Instant::now();
        let sends = {
            let mut gossip = site.gossip();
            gossip.raise_acting_revision(Revision(site.known.version()));
            round = now + gossip.round_interval(now);
            gossip.tick(now)
        };
        deliver(&site, sends);
        after(&site);
        // Once a round, as many are met at once where a fleet starts.
        if site.has_changed.swap(false, Relaxed) {
            fleet::refresh(&site);
        }
    }
}

/// Says to all instances that this one takes no new work.
pub(super) fn leave(site: &Arc<Site>) {
    site.gossip().announce_leaving();
    after(site);
}

/// Acts on what changed, and pushes what can't wait for the next round.
pub(super) fn after(site: &Arc<Site>) {
    let (events, sends) = {
        let mut gossip = site.gossip();
        (gossip.take_events(), gossip.urgent_messages(Instant::now()))
    };
    deliver(site, sends);
    let now = Instant::now();
    let mut has_changed = false;
    for event in events {
        match event {
            Event::Joined(_) | Event::Suspected(_) | Event::Returned(_) | Event::Forgotten(_) => {
                log::info!(event:? = event; "membership changed");
                has_changed = true;
            }
            Event::Renumbered => has_changed = true,
            Event::Revision(revision) | Event::Ahead(revision) => {
                site.known.report_config(revision.0, now);
                site.newer_config.notify_one();
            }
            Event::Brake(_) | Event::Changed(_) => {}
        }
    }
    if has_changed {
        site.has_changed.store(true, Relaxed);
    }
}

fn deliver(site: &Arc<Site>, sends: Vec<Outgoing>) {
    for outgoing in sends {
        site.tasks.spawn(send(Arc::clone(site), outgoing));
    }
}

async fn send(site: Arc<Site>, outgoing: Outgoing) {
    let Ok(to) = outgoing.to.parse::<SocketAddr>() else {
        return site
            .gossip()
            .handle_failure(outgoing.member, Instant::now());
    };
    let mut next = Some(outgoing.message);
    while let Some(message) = next.take() {
        let begun = Instant::now();
        match site.peers.exchange(to, message).await {
            Ok(answer) => {
                site.known.record_contact(begun);
                next = site
                    .gossip()
                    .handle_response(outgoing.member, answer, Instant::now());
            }
            Err(_) => site
                .gossip()
                .handle_failure(outgoing.member, Instant::now()),
        }
    }
    after(&site);
}
