//! Runs the gossip protocol: sends its messages and handles its events.

use std::{net::SocketAddr, sync::Arc};

use celerypond_fleet::{
    choose_instances, Candidate, EntryKind, Event, ListedMember, MemberState, Outgoing, Subset,
};
use celerypond_platform::Presence;
use celerypond_telemetry::{Counter, Gauge};
use celerypond_types::{DataCentre, InstanceName, RequestKey, TargetName};
use tokio::time::{self, Instant};

use crate::node::Node;

/// The number of instances that keep the record of a request.
const KEEPER_COUNT: usize = 2;

/// Runs the gossip rounds until the instance shuts down.
pub async fn run(node: Arc<Node>) {
    let mut next_round = Instant::now();
    loop {
        tokio::select! {
            () = node.shutdown.cancelled() => return,
            () = time::sleep_until(next_round) => {}
        }
        let list = listed_members(&node);
        let group = update_group(&node, &list);
        let now = Instant::now();
        let sends = {
            let mut gossip = node.gossip();
            gossip.update_listed_members(&list, now);
            gossip.set_group(group);
            next_round = now + gossip.round_interval(now);
            gossip.tick(now)
        };
        spawn_sends(&node, sends);
        process_events(&node);
    }
}

/// Announces to all instances that this one accepts no new requests.
pub fn announce_leaving(node: &Arc<Node>) {
    node.gossip().announce_leaving();
    process_events(node);
}

/// Sets an entry of this instance, which gossip spreads to the others.
pub fn set_entry(node: &Arc<Node>, kind: EntryKind, key: &str, value: Vec<u8>) {
    if let Err(error) = node.gossip().set_entry(kind, key, value.into()) {
        log::warn!("failed to set a gossip entry of kind {kind:?}: {error}");
    }
    process_events(node);
}

/// Handles the pending gossip events, and sends the messages that must not wait for the next round.
pub fn process_events(node: &Arc<Node>) {
    let (events, sends) = {
        let mut gossip = node.gossip();
        (gossip.take_events(), gossip.urgent_messages(Instant::now()))
    };
    spawn_sends(node, sends);
    for event in events {
        handle_event(node, event);
    }
}

fn handle_event(node: &Arc<Node>, event: Event) {
    match event {
        Event::Revision(_) => node.bundle_changed.notify_one(),
        Event::Brake(brake) => node.rollouts.handle_brake(node, &brake),
        Event::Changed(EntryKind::Acting) => node.rollouts.merge_applied_states(node),
        Event::Changed(EntryKind::TargetLeaving) => node.departures_changed.notify_one(),
        // This instance learns the revision itself from the store.
        Event::Ahead(_) | Event::Changed(_) => {}
        Event::Joined(name) => log::info!("instance {name} joined"),
        Event::Suspected(name) => {
            node.metrics.add(Counter::Suspicions, 1);
            log::warn!("instance {name} does not respond");
        }
        Event::Returned(name) => log::info!("instance {name} responds again"),
        Event::Forgotten(name) => log::info!("removed instance {name} after a long silence"),
        Event::Renumbered => log::info!(
            "another run of this instance has the same or a higher number; this run takes the next"
        ),
    }
}

fn spawn_sends(node: &Arc<Node>, sends: Vec<Outgoing>) {
    for outgoing in sends {
        node.background_tasks
            .spawn(send(Arc::clone(node), outgoing));
    }
}

async fn send(node: Arc<Node>, outgoing: Outgoing) {
    let Ok(to) = outgoing.to.parse::<SocketAddr>() else {
        return node
            .gossip()
            .handle_failure(outgoing.member, Instant::now());
    };
    let mut next = Some(outgoing.message);
    while let Some(message) = next.take() {
        node.metrics.add(Counter::GossipSent, 1);
        node.metrics
            .add(Counter::GossipBytes, message.bytes() as u64);
        match node.peers.exchange_gossip(to, message).await {
            Ok(response) => {
                next = node
                    .gossip()
                    .handle_response(outgoing.member, response, Instant::now());
            }
            Err(_) => {
                node.metrics.add(Counter::GossipFailures, 1);
                node.gossip()
                    .handle_failure(outgoing.member, Instant::now());
            }
        }
    }
    process_events(&node);
}

