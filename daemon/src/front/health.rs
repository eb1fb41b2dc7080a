//! `GET /v1/health`, `/v1/ready` and `/v1/metrics`.

use std::sync::Arc;

use celerypond_telemetry::Gauge;
use gotham::hyper::{Response, StatusCode};
use serde::Serialize;

use crate::{
    body,
    front::{api_error, FrontRequest, Reply},
    node::Node,
};

#[derive(Serialize)]
struct Health {
    state: &'static str,
    revision: u64,
}

/// Responds with 200 as long as the process runs.
pub async fn live(node: Arc<Node>, _call: FrontRequest) -> Reply {
    api_error::json(StatusCode::OK, &health(&node))
}

/// Responds with 200 if a bundle is in force and the instance is not leaving, otherwise with 503.
pub async fn ready(node: Arc<Node>, _call: FrontRequest) -> Reply {
    let health = health(&node);
    let status = match health.state {
        "live" => StatusCode::OK,
        _ => StatusCode::SERVICE_UNAVAILABLE,
    };
    api_error::json(status, &health)
}

/// Responds with all counters and gauges as text.
pub async fn metrics(node: Arc<Node>, _call: FrontRequest) -> Reply {
    let connections = node.sockets.len() as u64;
    node.metrics.set(Gauge::Connections, connections);
    Response::new(body::full(node.metrics.render()))
}

fn health(node: &Node) -> Health {
    let active = node.active_bundle.load();
    let state = match (node.leaving.is_cancelled(), active.is_some()) {
        (true, _) => "leaving",
        (false, true) => "live",
        (false, false) => "no_bundle",
    };
    Health {
        state,
        revision: active.as_ref().map_or(0, |active| active.revision().0),
    }
}
