//! Connections to targets.

use std::{
    collections::HashMap,
    io,
    net::{IpAddr, SocketAddr},
    pin::pin,
    sync::{
        atomic::{AtomicU32, Ordering::Relaxed},
        Arc, Mutex, MutexGuard, PoisonError,
    },
    time::Duration,
};

use celerypond_relay::{running_timeout_at, ConnectionLimit};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use tokio::{
    net::{TcpSocket, TcpStream},
    time::Instant,
};
use tokio_util::task::TaskTracker;

use super::{
    framing_meter::FramingMeter, observed_socket::ObservedSocket, sender::Sender, upload::Upload,
};

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
/// How long the limit on the connections to a target is kept after its last reset.
const LIMIT_TTL: Duration = Duration::from_secs(30);
/// The size of the buffer of a connection, which is the maximum of a response's head. A faulty target
/// may send one without end.
const MAX_BUFFER_BYTES: usize = 64 << 10;
/// The maximum number of bytes that the kernel holds before it has sent them.
const MAX_UNSENT_BYTES: u32 = 64 << 10;
/// The maximum number of idle connections to one target.
const MAX_IDLE_CONNECTIONS: usize = 8;

struct IdleConnection {
    sender: Sender,
    idle_since: Instant,
    expires: Instant,
}

/// A connection that is used for a request, either an idle one or a new one.
pub(super) struct ReusedConnection {
    pub(super) sender: Sender,
    /// How long the connection was idle; `None` for a new one.
    pub(super) idle_for: Option<Duration>,
}

/// The number of connections that a target accepts, and of the instances that share them.
#[derive(Clone, Copy, Debug)]
pub(super) struct ConnectionShare {
    pub(super) accepted: u32,
    pub(super) instances: usize,
    /// The number of this instance's connections that are kept for more urgent requests.
    pub(super) kept: u32,
}

/// The connections to one target.
#[derive(Default)]
struct Pool {
    idle: Vec<IdleConnection>,
    /// The number of open connections, idle ones included.
    open: Arc<AtomicU32>,
    limit: ConnectionLimit,
}

/// Counts a connection as open until it is dropped.
pub(super) struct OpenConnection(Arc<AtomicU32>);

impl OpenConnection {
    fn new(open: &Arc<AtomicU32>) -> Self {
        open.fetch_add(1, Relaxed);
        Self(Arc::clone(open))
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Relaxed);
    }
}

/// A pool of connections to targets, which are kept for further requests.
pub(super) struct Connections {
    /// The address of this instance, from which connections are opened.
    own_ip: IpAddr,
    pools: Mutex<HashMap<SocketAddr, Pool>>,
    tasks: TaskTracker,
}

impl Connections {
    /// Creates an empty pool of an instance.
    pub(super) fn new(own_ip: IpAddr) -> Self {
        Self {
            own_ip,
            pools: Mutex::default(),
            tasks: TaskTracker::new(),
        }
    }

    /// Takes the idle connection that was used last, unless it has been idle for longer than
    /// `max_idle_time`.
    pub(super) fn take_idle(
        &self,
        address: SocketAddr,
        max_idle_time: Option<Duration>,
        now: Instant,
    ) -> Option<ReusedConnection> {
        let mut pools = self.pools();
        let reusable = &mut pools.get_mut(&address)?.idle;
        while let Some(connection) = reusable.pop() {
            let idle_for = now.saturating_duration_since(connection.idle_since);
            let is_stale = connection.expires <= now
                || max_idle_time.is_some_and(|max_idle_time| idle_for > max_idle_time);
            if !is_stale && connection.sender.is_ready() {
                return Some(ReusedConnection {
                    sender: connection.sender,
                    idle_for: Some(idle_for),
                });
            }
        }
        None
    }

    /// Reserves a new connection to a target. Returns `None` if as many are open as may be.
    pub(super) fn reserve(
        &self,
        address: SocketAddr,
        share: ConnectionShare,
        now: Instant,
    ) -> Option<OpenConnection> {
        let mut pools = self.pools();
        let pool = pools.entry(address).or_default();
        let (accepted, instances) = (share.accepted, share.instances);
        let max_open = pool
            .limit
            .max_open_beside(share.kept, accepted, instances, now);
        (pool.open.load(Relaxed) < max_open).then(|| OpenConnection::new(&pool.open))
    }

