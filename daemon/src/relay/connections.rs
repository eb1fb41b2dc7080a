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
const CONNECT: Duration = Duration::from_millis(100);
/// How long written bytes may stay unacknowledged.
///
/// The failure: a target loses its power, or something on the way has lost track of a connection.
/// Nothing comes back, and the request would wait until its deadline. The kernel then reports the
/// connection as broken; acknowledgements come from the kernel, so a busy target is not hit.
const UNACKNOWLEDGED: Duration = Duration::from_millis(600);
/// How long an idle connection is kept when the target does not say.
const IDLE_DEFAULT: Duration = Duration::from_millis(2_500);
/// How long before the target's own limit an idle connection is no longer used.
const IDLE_MARGIN: Duration = Duration::from_millis(700);
/// The most idle connections to one target.
const IDLE_MOST: usize = 8;

pub(super) type Sender = SendRequest<Full<Bytes>>;

struct Idle {
    sender: Sender,
    since: Instant,
    until: Instant,
}

/// A kept connection that is used again.
pub(super) struct ReusedConnection {
    pub(super) sender: Sender,
    /// How long nothing went over it.
    pub(super) rested: Duration,
}

/// Connections to targets, kept for further requests.
#[derive(Default)]
pub(super) struct Connections {
    idle: Mutex<HashMap<SocketAddr, Vec<Idle>>>,
    drivers: TaskTracker,
}

impl Connections {
    /// Takes an idle connection, the last one that was used, unless it has rested for longer than `most`.
    pub(super) fn take(
        &self,
        address: SocketAddr,
        most: Option<Duration>,
        now: Instant,
    ) -> Option<ReusedConnection> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let kept = idle.get_mut(&address)?;
        while let Some(connection) = kept.pop() {
            let rested = now.saturating_duration_since(connection.since);
            let is_stale = connection.until <= now || most.is_some_and(|most| rested > most);
            if !is_stale && connection.sender.is_ready() {
                return Some(ReusedConnection {
                    sender: connection.sender,
                    rested,
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
        let time = keep_alive.map_or(IDLE_DEFAULT, |time| time.saturating_sub(IDLE_MARGIN));
        if sender.is_closed() || time.is_zero() {
            return;
        }
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let kept = idle.entry(address).or_default();
        if kept.len() == IDLE_MOST {
            kept.remove(0);
        }
        kept.push(Idle {
            sender,
            since: now,
            until: now + time,
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
    pub(super) fn sweep(&self, now: Instant) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.retain(|_, kept| {
            kept.retain(|connection| connection.until > now && !connection.sender.is_closed());
            !kept.is_empty()
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
        let stream = tokio::time::timeout(CONNECT, TcpStream::connect(address))
            .await
            .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
        stream.set_nodelay(true)?;
        SockRef::from(&stream).set_tcp_user_timeout(Some(UNACKNOWLEDGED))?;
        let (sender, connection) = http1::Builder::new()
            .handshake(TokioIo::new(stream))
            .await
            .map_err(io::Error::other)?;
        self.drivers.spawn(async move {
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
        self.drivers.close();
        self.drivers.wait().await;
    }
}
