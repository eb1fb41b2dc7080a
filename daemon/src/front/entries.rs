//! `GET /v1/entries`: the instances that callers should connect to.

use std::{net::SocketAddr, sync::Arc};

use celerypond_fleet::MemberState;
use celerypond_platform::Presence;
use celerypond_route::{hash, select_entry_points, EntryPoint, ENTRY_POINTS_TTL};
use gotham::hyper::StatusCode;
use serde::Serialize;

use crate::{
    front::{api_error, FrontRequest, Reply},
    node::Node,
};

#[derive(Serialize)]
struct EntriesReply {
    entries: Vec<Entry>,
    ttl_s: u64,
}

#[derive(Serialize)]
struct Entry {
    address: SocketAddr,
    data_centre: String,
}

/// Lists addresses, nearest data centre first, without instances that are leaving or do not respond.
pub async fn list(node: Arc<Node>, request: FrontRequest) -> Reply {
    let entry_points = entry_points(&node);
    let nearest = [node.settings.data_centre.clone()];
    let caller_hash = request
        .caller
        .map_or(0, |caller| hash(caller.ip().to_string().as_bytes()));
    let selected = select_entry_points(&entry_points, &nearest, caller_hash);
    let reply = EntriesReply {
        entries: selected.into_iter().map(to_entry).collect(),
        ttl_s: ENTRY_POINTS_TTL.as_secs(),
    };
    api_error::json(StatusCode::OK, &reply)
}

/// Returns the listed instances; gossip reports earlier than the list which of them are leaving.
fn entry_points(node: &Node) -> Vec<EntryPoint> {
    let list = node.instance_list.load();
    let gossip = node.gossip();
    let is_not_live = |name| {
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
                    || !is_own && is_not_live(&instance.name),
            }
        })
        .collect()
}

fn to_entry(entry: &EntryPoint) -> Entry {
    Entry {
        address: entry.address,
        data_centre: entry.data_centre.to_string(),
    }
}
