//! Carries the gossip between instances, and what follows from it.

use std::{net::SocketAddr, sync::Arc};

use celerypond_fleet::{
    choose_instances, Candidate, EntryKind, Event, ListedMember, MemberState, Outgoing, Subset,
};
use celerypond_platform::Presence;
use celerypond_telemetry::{Counter, Gauge};
use celerypond_types::{DataCentre, InstanceName, RequestKey, TargetName};
use tokio::time::{self, Instant};

use crate::node::Node;

/// How many instances keep the record of a request.
const KEEPERS: usize = 2;

/// Takes the turns of gossip until the instance ends.
pub async fn run(node: Arc<Node>) {
    let mut round = Instant::now();
    loop {
        tokio::select! {
            () = node.shutdown.cancelled() => return,
            () = time::sleep_until(round) => {}
        }
        let list = listed(&node);
        let group = group(&node, &list);
        let now = Instant::now();
        let sends = {
            let mut gossip = node.gossip();
            gossip.update_listed_members(&list, now);
            gossip.set_group(group);
            round = now + gossip.round_interval(now);
            gossip.tick(now)
        };
        deliver(&node, sends);
        process_events(&node);
    }
}

/// Says to all instances that this one takes no new work.
pub fn announce_leaving(node: &Arc<Node>) {
    node.gossip().announce_leaving();
    process_events(node);
}

/// Sets an entry of this instance, which spreads to the others.
pub fn set_entry(node: &Arc<Node>, kind: EntryKind, key: &str, value: Vec<u8>) {
    if let Err(error) = node.gossip().set_entry(kind, key, value.into()) {
        log::warn!("an entry of kind {kind:?} cannot be spread: {error}");
    }
    process_events(node);
}

/// Acts on what changed, and pushes what can't wait for the next round.
pub fn process_events(node: &Arc<Node>) {
    let (events, sends) = {
        let mut gossip = node.gossip();
        (gossip.take_events(), gossip.urgent_messages(Instant::now()))
    };
    deliver(node, sends);
    for event in events {
        act(node, event);
    }
}

fn act(node: &Arc<Node>, event: Event) {
    match event {
        Event::Revision(_) => node.bundle_changed.notify_one(),
        Event::Brake(brake) => node.rollouts.handle_brake(node, &brake),
        Event::Changed(EntryKind::Acting) => node.rollouts.merge_applied_states(node),
        Event::Changed(EntryKind::TargetLeaving) => node.departures_changed.notify_one(),
        // The store tells of the revision itself.
        Event::Ahead(_) | Event::Changed(_) => {}
        Event::Joined(name) => log::info!("instance {name} is known"),
        Event::Suspected(name) => {
            node.metrics.add(Counter::Suspicions, 1);
            log::warn!("instance {name} does not answer");
        }
        Event::Returned(name) => log::info!("instance {name} answers again"),
        Event::Forgotten(name) => log::info!("instance {name} is forgotten"),
        Event::Renumbered => log::info!("this run took a later ordinal"),
    }
}

fn deliver(node: &Arc<Node>, sends: Vec<Outgoing>) {
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
            Ok(answer) => {
                next = node
                    .gossip()
                    .handle_response(outgoing.member, answer, Instant::now());
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

/// Returns the instances that share evidence, demand and load with this one.
fn group(node: &Node, list: &[ListedMember]) -> Vec<InstanceName> {
    // After a restart in an outage there is no list, only those that were heard of.
    let mut names: Vec<InstanceName> = list.iter().map(|listed| listed.name.clone()).collect();
    let heard = node.gossip();
    names.extend(
        heard
            .membership()
            .iter()
            .map(|(_, member)| member.name.clone()),
    );
    names.sort();
    names.dedup();
    drop(heard);
    let force = node.active_bundle.load_full();
    let targets = force.iter().flat_map(|force| &force.bundle.targets);
    let targets: Vec<TargetName> = targets.map(|target| target.name.clone()).collect();
    let subset = Subset::of(&node.settings.instance, &names, &targets);
    node.set_group_targets(subset.targets);
    subset.peers
}

fn listed(node: &Node) -> Vec<ListedMember> {
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

/// An instance that answers, as the request path sees it.
#[derive(Clone, Debug)]
pub struct LiveInstance {
    /// Its name.
    pub name: InstanceName,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Where peers reach it; `None` for this instance.
    pub address: Option<SocketAddr>,
}

/// Returns the instances that are worth work, this one among them unless it is leaving.
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

/// Returns the instance that a job falls to, by the view of this one; nothing while it leaves alone.
///
/// Instances that know different ones may disagree for a while. So a job that only one may do needs
/// a condition of the store as well.
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

/// Returns the instances that keep the record of a request, this one left out.
pub fn record_keepers(node: &Node, request: &RequestKey) -> Vec<SocketAddr> {
    let all = live_instances(node);
    let candidates = candidates(&all);
    // One more than needed: the driver itself may be among them, and its own copy dies with it.
    let chosen = choose_instances(request.as_str().as_bytes(), &candidates, KEEPERS + 1);
    let address = |name: &InstanceName| all.iter().find(|instance| instance.name == *name)?.address;
    chosen
        .iter()
        .filter_map(|candidate| address(candidate.name))
        .take(KEEPERS)
        .collect()
}
