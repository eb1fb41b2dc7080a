//! Pooled connections to the platform.

use std::{sync::Arc, time::Duration};

use arc_swap::ArcSwap;
use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper_util::{
    client::legacy::{self, connect::HttpConnector},
    rt::{TokioExecutor, TokioTimer},
};

type Connections = legacy::Client<HttpConnector, Full<Bytes>>;

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

/// A call that had no answer in time or lost its connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Lost {
    /// No connection could be made, so nothing was sent.
    Unsent,
    /// The request may have been sent.
    Sent,
}

impl Pool {
    pub(crate) fn new(connect: Duration) -> Self {
        Self {
            current: Arc::new(ArcSwap::from_pointee(connections(connect))),
            connect,
        }
    }

    /// Sends `request`, and reads its answer by `read`, within `limit`.
    pub(crate) async fn call<T>(
        &self,
        request: Request<Full<Bytes>>,
        limit: Duration,
        read: impl AsyncFnOnce(Response<Incoming>) -> T,
    ) -> Result<T, Lost> {
        let connections = self.current.load_full();
        let exchange = async { Ok(read(connections.request(request).await?).await) };
        match tokio::time::timeout(limit, exchange).await {
            Ok(Ok(answer)) => Ok(answer),
            Ok(Err(error)) => Err(lost(&error)),
            Err(_elapsed) => {
                self.replace(&connections);
                Err(Lost::Sent)
            }
        }
    }

    fn replace(&self, silent: &Arc<Connections>) {
        if Arc::ptr_eq(&self.current.load(), silent) {
            self.current.store(Arc::new(connections(self.connect)));
        }
    }
}

fn lost(error: &legacy::Error) -> Lost {
    if error.is_connect() {
        Lost::Unsent
    } else {
        Lost::Sent
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
