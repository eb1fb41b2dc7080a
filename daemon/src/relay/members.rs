//! Membership: the gossip among instances.

use std::{
    net::{IpAddr, SocketAddr},
    sync::{atomic::Ordering::Relaxed, Arc},
    time::Duration,
};

use celerypond_fleet::{Event, Gossip, Identity, Incarnation, MemberState, Outgoing};
use celerypond_relay::{PeerCounts, Settings};
use celerypond_types::Revision;
use rand::{rngs::SmallRng, SeedableRng as _};
use smol_str::{format_smolstr, SmolStr};
use tokio::time::Instant;

use super::{fleet, state::RelayState};

/// The interval between two rounds of gossip. A dead instance is no longer named to callers after
/// two failed exchanges.
const ROUND_INTERVAL: Duration = Duration::from_millis(500);

/// Creates the gossip of this instance.
pub(super) fn gossip(settings: &Settings, now: Instant) -> Gossip {
    let started = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    // With a clock before 1970 the incarnation starts at zero, and peers make this instance take a
    // later one.
    let started = started.map_or(0, |time| time.as_millis() as u64);
    let identity = Identity {
        name: settings.instance.clone(),
        incarnation: Incarnation(started),
        address: format_smolstr!("{}", address(settings)),
        data_centre: settings.data_centre.clone(),
    };
    let seeds = gossip_seeds(settings);
    let settings = celerypond_fleet::GossipSettings {
        round_interval: ROUND_INTERVAL,
        seeds,
        ..celerypond_fleet::GossipSettings::default()
    };
    Gossip::new(identity, settings, SmallRng::from_os_rng(), now)
}

/// Applies the seeds of settings that were read again.
pub(super) fn update_seeds(state: &RelayState) {
    let seeds = gossip_seeds(&state.settings.load());
    state.gossip().set_seeds(seeds);
}

fn gossip_seeds(settings: &Settings) -> Vec<SmolStr> {
    let seeds = seed_addresses(settings);
    seeds.map(|seed| format_smolstr!("{seed}")).collect()
}

/// Returns the addresses of the other instances that the settings name.
pub(super) fn seed_addresses(settings: &Settings) -> impl Iterator<Item = SocketAddr> + '_ {
    let others = settings.seeds.iter().filter(|seed| seed.0 != settings.ip);
    others.map(|seed| SocketAddr::new(seed.0, settings.peer_ports.0))
}

/// Returns the address at which peers reach this instance.
pub(super) fn address(settings: &Settings) -> SocketAddr {
    SocketAddr::new(settings.ip, settings.peer_ports.0)
}

/// Returns the addresses for callers of all instances that seem to be live and reach their targets,
/// or of all that seem to be live if none does. All instances use the same ports.
pub(super) fn caller_addresses(state: &RelayState) -> Vec<SocketAddr> {
    let now = Instant::now();
    let own_address = address(&state.settings.load());
    let is_partitioned = !state.partitions().is_empty();
    let peers = state.peer_partitions();
    let reaching = live_caller_addresses(state, |peer| match peer == own_address {
        true => !is_partitioned,
        false => peers.reaches_all(peer, now),
    });
    drop(peers);
    match reaching.is_empty() {
        true => live_caller_addresses(state, |_| true),
        false => reaching,
    }
}

/// Returns the addresses for callers of the live instances whose peer address satisfies a condition.
fn live_caller_addresses(
    state: &RelayState,
    is_included: impl Fn(SocketAddr) -> bool,
) -> Vec<SocketAddr> {
    let settings = state.settings.load();
    let Some(own_address) = settings.listen.callers else {
        return Vec::new();
    };
    let gossip = state.gossip();
    let others = gossip.membership().in_state(MemberState::Live);
    let others = others.filter_map(|member| member.address.parse::<SocketAddr>().ok());
    let others = others.filter(|address| is_included(*address));
    let others = others.map(|address| SocketAddr::new(address.ip(), own_address.port()));
    let mut addresses: Vec<SocketAddr> = others.collect();
    // If all instances stop at once, only those that still accept callers are left.
    let is_own_included = is_included(address(&settings));
    if is_own_included && (state.is_ready() || (addresses.is_empty() && state.takes_callers())) {
        addresses.insert(0, own_address);
    }
    addresses
}

