//! Whether this instance is alive and ready, and its counters.

use std::sync::Arc;

use celerypond_telemetry::Gauge;
use gotham::hyper::{Response, StatusCode};
use serde::Serialize;

use crate::{
    body,
    front::{problem, Call, Reply},
    node::Node,
};

#[derive(Serialize)]
struct State {
    state: &'static str,
    revision: u64,
}

/// Answers as long as the process runs.
pub async fn live(node: Arc<Node>, _call: Call) -> Reply {
    problem::json(StatusCode::OK, &state(&node))
}

/// Answers 200 when this instance has a bundle in force and is not stopping.
pub async fn ready(node: Arc<Node>, _call: Call) -> Reply {
    let state = state(&node);
    let status = match state.state {
        "live" => StatusCode::OK,
        _ => StatusCode::SERVICE_UNAVAILABLE,
    };
    problem::json(status, &state)
}

/// Answers all counters and gauges as text.
pub async fn metrics(node: Arc<Node>, _call: Call) -> Reply {
    let connections = node.sockets.len() as u64;
    node.metrics.set(Gauge::Connections, connections);
    Response::new(body::whole(node.metrics.render()))
}

fn state(node: &Node) -> State {
    let active = node.active_bundle.load();
    let state = match (node.leaving.is_cancelled(), active.is_some()) {
        (true, _) => "leaving",
        (false, true) => "live",
        (false, false) => "no_bundle",
    };
    State {
        state,
        revision: active.as_ref().map_or(0, |active| active.revision().0),
    }
}
