//! Which addresses of the system callers should use.

use std::{net::SocketAddr, sync::Arc};

use celerypond_platform::Presence;
use gotham::hyper::StatusCode;
use serde::Serialize;

use crate::{
    front::{problem, Call, Reply},
    node::Node,
};

#[derive(Serialize)]
struct Entries {
    entries: Vec<Entry>,
    ttl_s: u64,
}

#[derive(Serialize)]
struct Entry {
    address: SocketAddr,
    data_centre: String,
}

/// Lists addresses, nearest data centre first, without stopping instances.
pub async fn list(node: Arc<Node>, _call: Call) -> Reply {
    let list = node.list.load();
    let own = &node.settings.data_centre;
    let mut entries: Vec<Entry> = list
        .instances
        .iter()
        .filter(|instance| instance.state == Presence::Live)
        .map(|instance| Entry {
            address: instance.address,
            data_centre: instance.data_centre.to_string(),
        })
        .collect();
    entries.sort_by_key(|entry| entry.data_centre != own.as_str());
    let answer = Entries {
        entries,
        ttl_s: node.settings.entries_ttl_s,
    };
    problem::json(StatusCode::OK, &answer)
}