/// Updates the targets of this instance's group, and returns the instances of the group, which
/// share evidence, demand and load with each other.
fn update_group(node: &Node, list: &[ListedMember]) -> Vec<InstanceName> {
    // After a restart during an outage of the platform there is no list, only the gossip members.
    let mut names: Vec<InstanceName> = list.iter().map(|listed| listed.name.clone()).collect();
    let gossip = node.gossip();
    names.extend(
        gossip
            .membership()
            .iter()
            .map(|(_, member)| member.name.clone()),
    );
    names.sort();
    names.dedup();
    drop(gossip);
    let active = node.active_bundle.load_full();
    let targets = active.iter().flat_map(|active| &active.bundle.targets);
    let targets: Vec<TargetName> = targets.map(|target| target.name.clone()).collect();
    let subset = Subset::of(&node.settings.instance, &names, &targets);
    node.set_group_targets(subset.targets);
    subset.peers
}

fn listed_members(node: &Node) -> Vec<ListedMember> {
    let list = node.instance_list.load();
    let instances = list.instances.iter();
    instances
        .map(|instance| ListedMember {
            name: instance.name.clone(),
            address: smol_str::format_smolstr!("{}", instance.peer_address),
            data_centre: instance.data_centre.clone(),
            leaving: instance.state == Presence::Leaving,
        })
        .collect()
}

/// A live instance.
#[derive(Clone, Debug)]
pub struct LiveInstance {
    /// Its name.
    pub name: InstanceName,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// The address at which peers reach it; `None` for this instance.
    pub address: Option<SocketAddr>,
}

/// Returns the live instances by gossip, including this one unless it is leaving.
pub fn live_instances(node: &Node) -> Vec<LiveInstance> {
    let gossip = node.gossip();
    let members = gossip.membership().in_state(MemberState::Live);
    let others = members.filter_map(|member| {
        Some(LiveInstance {
            name: member.name.clone(),
            data_centre: member.data_centre.clone(),
            address: Some(member.address.parse().ok()?),
        })
    });
    let own = LiveInstance {
        name: node.settings.instance.clone(),
        data_centre: node.settings.data_centre.clone(),
        address: None,
    };
    let own = (!node.leaving.is_cancelled()).then_some(own);
    let all: Vec<LiveInstance> = own.into_iter().chain(others).collect();
    node.metrics.set(Gauge::LiveInstances, all.len() as u64);
    all
}

/// Returns the instance that is responsible for a job; `None` if no instance is live.
///
/// Instances that know different members may disagree for a while. A job that must be done by only
/// one instance therefore needs a conditional write to the store as well.
pub fn responsible_instance(node: &Node, job: &str) -> Option<LiveInstance> {
    let all = live_instances(node);
    let chosen = choose_instances(job.as_bytes(), &candidates(&all), 1);
    let name = chosen.first()?.name;
    all.iter().find(|instance| instance.name == *name).cloned()
}

fn candidates(all: &[LiveInstance]) -> Vec<Candidate<'_>> {
    all.iter()
        .map(|instance| Candidate {
            name: &instance.name,
            data_centre: &instance.data_centre,
        })
        .collect()
}

/// Returns the addresses of the instances that keep the record of a request, other than this one.
pub fn record_keepers(node: &Node, request: &RequestKey) -> Vec<SocketAddr> {
    let all = live_instances(node);
    let candidates = candidates(&all);
    // Choose one more than needed: this instance may be among them, and a copy here would be lost
    // together with the answer's driver.
    let chosen = choose_instances(request.as_str().as_bytes(), &candidates, KEEPER_COUNT + 1);
    let address = |name: &InstanceName| all.iter().find(|instance| instance.name == *name)?.address;
    chosen
        .iter()
        .filter_map(|candidate| address(candidate.name))
        .take(KEEPER_COUNT)
        .collect()
}
