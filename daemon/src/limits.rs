//! Shares the accounts' limits between instances by their demand.

use std::{collections::HashMap, sync::Arc, time::Duration};

use celerypond_fleet::{EntryKind, MemberState};
use celerypond_route::{published, Demand, Demands, Knowledge, Part, Split};
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
    split: Split,
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
            () = node.ending.cancelled() => return,
            _ = tick.tick() => step(&node, &mut own),
        }
    }
}

fn step(node: &Arc<Node>, own: &mut HashMap<AccountName, Own>) {
    let view = node.view.load_full();
    let now_ms = node.now_ms();
    let demands = demands(node);
    let (instances, in_touch) = touch(node);
    own.retain(|name, _| view.accounts().key(name).is_some());
    for (_, entry) in view.accounts().iter() {
        let name = &entry.account.name;
        let held = own.entry(name.clone()).or_default();
        let changed = held.measure(entry.meter.drain());
        if changed {
            let value = serde_json::to_vec(&held.demand).unwrap_or_default();
            gossip::set(node, EntryKind::Demand, name.as_str(), value);
        }
        let none = Demands::default();
        let known = Knowledge {
            instance: &node.settings.instance,
            demands: demands.get(name).unwrap_or(&none),
            instances,
            expected: instances,
            in_touch,
            requests_per_s: entry.account.requests_per_s,
            tokens_per_s: entry.account.tokens_per_s,
        };
        let (split, part) = held.split.step(held.demand, &known, now_ms);
        held.split = split;
        let part = if instances == 1 { WHOLE } else { part };
        entry.meter.set_account(&entry.account, part, now_ms);
    }
}

/// The part of an instance that is alone.
const WHOLE: Part = Part {
    requests: 1.0,
    tokens: 1.0,
};

impl Own {
    /// Takes what was asked for in the last step; returns whether others must hear of it.
    fn measure(&mut self, asked: (u64, u64)) -> bool {
        /// The part of a new measurement in the mean.
        const PART: f64 = 0.5;

        let seconds = STEP.as_secs_f64();
        self.rate += (asked.0 as f64 / seconds - self.rate) * PART;
        self.tokens += (asked.1 as f64 / seconds - self.tokens) * PART;
        let requests = published(self.rate);
        let tokens = published(self.tokens);
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

fn demands(node: &Node) -> HashMap<AccountName, Demands> {
    let gossip = node.gossip();
    let mut all: HashMap<AccountName, Demands> = HashMap::new();
    for (origin, item) in gossip.state().items(EntryKind::Demand) {
        let Some(member) = gossip.roster().run(origin) else {
            continue;
        };
        let Ok(demand) = serde_json::from_slice::<Demand>(&item.value) else {
            continue;
        };
        let rows = all.entry(AccountName::new(&item.key)).or_default();
        *rows = rows.merge(&Demands::of(member.name.clone(), demand));
    }
    all
}

/// Returns how many instances there are, and whether all listed ones answer.
fn touch(node: &Node) -> (usize, bool) {
    let gossip = node.gossip();
    let states: Vec<(InstanceName, MemberState)> = gossip
        .roster()
        .iter()
        .map(|(_, member)| (member.name.clone(), member.state()))
        .collect();
    let in_touch = states
        .iter()
        .all(|(_, state)| *state != MemberState::Suspected);
    (states.len() + 1, in_touch)
}