/// Returns whether another instance is known to have this address.
pub(super) fn has_member_at(state: &RelayState, ip: IpAddr) -> bool {
    let gossip = state.gossip();
    let addresses = gossip
        .membership()
        .iter()
        .map(|(_, member)| &member.address);
    let mut addresses = addresses.filter_map(|address| address.parse::<SocketAddr>().ok());
    addresses.any(|address| address.ip() == ip)
}

/// Returns the number of other instances by state.
pub(super) fn peer_counts(state: &RelayState) -> PeerCounts {
    let gossip = state.gossip();
    let count = |state| gossip.membership().in_state(state).count();
    PeerCounts {
        live: count(MemberState::Live),
        leaving: count(MemberState::Leaving),
    }
}

/// Runs the rounds of gossip until the instance ends.
pub(super) async fn run(state: Arc<RelayState>) {
    let mut next_round = Instant::now();
    loop {
        tokio::select! {
            () = state.ending.cancelled() => return,
            () = tokio::time::sleep_until(next_round) => {}
        }
        let now = Instant::now();
        let messages = {
            let mut gossip = state.gossip();
            gossip.raise_acting_revision(Revision(state.view.config_version()));
            next_round = now + gossip.round_interval(now);
            gossip.tick(now)
        };
        spawn_sends(&state, messages);
        process_events(&state);
        // Done once per round, because many members are met at once when a fleet starts.
        if state.membership_changed.swap(false, Relaxed) {
            fleet::refresh(&state);
        }
    }
}

/// Announces to all instances that this one accepts no new work.
pub(super) fn announce_leaving(state: &Arc<RelayState>) {
    state.gossip().announce_leaving();
    process_events(state);
}

/// Handles changes of membership, and sends what cannot wait for the next round.
pub(super) fn process_events(state: &Arc<RelayState>) {
    let (events, messages) = {
        let mut gossip = state.gossip();
        (gossip.take_events(), gossip.urgent_messages(Instant::now()))
    };
    spawn_sends(state, messages);
    let now = Instant::now();
    let mut has_changed = false;
    for event in events {
        match event {
            Event::Joined(_) | Event::Suspected(_) | Event::Returned(_) | Event::Forgotten(_) => {
                log_change(state, &event, now);
                has_changed = true;
            }
            Event::Renumbered => has_changed = true,
            Event::Revision(revision) | Event::Ahead(revision) => {
                state.view.report_config(revision.0, now);
                state.newer_config.notify_one();
            }
            Event::Brake(_) | Event::Changed(_) => {}
        }
    }
    if has_changed {
        state.membership_changed.store(true, Relaxed);
    }
}

/// Logs a change of membership, with the last sign of the instance's latest run and of the run that
/// it replaced.
fn log_change(state: &RelayState, event: &Event, now: Instant) {
    let (Event::Joined(name)
    | Event::Suspected(name)
    | Event::Returned(name)
    | Event::Forgotten(name)) = event
    else {
        return;
    };
    let elapsed_ms = |since: Instant| now.saturating_duration_since(since).as_millis() as u64;
    let gossip = state.gossip();
    let member = gossip.membership().by_name(name);
    let previous = member.and_then(|member| member.previous_run);
    log::info!(
        event:? = event,
        instance = name.as_str(),
        incarnation = member.map(|member| member.incarnation.0),
        heard_ms = member.map(|member| elapsed_ms(member.last_heard())),
        previous = previous.map(|run| run.incarnation.0),
        previous_heard_ms = previous.map(|run| elapsed_ms(run.last_heard));
        "membership changed"
    );
}

fn spawn_sends(state: &Arc<RelayState>, messages: Vec<Outgoing>) {
    for outgoing in messages {
        state.tasks.spawn(send(Arc::clone(state), outgoing));
    }
}

async fn send(state: Arc<RelayState>, outgoing: Outgoing) {
    let Ok(to) = outgoing.to.parse::<SocketAddr>() else {
        return state
            .gossip()
            .handle_failure(outgoing.member, Instant::now());
    };
    let mut next = Some(outgoing.message);
    while let Some(message) = next.take() {
        let started = Instant::now();
        match state.peers.exchange_gossip(to, message).await {
            Ok(answer) => {
                state.view.record_contact(started);
                next = state
                    .gossip()
                    .handle_response(outgoing.member, answer, Instant::now());
            }
            Err(_) => state
                .gossip()
                .handle_failure(outgoing.member, Instant::now()),
        }
    }
    process_events(&state);
}
