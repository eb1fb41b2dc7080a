//! Shares the accounts' limits between instances by their demand.

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

/// How often demand is measured and shares are reckoned.
const STEP: Duration = Duration::from_secs(1);

/// What this instance knows of one account's demand.
#[derive(Default)]
struct Own {
    split: ShareAllocator,
    demand: Demand,
    rate: f64,
    tokens: f64,
}

/// Shares the accounts' limits until the instance ends.
pub async fn run(node: Arc<Node>) {
    let mut own: HashMap<AccountName, Own> = HashMap::new();
    let mut tick = time::interval(STEP);
    loop {
        tokio::select! {
            () = node.shutdown.cancelled() => return,
            _ = tick.tick() => {
                count(&node);
                step(&node, &mut own);
            }
        }
    }
}

/// Tells the view how many instances send to the same targets.
///
/// The failure: each instance takes itself for the only one, all fill all slots of the engines, and
/// requests queue there, where accounts are not treated fairly. An instance that is silent counts:
/// the other side of a partition still sends, and what a dead one leaves free shows in the reports.
pub fn count(node: &Node) {
    let instances = touch(node).instances;
    if node.view.load().instances() != instances {
        node.view.rcu(|view| view.with_instances(instances));
    }
}

fn step(node: &Arc<Node>, own: &mut HashMap<AccountName, Own>) {
    let view = node.view.load_full();
    let now_ms = node.now_ms();
    let demands = demands(node);
    let touch = touch(node);
    own.retain(|name, _| view.accounts().key(name).is_some());
    for (_, entry) in view.accounts().iter() {
        let name = &entry.account.name;
        let held = own.entry(name.clone()).or_default();
        let changed = held.measure(entry.limiter.take_demand());
        if changed {
            let value = serde_json::to_vec(&held.demand).unwrap_or_default();
            gossip::set_entry(node, EntryKind::Demand, name.as_str(), value);
        }
        let none = DemandMap::default();
        let known = ShareInputs {
            instance: &node.settings.instance,
            demands: demands.get(name).unwrap_or(&none),
            instances: touch.instances,
            expected_instances: node.expected_instances(),
            in_contact: touch.is_whole,
            requests_per_s: entry.account.requests_per_s,
            tokens_per_s: entry.account.tokens_per_s,
        };
        let (split, part) = held.split.update(held.demand, &known, now_ms);
        held.split = split;
        entry
            .limiter
            .set_account_limit(&entry.account, part, now_ms);
    }
}

impl Own {
    /// Takes what was asked for in the last step; returns whether others must hear of it.
    fn measure(&mut self, asked: (u64, u64)) -> bool {
        /// The part of a new measurement in the mean.
        const PART: f64 = 0.5;

        let seconds = STEP.as_secs_f64();
        self.rate += (asked.0 as f64 / seconds - self.rate) * PART;
        self.tokens += (asked.1 as f64 / seconds - self.tokens) * PART;
        let requests = quantize_rate(self.rate);
        let tokens = quantize_rate(self.tokens);
        let changed = (requests, tokens) != (self.demand.requests, self.demand.tokens);
        if changed {
            self.demand = Demand {
                // The wall clock rises over a restart, which a count would not.
                sequence: node::wall_ms().max(self.demand.sequence + 1),
                requests,
                tokens,
            };
        }
        changed
    }
}

fn demands(node: &Node) -> HashMap<AccountName, DemandMap> {
    let list = node.instance_list.load();
    let gossip = node.gossip();
    let mut all: HashMap<AccountName, DemandMap> = HashMap::new();
    for (origin, item) in gossip.entries().items(EntryKind::Demand) {
        let Some(member) = gossip.membership().by_origin(origin) else {
            continue;
        };
        // One that is silent may be on the other side of a partition, but not if it is not listed.
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
        let rows = all.entry(AccountName::new(&item.key)).or_default();
        *rows = rows.merge(&DemandMap::single(member.name.clone(), demand));
    }
    all
}

/// What this instance knows of the others that share the limits.
struct Touch {
    /// How many instances are listed or heard of, this one among them.
    instances: usize,
    /// Whether every listed instance answers.
    is_whole: bool,
}

/// Returns what this instance knows of the others.
///
/// The failure: an instance has just started and knows of nobody, takes itself for the only one and
/// admits the whole limit of each account next to what the others admit. Until the list was read
/// and each instance in it was heard of, an instance counts as out of touch.
fn touch(node: &Node) -> Touch {
    let list = node.instance_list.load();
    let gossip = node.gossip();
    let members = gossip.membership();
    let is_heard = |name: &InstanceName| {
        let member = members.by_name(name);
        member.is_some_and(|it| it.origin.is_some() && it.state() != MemberState::Suspected)
    };
    let mut others = list.instances.iter().map(|listed| &listed.name);
    let own = &node.settings.instance;
    Touch {
        instances: node.expected_instances().max(members.iter().count() + 1),
        is_whole: node.instance_list_read_at().is_some()
            && others.all(|name| name == own || is_heard(name)),
    }
}

/// Returns the part of a limit for an account that nobody has asked for yet.
///
/// Out of touch it is a part of what idle instances have: others may use all the rest unheard.
pub fn initial_share(node: &Node) -> LimitShare {
    let touch = touch(node);
    let idle = IDLE_SHARE / (1.0 + IDLE_SHARE);
    let whole = if touch.is_whole { 1.0 } else { idle };
    let part = whole / touch.instances as f64;
    LimitShare {
        requests: part,
        tokens: part,
    }
}
