//! Which addresses of the system callers should use.

use std::{net::SocketAddr, sync::Arc};

use celerypond_fleet::MemberState;
use celerypond_platform::Presence;
use celerypond_route::{hash, select_entry_points, EntryPoint, ENTRY_POINTS_TTL};
use gotham::hyper::StatusCode;
use serde::Serialize;

use crate::{
    front::{problem, Call, Reply},
    node::Node,
};

#[derive(Serialize)]
struct Answer {
    entries: Vec<Address>,
    ttl_s: u64,
}

#[derive(Serialize)]
struct Address {
    address: SocketAddr,
    data_centre: String,
}

/// Lists addresses, nearest data centre first, without instances that stop or do not answer.
pub async fn list(node: Arc<Node>, call: Call) -> Reply {
    let all = known(&node);
    let near = [node.settings.data_centre.clone()];
    let caller = call
        .caller
        .map_or(0, |caller| hash(caller.ip().to_string().as_bytes()));
    let chosen = select_entry_points(&all, &near, caller);
    let answer = Answer {
        entries: chosen.into_iter().map(address).collect(),
        ttl_s: ENTRY_POINTS_TTL.as_secs(),
    };
    problem::json(StatusCode::OK, &answer)
}

/// Returns the listed instances; gossip knows sooner than the list which of them leave.
fn known(node: &Node) -> Vec<EntryPoint> {
    let list = node.instance_list.load();
    let gossip = node.gossip();
    let is_gone = |name| {
        let state = gossip
            .membership()
            .by_name(name)
            .map(|member| member.state());
        state.is_some_and(|state| state != MemberState::Live)
    };
    let instances = list.instances.iter();
    instances
        .map(|instance| {
            let is_own = instance.name == node.settings.instance;
            let own_leaving = is_own && node.leaving.is_cancelled();
            EntryPoint {
                name: instance.name.clone(),
                address: instance.address,
                data_centre: instance.data_centre.clone(),
                leaving: instance.state == Presence::Leaving
                    || own_leaving
                    || !is_own && is_gone(&instance.name),
            }
        })
        .collect()
}

fn address(entry: &EntryPoint) -> Address {
    Address {
        address: entry.address,
        data_centre: entry.data_centre.to_string(),
    }
}
