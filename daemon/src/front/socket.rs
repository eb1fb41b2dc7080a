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
        atomic::{AtomicBool, Ordering::SeqCst},
        Arc, Mutex, MutexGuard, PoisonError,
    },
    task::{Context, Poll},
};

use bytes::Bytes;
use gotham::helpers::http::Body;
use http_body_util::BodyExt;
use hyper::body::{Frame, SizeHint};
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};
use tokio_util::{
    sync::{CancellationToken, WaitForCancellationFutureOwned},
    task::{task_tracker::TaskTrackerToken, TaskTracker},
};

/// All connections from callers.
#[derive(Clone, Default)]
pub struct Sockets {
    shared: Arc<Shared>,
}

#[derive(Default)]
struct Shared {
    open: Mutex<HashMap<SocketAddr, Arc<AtomicBool>>>,
    tracker: TaskTracker,
    closing: CancellationToken,
}

/// A connection from a caller.
pub struct Socket {
    stream: TcpStream,
    address: SocketAddr,
    busy: Arc<AtomicBool>,
    closing: Pin<Box<WaitForCancellationFutureOwned>>,
    sockets: Sockets,
    _token: TaskTrackerToken,
}

/// Marks a connection as having a request that is not fully answered.
pub struct Busy(Arc<AtomicBool>);

impl Drop for Busy {
    fn drop(&mut self) {
        self.0.store(false, SeqCst);
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
        let busy = Arc::new(AtomicBool::new(false));
        self.lock().insert(address, Arc::clone(&busy));
        Ok(Socket {
            stream,
            address,
            busy,
            closing: Box::pin(self.shared.closing.clone().cancelled_owned()),
            sockets: self.clone(),
            _token: self.shared.tracker.token(),
        })
    }

    /// Returns the mark of a connection's request, to be dropped with the end of its reply.
    pub fn busy(&self, address: SocketAddr) -> Option<Busy> {
        let busy = Arc::clone(self.lock().get(&address)?);
        busy.store(true, SeqCst);
        Some(Busy(busy))
    }

    /// Returns how many connections are open.
    pub fn len(&self) -> usize {
        self.shared.tracker.len()
    }

    /// Returns whether no connection is open.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Ends idle connections at once and the others after their replies, and waits for all.
    pub async fn drain(&self) {
        self.shared.closing.cancel();
        self.shared.tracker.close();
        self.shared.tracker.wait().await;
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<SocketAddr, Arc<AtomicBool>>> {
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
        // end of input closes it. While a request is read or answered the connection is busy and
        // gets no such end, since the server would take it for a caller that has gone.
        let is_closing = self.closing.as_mut().poll(context).is_ready();
        if is_closing && !self.busy.load(SeqCst) {
            return Poll::Ready(Ok(()));
        }
        let before = buffer.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(context, buffer);
        if buffer.filled().len() > before {
            self.busy.store(true, SeqCst);
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
