//! Pooled connections to the platform.

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

/// The largest answer that is read, in bytes.
const ANSWER_BYTES: usize = 64 << 20;
/// How long a connection without a call is kept.
const IDLE: Duration = Duration::from_secs(20);
/// The most connections without a call that are kept.
const IDLE_MOST: usize = 8;

/// The connections, which are all replaced after one of them timed out.
///
/// A connection that something on the way has lost track of takes requests and never answers. The
/// one that timed out is closed, as dropping its future makes hyper close it; its idle siblings
/// went the same way and are likely silent as well, so the next calls would time out one by one.
/// A new set of connections ends that after one timeout. Calls under way keep the set they have.
#[derive(Clone, Debug)]
pub(crate) struct Pool {
    current: Arc<ArcSwap<Connections>>,
    connect: Duration,
}

/// How long the parts of one call may take.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Limits {
    /// Until the head of the answer is there, the connection included.
    pub(crate) head: Duration,
    /// Between two parts of its body.
    pub(crate) pause: Duration,
    /// For the whole body.
    pub(crate) body: Duration,
}

/// Why a call has no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Lost {
    /// No connection could be made, so nothing was sent.
    Unsent,
    /// The connection broke; the request may have been processed.
    Broken,
    /// Nothing arrived in time; the request may have been processed.
    Silent,
    /// The answer is larger than allowed.
    TooLarge,
}

impl Pool {
    pub(crate) fn new(connect: Duration) -> Self {
        Self {
            current: Arc::new(ArcSwap::from_pointee(connections(connect))),
            connect,
        }
    }

    /// Sends `request` and reads its answer; `progress` counts what arrives.
    pub(crate) async fn call(
        &self,
        request: Request<Full<Bytes>>,
        limits: Limits,
        progress: &TransferProgress,
    ) -> Result<Response, Lost> {
        let connections = self.current.load_full();
        let answer = exchange(&connections, request, limits, progress).await;
        if matches!(answer, Err(Lost::Silent)) {
            self.replace(&connections);
        }
        answer
    }

    fn replace(&self, silent: &Arc<Connections>) {
        if Arc::ptr_eq(&self.current.load(), silent) {
            self.current.store(Arc::new(connections(self.connect)));
        }
    }
}

async fn exchange(
    connections: &Connections,
    request: Request<Full<Bytes>>,
    limits: Limits,
    progress: &TransferProgress,
) -> Result<Response, Lost> {
    let response = timeout(limits.head, connections.request(request)).await;
    let response = response.map_err(|_| Lost::Silent)?;
    let (parts, body) = response.map_err(|error| lost(&error))?.into_parts();
    let body = timeout(limits.body, collect(body, limits.pause, progress)).await;
    Ok(Response {
        status: parts.status,
        headers: parts.headers,
        body: body.map_err(|_| Lost::Silent)??,
    })
}

/// Reads a body to its end.
///
/// The limit is on the pause between two parts: a limit on the whole body would end each transfer that is larger
/// than the link carries within it, and the next call would begin again from the first byte.
async fn collect(
    body: Incoming,
    pause: Duration,
    progress: &TransferProgress,
) -> Result<Bytes, Lost> {
    let mut body = Limited::new(body, ANSWER_BYTES);
    let mut bytes = BytesMut::new();
    loop {
        let frame = timeout(pause, body.frame()).await;
        let Some(frame) = frame.map_err(|_| Lost::Silent)? else {
            return Ok(bytes.freeze());
        };
        let frame = frame.map_err(|error| match error.is::<LengthLimitError>() {
            true => Lost::TooLarge,
            false => Lost::Broken,
        })?;
        if let Some(data) = frame.data_ref() {
            progress.add(data.len());
            bytes.extend_from_slice(data);
        }
    }
}

fn lost(error: &legacy::Error) -> Lost {
    if error.is_connect() {
        Lost::Unsent
    } else {
        Lost::Broken
    }
}

fn connections(connect: Duration) -> Connections {
    let mut connector = HttpConnector::new();
    connector.set_connect_timeout(Some(connect));
    connector.set_nodelay(true);
    legacy::Client::builder(TokioExecutor::new())
        .pool_timer(TokioTimer::new())
        .pool_idle_timeout(IDLE)
        .pool_max_idle_per_host(IDLE_MOST)
        .build(connector)
}
