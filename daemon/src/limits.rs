//! Divides the limits of client accounts among instances by their demand.

use std::{collections::HashMap, sync::Arc, time::Duration};

use celerypond_fleet::{EntryKind, MemberState};
use celerypond_route::{
    quantize_rate, Demand, DemandMap, LimitShare, ShareAllocator, ShareInputs, IDLE_SHARE,
};
use celerypond_types::{AccountName, InstanceName};
use tokio::time;

use crate::{
    gossip,
    node::{self, Node},
};

/// The interval at which demand is measured and shares are recomputed.
const UPDATE_INTERVAL: Duration = Duration::from_secs(1);

/// The demand of one account at this instance, and the state of its share allocation.
#[derive(Default)]
struct AccountDemand {
    allocator: ShareAllocator,
    demand: Demand,
    requests_per_s: f64,
    tokens_per_s: f64,
}

/// Updates the shares of all accounts' limits until the instance ends.
pub async fn run(node: Arc<Node>) {
    let mut accounts: HashMap<AccountName, AccountDemand> = HashMap::new();
    let mut tick = time::interval(UPDATE_INTERVAL);
    loop {
        tokio::select! {
            () = node.shutdown.cancelled() => return,
            _ = tick.tick() => {
                update_instance_count(&node);
                update_shares(&node, &mut accounts);
            }
        }
    }
}

/// Sets how many instances send to the same targets in the routing view.
///
/// If each instance assumed that it is the only one, all would fill all slots of the engines, and
/// requests would queue at the engines, where accounts are not treated fairly. An instance that does
/// not respond is counted: it may be on the other side of a network partition and still send
/// requests, and if it is dead, the engines report the slots that it leaves free.
pub fn update_instance_count(node: &Node) {
    let instances = contact(node).instances;
    if node.view.load().instances() != instances {
        node.view.rcu(|view| view.with_instances(instances));
    }
}

fn update_shares(node: &Arc<Node>, accounts: &mut HashMap<AccountName, AccountDemand>) {
    let view = node.view.load_full();
    let now_ms = node.now_ms();
    let demands = demands(node);
    let contact = contact(node);
    accounts.retain(|name, _| view.accounts().key(name).is_some());
    for (_, entry) in view.accounts().iter() {
        let name = &entry.account.name;
        let account_demand = accounts.entry(name.clone()).or_default();
        let changed = account_demand.update(entry.limiter.take_demand());
        if changed {
            let value = serde_json::to_vec(&account_demand.demand).unwrap_or_default();
            gossip::set_entry(node, EntryKind::Demand, name.as_str(), value);
        }
        let no_demands = DemandMap::default();
        let inputs = ShareInputs {
            instance: &node.settings.instance,
            demands: demands.get(name).unwrap_or(&no_demands),
            instances: contact.instances,
            expected_instances: node.expected_instances(),
            in_contact: contact.in_contact,
            requests_per_s: entry.account.requests_per_s,
            tokens_per_s: entry.account.tokens_per_s,
        };
        let (allocator, share) =
            account_demand
                .allocator
                .update(account_demand.demand, &inputs, now_ms);
        account_demand.allocator = allocator;
        entry
            .limiter
            .set_account_limit(&entry.account, share, now_ms);
    }
}

impl AccountDemand {
    /// Adds the demand counted in the last interval; returns whether the published demand changed.
    fn update(&mut self, counted: (u64, u64)) -> bool {
        /// The weight of a new measurement in the moving average.
        const WEIGHT: f64 = 0.5;

        let seconds = UPDATE_INTERVAL.as_secs_f64();
        self.requests_per_s += (counted.0 as f64 / seconds - self.requests_per_s) * WEIGHT;
        self.tokens_per_s += (counted.1 as f64 / seconds - self.tokens_per_s) * WEIGHT;
        let requests = quantize_rate(self.requests_per_s);
        let tokens = quantize_rate(self.tokens_per_s);
        let changed = (requests, tokens) != (self.demand.requests, self.demand.tokens);
        if changed {
            self.demand = Demand {
                // Taken from the wall clock, so that it increases across a restart as well.
                sequence: node::wall_ms().max(self.demand.sequence + 1),
                requests,
                tokens,
            };
        }
        changed
    }
}

/// Returns the published demand for each account, by instance.
fn demands(node: &Node) -> HashMap<AccountName, DemandMap> {
    let list = node.instance_list.load();
    let gossip = node.gossip();
    let mut demands: HashMap<AccountName, DemandMap> = HashMap::new();
    for (origin, item) in gossip.entries().items(EntryKind::Demand) {
        let Some(member) = gossip.membership().by_origin(origin) else {
            continue;
        };
        // A suspected member may be on the other side of a partition, unless it is not listed.
        let is_listed = list
            .instances
            .iter()
            .any(|listed| listed.name == member.name);
        if member.state() == MemberState::Suspected && !is_listed {
            continue;
        }
        let Ok(demand) = serde_json::from_slice::<Demand>(&item.value) else {
            continue;
        };
        let map = demands.entry(AccountName::new(&item.key)).or_default();
        *map = map.merge(&DemandMap::single(member.name.clone(), demand));
    }
    demands
}

/// The other instances that share the limits, as known to this one.
struct Contact {
    /// How many instances are listed or otherwise known, including this one.
    instances: usize,
    /// Whether every listed instance responds.
    in_contact: bool,
}

/// Returns which other instances this one knows and is in contact with.
///
/// An instance that has just started knows no others. If it assumed that it is the only one, it
/// would admit the entire limit of each account in addition to what the others admit. Therefore it
/// is not in contact until it has read the list and received an update from each listed instance.
fn contact(node: &Node) -> Contact {
    let list = node.instance_list.load();
    let gossip = node.gossip();
    let members = gossip.membership();
    let is_in_contact = |name: &InstanceName| {
        let member = members.by_name(name);
        member.is_some_and(|it| it.origin.is_some() && it.state() != MemberState::Suspected)
    };
    let mut others = list.instances.iter().map(|listed| &listed.name);
    let own = &node.settings.instance;
    Contact {
        instances: node.expected_instances().max(members.iter().count() + 1),
        in_contact: node.instance_list_read_at().is_some()
            && others.all(|name| name == own || is_in_contact(name)),
    }
}

/// Returns the initial share of an account's limits, before any demand for it is known.
///
/// Without contact it is only a part of the share of idle instances, as others may use all the rest
/// without this instance knowing.
pub fn initial_share(node: &Node) -> LimitShare {
    let contact = contact(node);
    let idle_total = IDLE_SHARE / (1.0 + IDLE_SHARE);
    let total = if contact.in_contact { 1.0 } else { idle_total };
    let share = total / contact.instances as f64;
    LimitShare {
        requests: share,
        tokens: share,
    }
}
