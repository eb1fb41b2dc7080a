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

/// The timeout of a connection attempt. Targets accept within a few milliseconds. One that does not
/// is unreachable or has lost its power, and sends no error.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(100);
/// How long written bytes may stay unacknowledged before the kernel reports the connection as
/// broken.
///
/// When a target loses its power, or a device on the path has dropped the state of a connection,
/// nothing comes back, and the request would wait until its deadline. Acknowledgements come from
/// the target's kernel, so a busy target is not affected.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(600);
/// How long an idle connection is kept if the target does not specify a limit.
const DEFAULT_IDLE_TIME: Duration = Duration::from_millis(2_500);
/// How long before the target's own limit an idle connection is no longer used.
const IDLE_MARGIN: Duration = Duration::from_millis(700);
/// The maximum number of idle connections to one target.
const MAX_IDLE_CONNECTIONS: usize = 8;

pub(super) type Sender = SendRequest<Full<Bytes>>;

struct IdleConnection {
    sender: Sender,
    idle_since: Instant,
    expires: Instant,
}

/// A connection that is used for a request, either an idle one or a new one.
pub(super) struct ReusedConnection {
    pub(super) sender: Sender,
    /// How long the connection was idle; zero for a new one.
    pub(super) idle_for: Duration,
}

/// A pool of connections to targets, which are kept for further requests.
#[derive(Default)]
pub(super) struct Connections {
    idle: Mutex<HashMap<SocketAddr, Vec<IdleConnection>>>,
    tasks: TaskTracker,
}

impl Connections {
    /// Takes the idle connection that was used last, unless it has been idle for longer than
    /// `max_idle_time`.
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

    /// Keeps a connection whose response was read completely.
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
    /// A connection that became silent is seldom the only one. Each of the others would fail a
    /// request before it is detected.
    pub(super) fn drop_idle(&self, address: SocketAddr) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.remove(&address);
    }

    /// Closes idle connections that have expired.
    pub(super) fn close_expired(&self, now: Instant) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.retain(|_, reusable| {
            reusable
                .retain(|connection| connection.expires > now && !connection.sender.is_closed());
            !reusable.is_empty()
        });
    }

    /// Returns whether a new connection can be made, and keeps it for the next request.
    pub(super) async fn is_alive(&self, address: SocketAddr) -> bool {
        match self.connect(address).await {
            Ok(sender) => {
                self.keep(address, sender, None, Instant::now());
                true
            }
            Err(_) => false,
        }
    }

    /// Opens a connection.
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
            // The sender of a request learns from its response how the connection ended.
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
