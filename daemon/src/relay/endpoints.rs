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
    reply::{whole, Reply},
    state::RelayState,
};
use crate::listening;

/// How long callers keep an answer of the directory. A short time lets them leave a dead instance
/// soon; asking costs an instance some tens of microseconds.
const DIRECTORY_TTL: Duration = Duration::from_secs(1);
/// The path of counters and latencies.
const METRICS_PATH: &str = "/metrics";
/// How long a connection may stay without a question.
const IDLE: Duration = Duration::from_secs(10);

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
        let reply = answer(&state, &request, caller.ip());
        async { Ok::<Reply, Infallible>(reply) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(IDLE)
        .serve_connection(TokioIo::new(stream), service);
    // Whoever asks may leave in any way.
    let _ = connection.await;
}

fn answer(state: &RelayState, request: &Request<Incoming>, caller: IpAddr) -> Reply {
    match request.uri().path() {
        directory::READY_PATH if state.is_ready() => plain(StatusCode::OK),
        directory::READY_PATH => plain(StatusCode::SERVICE_UNAVAILABLE),
        directory::DIRECTORY_PATH => addresses(state, caller),
        METRICS_PATH => Response::new(whole(state.render_metrics())),
        _ => plain(StatusCode::NOT_FOUND),
    }
}

fn plain(status: StatusCode) -> Reply {
    let mut reply = Response::new(whole(""));
    *reply.status_mut() = status;
    reply
}

/// An instance that knows nobody to name says so, and the caller asks another one.
fn addresses(state: &RelayState, caller: IpAddr) -> Reply {
    let found = members::addresses(state);
    if found.is_empty() {
        return plain(StatusCode::SERVICE_UNAVAILABLE);
    }
    let found = directory_addresses(caller, found, directory::ADDRESSES_MOST);
    let ttl = DIRECTORY_TTL.min(state.settings.load().bounds.directory_ttl);
    let mut reply = Response::new(whole(directory::encode(&found, ttl)));
    let json = HeaderValue::from_static("application/json");
    reply.headers_mut().insert(CONTENT_TYPE, json);
    reply
}
