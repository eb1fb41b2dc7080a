//! The pool of connections to the platform.

use std::{sync::Arc, time::Duration};

use arc_swap::ArcSwap;
use bytes::{Bytes, BytesMut};
use http::Request;
use http_body_util::{BodyExt as _, Full, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper_util::{
    client::legacy::{self, connect::HttpConnector},
    rt::{TokioExecutor, TokioTimer},
};
use tokio::time::timeout;

use crate::{protocol::Response, TransferProgress};

type Connections = legacy::Client<HttpConnector, Full<Bytes>>;

/// The maximum size of a response body, in bytes.
const MAX_RESPONSE_BYTES: usize = 64 << 20;
/// How long an idle connection is kept open.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);
/// The maximum number of idle connections.
const MAX_IDLE_CONNECTIONS: usize = 8;

/// A connection pool that is replaced as a whole after a call has timed out.
///
/// If a network device on the path loses the state of a connection, requests on it are never
/// answered. The connection that timed out is closed, because dropping its future makes hyper close
/// it. The other idle connections take the same route and are likely dead as well, so the next
/// calls would time out one by one. Replacing the pool limits this to one timeout. Calls in
/// progress keep the pool they started with.
#[derive(Clone, Debug)]
pub(crate) struct Pool {
    current: Arc<ArcSwap<Connections>>,
    connect_timeout: Duration,
}

/// The timeouts of a call.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CallTimeouts {
    /// Until the response headers arrive, including the time to open a connection.
    pub(crate) head: Duration,
    /// Between two frames of the body.
    pub(crate) pause: Duration,
    /// For the whole body.
    pub(crate) body: Duration,
}

/// The reason why a call has no complete response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum TransportError {
    /// No connection could be opened, so the request was not sent.
    NotSent,
    /// The connection broke; the request may have been processed.
    Broken,
    /// A timeout passed; the request may have been processed.
    TimedOut,
    /// The response body exceeds the size limit.
    TooLarge,
}

impl Pool {
    pub(crate) fn new(connect_timeout: Duration) -> Self {
        Self {
            current: Arc::new(ArcSwap::from_pointee(new_connections(connect_timeout))),
            connect_timeout,
        }
    }

    /// Sends `request` and reads the response. `progress` counts the bytes of its body.
    pub(crate) async fn call(
        &self,
        request: Request<Full<Bytes>>,
        timeouts: CallTimeouts,
        progress: &TransferProgress,
    ) -> Result<Response, TransportError> {
        let connections = self.current.load_full();
        let response = exchange(&connections, request, timeouts, progress).await;
        if matches!(response, Err(TransportError::TimedOut)) {
            self.replace(&connections);
        }
        response
    }

    fn replace(&self, timed_out: &Arc<Connections>) {
        if Arc::ptr_eq(&self.current.load(), timed_out) {
            self.current
                .store(Arc::new(new_connections(self.connect_timeout)));
        }
    }
}

async fn exchange(
    connections: &Connections,
    request: Request<Full<Bytes>>,
    timeouts: CallTimeouts,
    progress: &TransferProgress,
) -> Result<Response, TransportError> {
    let response = timeout(timeouts.head, connections.request(request)).await;
    let response = response.map_err(|_| TransportError::TimedOut)?;
    let (parts, body) = response
        .map_err(|error| transport_error(&error))?
        .into_parts();
    let body = timeout(timeouts.body, collect(body, timeouts.pause, progress)).await;
    Ok(Response {
        status: parts.status,
        headers: parts.headers,
        body: body.map_err(|_| TransportError::TimedOut)??,
    })
}

/// Reads a body to its end.
///
/// `pause` limits the time between two frames. A tight limit on the whole body would abort every
/// transfer that the link cannot carry within it, and the next call would start over at the first
/// byte.
async fn collect(
    body: Incoming,
    pause: Duration,
    progress: &TransferProgress,
) -> Result<Bytes, TransportError> {
    let mut body = Limited::new(body, MAX_RESPONSE_BYTES);
    let mut bytes = BytesMut::new();
    loop {
        let frame = timeout(pause, body.frame()).await;
        let Some(frame) = frame.map_err(|_| TransportError::TimedOut)? else {
            return Ok(bytes.freeze());
        };
        let frame = frame.map_err(|error| match error.is::<LengthLimitError>() {
            true => TransportError::TooLarge,
            false => TransportError::Broken,
        })?;
        if let Some(data) = frame.data_ref() {
            progress.add(data.len());
            bytes.extend_from_slice(data);
        }
    }
}

fn transport_error(error: &legacy::Error) -> TransportError {
    if error.is_connect() {
        TransportError::NotSent
    } else {
        TransportError::Broken
    }
}

fn new_connections(connect_timeout: Duration) -> Connections {
    let mut connector = HttpConnector::new();
    connector.set_connect_timeout(Some(connect_timeout));
    connector.set_nodelay(true);
    legacy::Client::builder(TokioExecutor::new())
        .pool_timer(TokioTimer::new())
        .pool_idle_timeout(IDLE_TIMEOUT)
        .pool_max_idle_per_host(MAX_IDLE_CONNECTIONS)
        .build(connector)
}
