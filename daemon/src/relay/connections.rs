//! Connections to targets.

use std::{
    collections::HashMap,
    io,
    net::SocketAddr,
    sync::{Mutex, PoisonError},
    time::Duration,
};

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use tokio::{net::TcpStream, time::Instant};
use tokio_util::task::TaskTracker;

/// How long a connection may take. Targets accept within a few milliseconds; one that does not is
/// cut off or has lost its power, and says nothing.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(100);
/// How long written bytes may stay unacknowledged.
///
/// The failure: a target loses its power, or something on the way has lost track of a connection.
/// Nothing comes back, and the request would wait until its deadline. The kernel then reports the
/// connection as broken; acknowledgements come from the kernel, so a busy target is not hit.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(600);
/// How long an idle connection is kept when the target does not say.
const DEFAULT_IDLE_TIME: Duration = Duration::from_millis(2_500);
/// How long before the target's own limit an idle connection is no longer used.
const IDLE_MARGIN: Duration = Duration::from_millis(700);
/// The most idle connections to one target.
const MAX_IDLE_CONNECTIONS: usize = 8;

pub(super) type Sender = SendRequest<Full<Bytes>>;

struct IdleConnection {
    sender: Sender,
    idle_since: Instant,
    expires: Instant,
}

/// A kept connection that is used again.
pub(super) struct ReusedConnection {
    pub(super) sender: Sender,
    /// How long nothing went over it.
    pub(super) idle_for: Duration,
}

/// Connections to targets, kept for further requests.
#[derive(Default)]
pub(super) struct Connections {
    idle: Mutex<HashMap<SocketAddr, Vec<IdleConnection>>>,
    tasks: TaskTracker,
}

impl Connections {
    /// Takes an idle connection, the last one that was used, unless it has rested for longer than `most`.
    pub(super) fn take_idle(
        &self,
        address: SocketAddr,
        max_idle_time: Option<Duration>,
        now: Instant,
    ) -> Option<ReusedConnection> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let reusable = idle.get_mut(&address)?;
        while let Some(connection) = reusable.pop() {
            let idle_for = now.saturating_duration_since(connection.idle_since);
            let is_stale = connection.expires <= now
                || max_idle_time.is_some_and(|max_idle_time| idle_for > max_idle_time);
            if !is_stale && connection.sender.is_ready() {
                return Some(ReusedConnection {
                    sender: connection.sender,
                    idle_for,
                });
            }
        }
        idle.remove(&address);
        None
    }

    /// Keeps a connection whose response was read to its end.
    pub(super) fn keep(
        &self,
        address: SocketAddr,
        sender: Sender,
        keep_alive: Option<Duration>,
        now: Instant,
    ) {
        let idle_time = keep_alive.map_or(DEFAULT_IDLE_TIME, |idle_time| {
            idle_time.saturating_sub(IDLE_MARGIN)
        });
        if sender.is_closed() || idle_time.is_zero() {
            return;
        }
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let reusable = idle.entry(address).or_default();
        if reusable.len() == MAX_IDLE_CONNECTIONS {
            reusable.remove(0);
        }
        reusable.push(IdleConnection {
            sender,
            idle_since: now,
            expires: now + idle_time,
        });
    }

    /// Closes all idle connections to an address.
    ///
    /// One connection that went silent is seldom alone: its siblings would take a request each
    /// before they are found out.
    pub(super) fn drop_idle(&self, address: SocketAddr) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.remove(&address);
    }

    /// Closes idle connections that are past their time.
    pub(super) fn close_expired(&self, now: Instant) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.retain(|_, reusable| {
            reusable
                .retain(|connection| connection.expires > now && !connection.sender.is_closed());
            !reusable.is_empty()
        });
    }

    /// Returns whether a new connection can be made; it is kept for the next request.
    pub(super) async fn is_alive(&self, address: SocketAddr) -> bool {
        match self.connect(address).await {
            Ok(sender) => {
                self.keep(address, sender, None, Instant::now());
                true
            }
            Err(_) => false,
        }
    }

    /// Makes a connection.
    pub(super) async fn connect(&self, address: SocketAddr) -> io::Result<Sender> {
        let stream = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address))
            .await
            .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
        stream.set_nodelay(true)?;
        SockRef::from(&stream).set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT))?;
        let (sender, connection) = http1::Builder::new()
            .handshake(TokioIo::new(stream))
            .await
            .map_err(io::Error::other)?;
        self.tasks.spawn(async move {
            // Whoever sends on the connection learns from its response how it ended.
            let _ = connection.await;
        });
        Ok(sender)
    }

    /// Closes all idle connections and waits for the others to end.
    pub(super) async fn close(&self) {
        self.idle
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clear();
        self.tasks.close();
        self.tasks.wait().await;
    }
}
