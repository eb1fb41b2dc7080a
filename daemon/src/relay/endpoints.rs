//! Questions beside requests: whether the instance is ready, which addresses to use, and counters.

use std::{convert::Infallible, net::IpAddr, sync::Arc, time::Duration};

use celerypond_adapter::directory;
use celerypond_relay::directory_addresses;
use http::{header::CONTENT_TYPE, HeaderValue, Request, Response, StatusCode};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::TcpListener;

use super::{
    members,
    reply::{full_body, Reply},
    state::RelayState,
};
use crate::listening;

/// How long callers keep an answer of the directory. A short time lets them leave a dead instance
/// soon; asking costs an instance some tens of microseconds.
const DIRECTORY_TTL: Duration = Duration::from_secs(1);
/// The path of counters and latencies.
const METRICS_PATH: &str = "/metrics";
/// How long a connection may stay without a question.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// Answers questions on a listener until the instance ends.
pub(super) async fn run(state: Arc<RelayState>, listener: TcpListener) {
    let ending = state.ending.clone();
    listening::serve(listener, ending, |stream| serve(Arc::clone(&state), stream)).await;
}

async fn serve(state: Arc<RelayState>, stream: tokio::net::TcpStream) {
    // Who has no address any more is gone as well.
    let Ok(caller) = stream.peer_addr() else {
        return;
    };
    let service = service_fn(move |request| {
        let reply = respond(&state, &request, caller.ip());
        async { Ok::<Reply, Infallible>(reply) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(IDLE_TIMEOUT)
        .serve_connection(TokioIo::new(stream), service);
    // Whoever asks may leave in any way.
    let _ = connection.await;
}

fn respond(state: &RelayState, request: &Request<Incoming>, caller: IpAddr) -> Reply {
    match request.uri().path() {
        directory::READY_PATH if state.is_ready() => empty_response(StatusCode::OK),
        directory::READY_PATH => empty_response(StatusCode::SERVICE_UNAVAILABLE),
        directory::DIRECTORY_PATH => directory_response(state, caller),
        METRICS_PATH => Response::new(full_body(state.render_metrics())),
        _ => empty_response(StatusCode::NOT_FOUND),
    }
}

fn empty_response(status: StatusCode) -> Reply {
    let mut reply = Response::new(full_body(""));
    *reply.status_mut() = status;
    reply
}

/// An instance that knows nobody to name says so, and the caller asks another one.
fn directory_response(state: &RelayState, caller: IpAddr) -> Reply {
    let addresses = members::caller_addresses(state);
    if addresses.is_empty() {
        return empty_response(StatusCode::SERVICE_UNAVAILABLE);
    }
    let addresses = directory_addresses(caller, addresses, directory::MAX_ADDRESSES);
    let ttl = DIRECTORY_TTL.min(state.settings.load().bounds.directory_ttl);
    let mut reply = Response::new(full_body(directory::encode(&addresses, ttl)));
    let json = HeaderValue::from_static("application/json");
    reply.headers_mut().insert(CONTENT_TYPE, json);
    reply
}
