//! HTTP endpoints besides requests: readiness, the directory of instances, and metrics.

use std::{
    convert::Infallible,
    net::{IpAddr, SocketAddr},
    sync::Arc,
    time::Duration,
};

use celerypond_adapter::directory;
use celerypond_relay::directory_addresses;
use http::{header::CONTENT_TYPE, HeaderValue, Request, Response, StatusCode};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::TcpListener;

use super::{
    framing_meter::FramingMeter,
    members,
    observed_socket::ObservedSocket,
    reply::{full_body, Reply},
    sockets,
    state::RelayState,
};
use crate::listener;

/// How long callers cache an answer of the directory. With a short time they leave a dead instance
/// soon, and a query costs an instance only tens of microseconds.
const DIRECTORY_TTL: Duration = Duration::from_secs(1);
/// The path of counters and latencies.
const METRICS_PATH: &str = "/metrics";
/// How long a connection may stay open without a request.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// The size of the buffer of a connection, which is the maximum of a request's head.
const MAX_BUFFER_BYTES: usize = 16 << 10;

/// Starts to serve the endpoints at an address. If it cannot be bound, that is retried in the
/// background, as the instance can serve callers without it.
pub(super) async fn start(state: &Arc<RelayState>, address: SocketAddr) {
    match TcpListener::bind(address).await {
        Ok(listener) => {
            state.tasks.spawn(run(Arc::clone(state), listener));
        }
        Err(_) => {
            state.tasks.spawn(run_when_free(Arc::clone(state), address));
        }
    }
}

async fn run_when_free(state: Arc<RelayState>, address: SocketAddr) {
    tokio::select! {
        () = state.ending.cancelled() => {}
        listener = sockets::listen_when_free(address) => run(Arc::clone(&state), listener).await,
    }
}

/// Serves the endpoints on a listener until the instance ends.
async fn run(state: Arc<RelayState>, listener: TcpListener) {
    let ending = state.ending.clone();
    let max_connections = state.settings.load().limits.endpoint_connections();
    listener::serve(listener, max_connections, ending, |stream| {
        serve(Arc::clone(&state), stream)
    })
    .await;
}

async fn serve(state: Arc<RelayState>, stream: tokio::net::TcpStream) {
    // A connection without a peer address is already closed.
    let Ok(caller) = stream.peer_addr() else {
        return;
    };
    let meter = FramingMeter::new(MAX_BUFFER_BYTES);
    let service_meter = meter.clone();
    let service = service_fn(move |request| {
        service_meter.reset();
        let reply = respond(&state, &request, caller.ip());
        async { Ok::<Reply, Infallible>(reply) }
    });
    let socket = ObservedSocket::new(stream, move |len| meter.add(len), |_| {});
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(IDLE_TIMEOUT)
        .max_buf_size(MAX_BUFFER_BYTES)
        .serve_connection(TokioIo::new(socket), service);
    // The client may disconnect at any time.
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

/// Returns the addresses of instances for a caller. An instance that knows none reports that, and
/// the caller asks another one.
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
