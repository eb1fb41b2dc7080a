//! The roles of other instances: which of them this instance sends what, and which one drives
//! rollouts.

use std::{
    net::SocketAddr,
    sync::{atomic::Ordering::Relaxed, Arc},
};

use celerypond_fleet::{Candidate, DistributionTree, Gossip, Member, MemberState, Subset};
use celerypond_relay::Group;
use celerypond_types::InstanceName;
use tokio::time::Instant;

use super::state::RelayState;

/// The maximum number of instances that report to each other where their streams run. Their lists
/// take up to a sixth of a link of 10 Mbit/s.
const MAX_GROUP: usize = 96;

/// The other instances by what this one sends them. Updated when members join or leave, and not
/// computed for each datagram.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct Fleet {
    /// The origin of this instance, which identifies its process.
    pub(super) origin: u64,
    /// The number of instances that seem to be live, including this one.
    pub(super) size: usize,
    /// The addresses of all other live instances.
    pub(super) live_peers: Vec<SocketAddr>,
    /// The addresses of the other instances that share engines with this one.
    pub(super) group: Vec<SocketAddr>,
    /// The addresses of the instances that share no engines with this one.
    pub(super) other_groups: Vec<SocketAddr>,
    /// The addresses of the instances to which this one sends notices about the store.
    pub(super) recipients: Vec<SocketAddr>,
}

/// Updates the roles of other instances.
pub(super) fn refresh(state: &RelayState) {
    let settings = state.settings.load();
    let own = &settings.instance;
    let watches = state.watch_duty.age(Instant::now()).is_some();
    let gossip = state.gossip();
    let live: Vec<&Member> = gossip.membership().in_state(MemberState::Live).collect();
    let tree = distribution_tree(state, &gossip);
    let recipients = tree.recipients_of(own, watches);
    let subset = Subset::with_group_limit(MAX_GROUP, own, &live_names(&live, own), &[]);
    let fleet = Fleet {
        origin: gossip.origin().0,
        size: live.len() + 1,
        live_peers: live.iter().filter_map(|member| address(member)).collect(),
        group: addresses(&live, |name| subset.peers.contains(name)),
        other_groups: addresses(&live, |name| !subset.peers.contains(name)),
        recipients: addresses(&live, |name| recipients.contains(&name)),
    };
    let is_chosen = tree.watchers().iter().any(|watcher| watcher.name == own);
    let hops = tree.hops();
    let has_peers = gossip
        .membership()
        .iter()
        .any(|(_, member)| member.state() != MemberState::Leaving);
    drop(gossip);
    state.view.set_has_peers(has_peers);
    state.watch_duty.watchers().set_hops(hops);
    if state.watch_duty.is_chosen.swap(is_chosen, Relaxed) != is_chosen {
        log::info!(is_chosen, live = fleet.size; "election of store watchers changed");
    }
    update_group(state, subset.group, subset.groups);
    state.fleet.store(Arc::new(fleet));
}

fn update_group(state: &RelayState, own: usize, count: usize) {
    let group = Group { index: own, count };
    let mut targets = state.view.targets();
    let before = std::mem::replace(&mut targets.group, group);
    drop(targets);
    if before.count != count {
        log::info!(group = own, groups = count; "engines divided among groups");
    }
}

/// Returns the address of the instance that drives rollouts, or `None` if it is this one.
///
/// While instances disagree about the membership, two of them may drive the same order. A phase is
/// only written to the store if the order is unchanged since its driver read it, and a driver takes
/// over the final phase that the store or another instance has.
pub(super) fn driver(state: &RelayState) -> Option<SocketAddr> {
    let gossip = state.gossip();
    let tree = distribution_tree(state, &gossip);
    let driver = tree.watchers().first()?.name;
    let mut live = gossip.membership().in_state(MemberState::Live);
    address(live.find(|member| member.name == *driver)?)
}

/// Creates the distribution tree of the live instances that are not stopping, including this one.
fn distribution_tree<'a>(state: &RelayState, gossip: &'a Gossip) -> DistributionTree<'a> {
    let live = gossip.membership().in_state(MemberState::Live);
    let mut candidates: Vec<Candidate<'a>> = live
        .map(|member| Candidate {
            name: &member.name,
            data_centre: &member.data_centre,
        })
        .collect();
    if !state.stopping.is_cancelled() {
        let identity = gossip.identity();
        candidates.push(Candidate {
            name: &identity.name,
            data_centre: &identity.data_centre,
        });
    }
    DistributionTree::new(candidates)
}

fn live_names(live: &[&Member], own: &InstanceName) -> Vec<InstanceName> {
    let others = live.iter().map(|member| member.name.clone());
    others.chain([own.clone()]).collect()
}

fn addresses(live: &[&Member], is_included: impl Fn(&InstanceName) -> bool) -> Vec<SocketAddr> {
    let included = live.iter().filter(|member| is_included(&member.name));
    included.filter_map(|member| address(member)).collect()
}

fn address(member: &Member) -> Option<SocketAddr> {
    member.address.parse().ok()
}