    /// Reserves a connection for a probe or an order, which is made even if as many are open as may
    /// be.
    pub(super) fn reserve_probe(&self, address: SocketAddr) -> OpenConnection {
        OpenConnection::new(&self.pools().entry(address).or_default().open)
    }

    /// Returns whether the target has recently reset a new connection.
    pub(super) fn is_reduced(
        &self,
        address: SocketAddr,
        share: ConnectionShare,
        now: Instant,
    ) -> bool {
        let pools = self.pools();
        let limit = pools.get(&address).map(|pool| pool.limit);
        limit.is_some_and(|limit| limit.is_reduced(share.accepted, share.instances, now))
    }

    /// Records that a target reset a new connection.
    pub(super) fn record_reset(&self, address: SocketAddr, now: Instant) {
        let mut pools = self.pools();
        let pool = pools.entry(address).or_default();
        pool.limit.record_reset(pool.open.load(Relaxed), now);
    }

    fn pools(&self) -> MutexGuard<'_, HashMap<SocketAddr, Pool>> {
        self.pools.lock().unwrap_or_else(PoisonError::into_inner)
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
        let mut pools = self.pools();
        let reusable = &mut pools.entry(address).or_default().idle;
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
        if let Some(pool) = self.pools().get_mut(&address) {
            pool.idle.clear();
        }
    }

    /// Closes idle connections that have expired.
    pub(super) fn close_expired(&self, now: Instant) {
        self.pools().retain(|_, pool| {
            pool.idle
                .retain(|connection| connection.expires > now && !connection.sender.is_closed());
            pool.open.load(Relaxed) > 0 || pool.limit.was_reset_within(LIMIT_TTL, now)
        });
    }

    /// Returns whether a new connection can be made, and keeps it for the next request.
    pub(super) async fn is_alive(&self, address: SocketAddr) -> bool {
        self.probe(address).await.is_ok()
    }

    /// Opens a connection and keeps it for the next request.
    pub(super) async fn probe(&self, address: SocketAddr) -> io::Result<()> {
        let sender = self.connect(address, self.reserve_probe(address)).await?;
        self.keep(address, sender, None, Instant::now());
        Ok(())
    }

    /// Opens a connection.
    pub(super) async fn connect(
        &self,
        address: SocketAddr,
        open: OpenConnection,
    ) -> io::Result<Sender> {
        let until = Instant::now() + CONNECT_TIMEOUT;
        let stream = running_timeout_at(until, pin!(self.open_stream(address)))
            .await
            .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
        stream.set_nodelay(true)?;
        SockRef::from(&stream).set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT))?;
        // Without it, connections still work, but less is known of how far a body was sent.
        if let Err(error) = SockRef::from(&stream).set_tcp_notsent_lowat(MAX_UNSENT_BYTES) {
            log::debug!(error:% = error; "cannot limit the unsent bytes of a connection");
        }
        let meter = FramingMeter::new(MAX_BUFFER_BYTES);
        let upload = Upload::default();
        let (read_meter, read_upload) = (meter.clone(), upload.clone());
        let on_read = move |len| {
            read_meter.add(len)?;
            read_upload.check_read(len)
        };
        let write_upload = upload.clone();
        let on_write = move |is_blocked| write_upload.set_write_blocked(is_blocked);
        let socket = ObservedSocket::new(stream, on_read, on_write);
        let (requests, connection) = http1::Builder::new()
            .max_buf_size(MAX_BUFFER_BYTES)
            .handshake(TokioIo::new(socket))
            .await
            .map_err(io::Error::other)?;
        self.tasks.spawn(async move {
            // The sender of a request learns from its response how the connection ended.
            let _ = connection.await;
            drop(open);
        });
        Ok(Sender::new(requests, meter, upload))
    }

    /// Opens a TCP connection from the address that this instance is known by.
    async fn open_stream(&self, address: SocketAddr) -> io::Result<TcpStream> {
        let socket = match address {
            SocketAddr::V4(_) => TcpSocket::new_v4()?,
            SocketAddr::V6(_) => TcpSocket::new_v6()?,
        };
        // Without it, no instance at this address could listen on the port that the system assigns,
        // also after the connection has ended.
        socket.set_reuseaddr(true)?;
        socket.bind(SocketAddr::new(self.own_ip, 0))?;
        socket.connect(address).await
    }

    /// Closes all idle connections and waits for the others to end.
    pub(super) async fn close(&self) {
        self.pools().clear();
        self.tasks.close();
        self.tasks.wait().await;
    }
}
