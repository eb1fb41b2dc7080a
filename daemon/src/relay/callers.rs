//! Accepts and serves connections of callers.

use std::{sync::Arc, time::Duration};

use http::Request;
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;
use tokio::net::{TcpListener, TcpStream};

use super::{
    caller_connection::CallerConnection,
    caller_socket::CallerSocket,
    framing_meter::FramingMeter,
    idle_timer::IdleTimer,
    metered_body::MeteredBody,
    observed_socket::ObservedSocket,
    request::{self, Origin},
    state::RelayState,
};
use crate::listener;

/// The minimum size of the buffer of a request's head. hyper fixes the size when a connection is
/// accepted, and a newer configuration may allow longer heads than the one of that moment.
const MIN_BUFFER: usize = 64 << 10;

/// Accepts connections of callers, or of instances that relay their requests, until the instance
/// closes to them.
pub(super) async fn run(state: Arc<RelayState>, listener: Arc<TcpListener>, origin: Origin) {
    loop {
        let stream = tokio::select! {
            () = state.closed.cancelled() => return,
            stream = listener::accept(&listener) => stream,
        };
        let address = stream.peer_addr().ok().map(|address| address.ip());
        let Ok(connection) = CallerConnection::open(&state, address) else {
            // Its caller learns at once that its request was not read.
            drop(stream);
            continue;
        };
        state
            .caller_connections
            .spawn(serve(Arc::clone(&state), stream, connection, origin));
        // Connections that were told to close return their descriptors before more are accepted.
        tokio::task::yield_now().await;
    }
}

async fn serve(
    state: Arc<RelayState>,
    stream: TcpStream,
    connection: CallerConnection,
    origin: Origin,
) {
    // With Nagle's algorithm small events wait for acknowledgements, but the connection still
    // works.
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!(error:% = error; "cannot disable Nagle's algorithm on a caller's socket");
    }
    let limits = state.view.table().config().limits;
    let buffer = limits.head_bytes.max(MIN_BUFFER);
    let meter = FramingMeter::new(buffer);
    let mut builder = http1::Builder::new();
    builder
        .timer(IdleTimer(Arc::clone(&state)))
        // Switches the timeout on; the timer decides when it ends.
        .header_read_timeout(Duration::ZERO)
        .max_buf_size(buffer);
    // A connection that is accepted during a stop gets its first request answered, and is closed
    // with the listener if none comes.
    let draining = match state.stopping.is_cancelled() {
        true => &state.closed,
        false => &state.stopping,
    };
    let caller = Arc::new(connection);
    let service = {
        let (state, caller) = (Arc::clone(&state), Arc::clone(&caller));
        let meter = meter.clone();
        // Boxed, so that a connection without a request has no room for one.
        service_fn(move |request: Request<Incoming>| {
            let request = request.map(|body| MeteredBody::new(body, meter.clone()));
            Box::pin(request::answer(
                Arc::clone(&state),
                request,
                origin,
                Arc::clone(&caller),
            ))
        })
    };
    let unread_timeout = state.settings.load().unread_timeout;
    let socket = CallerSocket::new(stream, Arc::clone(&caller), unread_timeout);
    let socket = ObservedSocket::new(socket, move |len| meter.add(len), |_| {});
    let mut connection = std::pin::pin!(builder.serve_connection(TokioIo::new(socket), service));
    tokio::select! {
        // A connection that has to close reads no further request.
        biased;
        () = caller.closed() => return,
        // A caller may disconnect at any time. Its requests are logged separately.
        _ = connection.as_mut() => return,
        () = state.killed.cancelled() => return,
        () = draining.cancelled() => connection.as_mut().graceful_shutdown(),
    }
    tokio::select! {
        biased;
        () = caller.closed() => {}
        _ = connection => {}
        () = state.killed.cancelled() => {}
    }
}
