//! Connections from callers, and how they are drained in a planned stop.
//!
//! gotham serves each connection in a task that it does not expose. Each connection therefore holds
//! a token of a task tracker, which shows when all connections have ended.

use std::{
    collections::HashMap,
    io,
    net::SocketAddr,
    pin::Pin,
    sync::{
        atomic::{AtomicU64, AtomicUsize, Ordering::SeqCst},
        Arc, Mutex, MutexGuard, PoisonError,
    },
    task::{Context, Poll},
    time::Duration,
};

use bytes::Bytes;
use celerypond_route::IDLE_CLOSE_MS;
use gotham::helpers::http::Body;
use http_body_util::BodyExt;
use hyper::body::{Frame, SizeHint};
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
    time::{self, Instant, Sleep},
};
use tokio_util::task::{task_tracker::TaskTrackerToken, TaskTracker};

/// How long a connection may be idle before it is closed.
const IDLE_TIMEOUT: Duration = Duration::from_millis(IDLE_CLOSE_MS);

/// All connections from callers.
#[derive(Clone, Default)]
pub struct Sockets {
    shared: Arc<Shared>,
}

#[derive(Default)]
struct Shared {
    connections: Mutex<HashMap<SocketAddr, Arc<Activity>>>,
    tracker: TaskTracker,
}

/// The activity on one connection.
struct Activity {
    opened_at: Instant,
    /// When data was last transferred or a reply was completed, in milliseconds after `opened_at`.
    last_activity_ms: AtomicU64,
    /// The number of requests whose reply is not complete.
    requests: AtomicUsize,
}

impl Activity {
    fn record(&self) {
        let now_ms = self.opened_at.elapsed().as_millis() as u64;
        self.last_activity_ms.fetch_max(now_ms, SeqCst);
    }

    /// Returns when the connection will have been idle for the timeout if there is no activity.
    fn idle_deadline(&self) -> Instant {
        let last_activity =
            self.opened_at + Duration::from_millis(self.last_activity_ms.load(SeqCst));
        match self.requests.load(SeqCst) {
            0 => last_activity + IDLE_TIMEOUT,
            _ => Instant::now() + IDLE_TIMEOUT,
        }
    }
}

/// A connection from a caller.
pub struct Socket {
    stream: TcpStream,
    address: SocketAddr,
    activity: Arc<Activity>,
    idle_timer: Pin<Box<Sleep>>,
    sockets: Sockets,
    _token: TaskTrackerToken,
}

/// Marks a connection as active until the reply to a request is complete.
pub struct ActiveRequest(Arc<Activity>);

impl Drop for ActiveRequest {
    fn drop(&mut self) {
        self.0.record();
        self.0.requests.fetch_sub(1, SeqCst);
    }
}

impl Sockets {
    /// Registers a new connection.
    ///
    /// # Errors
    ///
    /// Fails if the caller has already disconnected.
    #[expect(clippy::result_unit_err, reason = "gotham requires this signature")]
    pub fn accept(&self, stream: TcpStream) -> Result<Socket, ()> {
        let address = stream.peer_addr().map_err(drop)?;
        // Otherwise Nagle's algorithm delays the second small write of a reply until an ACK.
        stream.set_nodelay(true).map_err(drop)?;
        let activity = Arc::new(Activity {
            opened_at: Instant::now(),
            last_activity_ms: AtomicU64::new(0),
            requests: AtomicUsize::new(0),
        });
        self.lock().insert(address, Arc::clone(&activity));
        Ok(Socket {
            stream,
            address,
            idle_timer: Box::pin(time::sleep_until(activity.idle_deadline())),
            activity,
            sockets: self.clone(),
            _token: self.shared.tracker.token(),
        })
    }

    /// Marks a connection as active; drop the returned value when the reply is complete.
    pub fn begin_request(&self, address: SocketAddr) -> Option<ActiveRequest> {
        let activity = Arc::clone(self.lock().get(&address)?);
        activity.requests.fetch_add(1, SeqCst);
        Some(ActiveRequest(activity))
    }

    /// Returns the number of open connections.
    pub fn len(&self) -> usize {
        self.shared.tracker.len()
    }

    /// Returns whether no connection is open.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Waits until all connections have ended, after their last reply or by the idle timeout.
    pub async fn drain(&self) {
        self.shared.tracker.close();
        self.shared.tracker.wait().await;
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<SocketAddr, Arc<Activity>>> {
        let connections = self.shared.connections.lock();
        connections.unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for Socket {
    fn drop(&mut self) {
        self.sockets.lock().remove(&self.address);
    }
}

impl AsyncRead for Socket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        // An idle connection that its caller keeps open would delay a planned stop forever, so it is
        // closed by reporting the end of input after the idle timeout. This applies at any time, not
        // only during a stop: a caller whose last reply preceded the stop was not told to close the
        // connection and may reuse it. It does not apply while a request is active, as the server
        // would assume that the caller has disconnected.
        while self.idle_timer.as_mut().poll(context).is_ready() {
            let idle_deadline = self.activity.idle_deadline();
            if idle_deadline <= Instant::now() {
                return Poll::Ready(Ok(()));
            }
            self.idle_timer.as_mut().reset(idle_deadline);
        }
        let filled_before = buffer.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(context, buffer);
        if buffer.filled().len() > filled_before {
            self.activity.record();
        }
        polled
    }
}

impl AsyncWrite for Socket {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.activity.record();
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.activity.record();
        Pin::new(&mut self.stream).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}

/// Keeps the connection marked as active until the body of the reply has been sent.
pub fn with_active_request(body: Body, active_request: Option<ActiveRequest>) -> Body {
    match active_request {
        Some(active_request) => BodyWithRequest {
            body,
            _active_request: active_request,
        }
        .boxed_unsync(),
        None => body,
    }
}

struct BodyWithRequest {
    body: Body,
    _active_request: ActiveRequest,
}

impl hyper::body::Body for BodyWithRequest {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        Pin::new(&mut self.body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
