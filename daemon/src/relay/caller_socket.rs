//! The socket of a connection for requests.

use std::{
    future::Future as _,
    io,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll},
    time::Duration,
};

use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
    time::{sleep, Sleep},
};

use super::caller_connection::CallerConnection;

/// How often a read is put off for other connections to free what they hold, which they do when they
/// are scheduled next.
const MAX_YIELDS: usize = 100;

/// A socket that counts what is read and what its caller does not read.
pub(super) struct CallerSocket {
    stream: TcpStream,
    connection: Arc<CallerConnection>,
    /// The size of the buffer that was recorded.
    buffer: usize,
    /// How often the next read was put off.
    yields: usize,
    unread_timeout: Duration,
    /// The end of the time for which a response may remain unread; `None` while it is read.
    unread_timer: Option<Pin<Box<Sleep>>>,
}

impl CallerSocket {
    pub(super) const fn new(
        stream: TcpStream,
        connection: Arc<CallerConnection>,
        unread_timeout: Duration,
    ) -> Self {
        Self {
            stream,
            connection,
            buffer: 0,
            yields: 0,
            unread_timeout,
            unread_timer: None,
        }
    }

    /// Records the result of a write. One that waits fails once the caller has read nothing for too
    /// long.
    fn record_write(
        &mut self,
        written: Poll<io::Result<usize>>,
        context: &mut Context<'_>,
    ) -> Poll<io::Result<usize>> {
        if let Poll::Ready(result) = written {
            self.connection
                .record_written(result.as_ref().map_or(0, |len| *len));
            if self.unread_timer.take().is_some() {
                self.connection.unblock();
            }
            return Poll::Ready(result);
        }
        let timer = self.unread_timer.get_or_insert_with(|| {
            self.connection.block();
            Box::pin(sleep(self.unread_timeout))
        });
        match timer.as_mut().poll(context) {
            Poll::Ready(()) => Poll::Ready(Err(io::ErrorKind::TimedOut.into())),
            Poll::Pending => Poll::Pending,
        }
    }
}

impl AsyncRead for CallerSocket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.yields < MAX_YIELDS && self.connection.has_to_yield() {
            self.yields += 1;
            context.waker().wake_by_ref();
            return Poll::Pending;
        }
        self.yields = 0;
        let (room, filled) = (buffer.remaining(), buffer.filled().len());
        let held = room + self.connection.extend_head(0);
        if held != self.buffer {
            self.buffer = held;
            self.connection.record_buffer(held);
        }
        let polled = Pin::new(&mut self.stream).poll_read(context, buffer);
        self.connection.extend_head(buffer.filled().len() - filled);
        polled
    }
}

impl AsyncWrite for CallerSocket {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.record_write(written, context)
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
        let written = Pin::new(&mut self.stream).poll_write_vectored(context, slices);
        self.record_write(written, context)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
