//! Connections from callers, and how a planned stop ends them.
//!
//! gotham serves each connection in a task that it does not give out. A connection therefore
//! carries a token of a tracker, which tells when all of them have ended.

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

/// After how long an idle connection is closed.
const IDLE_CLOSE: Duration = Duration::from_millis(IDLE_CLOSE_MS);

/// All connections from callers.
#[derive(Clone, Default)]
pub struct Sockets {
    shared: Arc<Shared>,
}

#[derive(Default)]
struct Shared {
    open: Mutex<HashMap<SocketAddr, Arc<Use>>>,
    tracker: TaskTracker,
}

/// The use of one connection.
struct Use {
    born: Instant,
    /// When bytes last moved or a reply was last complete, in milliseconds after `born`.
    last_ms: AtomicU64,
    /// How many requests are not fully answered.
    requests: AtomicUsize,
}

impl Use {
    fn touch(&self) {
        let now_ms = self.born.elapsed().as_millis() as u64;
        self.last_ms.fetch_max(now_ms, SeqCst);
    }

    /// Returns when the connection has been idle for long enough, if nothing happens until then.
    fn closes_at(&self) -> Instant {
        let last = self.born + Duration::from_millis(self.last_ms.load(SeqCst));
        match self.requests.load(SeqCst) {
            0 => last + IDLE_CLOSE,
            _ => Instant::now() + IDLE_CLOSE,
        }
    }
}

/// A connection from a caller.
pub struct Socket {
    stream: TcpStream,
    address: SocketAddr,
    usage: Arc<Use>,
    closing: Pin<Box<Sleep>>,
    sockets: Sockets,
    _token: TaskTrackerToken,
}

/// Marks a connection as having a request that is not fully answered.
pub struct Busy(Arc<Use>);

impl Drop for Busy {
    fn drop(&mut self) {
        self.0.touch();
        self.0.requests.fetch_sub(1, SeqCst);
    }
}

impl Sockets {
    /// Takes a new connection in.
    ///
    /// # Errors
    ///
    /// Fails when the caller is gone already.
    #[expect(
        clippy::result_unit_err,
        reason = "this is the form that gotham asks for"
    )]
    pub fn admit(&self, stream: TcpStream) -> Result<Socket, ()> {
        let address = stream.peer_addr().map_err(drop)?;
        // Without this, the second small write of a reply waits for an acknowledgement.
        stream.set_nodelay(true).map_err(drop)?;
        let usage = Arc::new(Use {
            born: Instant::now(),
            last_ms: AtomicU64::new(0),
            requests: AtomicUsize::new(0),
        });
        self.lock().insert(address, Arc::clone(&usage));
        Ok(Socket {
            stream,
            address,
            closing: Box::pin(time::sleep_until(usage.closes_at())),
            usage,
            sockets: self.clone(),
            _token: self.shared.tracker.token(),
        })
    }

    /// Returns the mark of a connection's request, to be dropped with the end of its reply.
    pub fn busy(&self, address: SocketAddr) -> Option<Busy> {
        let usage = Arc::clone(self.lock().get(&address)?);
        usage.requests.fetch_add(1, SeqCst);
        Some(Busy(usage))
    }

    /// Returns how many connections are open.
    pub fn len(&self) -> usize {
        self.shared.tracker.len()
    }

    /// Returns whether no connection is open.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Waits until all connections have ended, after a last reply or for being idle.
    pub async fn drain(&self) {
        self.shared.tracker.close();
        self.shared.tracker.wait().await;
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<SocketAddr, Arc<Use>>> {
        let open = self.shared.open.lock();
        open.unwrap_or_else(PoisonError::into_inner)
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
        // The failure: an idle connection is kept open by its caller, and the stop never ends. An
        // end of input closes it, at any time and not for the stop: a caller whose last reply came
        // before the stop was not told that the connection closes, and uses it again. While a
        // request is answered there is no such end, since the server would take it for a caller
        // that has gone.
        while self.closing.as_mut().poll(context).is_ready() {
            let closes_at = self.usage.closes_at();
            if closes_at <= Instant::now() {
                return Poll::Ready(Ok(()));
            }
            self.closing.as_mut().reset(closes_at);
        }
        let before = buffer.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(context, buffer);
        if buffer.filled().len() > before {
            self.usage.touch();
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
        self.usage.touch();
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
        self.usage.touch();
        Pin::new(&mut self.stream).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}

/// Keeps a connection busy until the body of its reply has been sent.
pub fn hold(body: Body, busy: Option<Busy>) -> Body {
    match busy {
        Some(busy) => Held { body, _busy: busy }.boxed_unsync(),
        None => body,
    }
}

struct Held {
    body: Body,
    _busy: Busy,
}

impl hyper::body::Body for Held {
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
