//! A socket whose reads and writes are observed.

use std::{
    io,
    pin::Pin,
    task::{ready, Context, Poll},
};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// A socket that passes on what is read and written, and reports it.
///
/// `on_read` gets the number of bytes of each read, 0 at the end, and may make the read fail.
/// `on_write` gets whether a write waits.
pub(super) struct ObservedSocket<S, R, W> {
    socket: S,
    on_read: R,
    on_write: W,
}

impl<S, R, W> ObservedSocket<S, R, W>
where
    R: FnMut(usize) -> io::Result<()>,
    W: FnMut(bool),
{
    pub(super) const fn new(socket: S, on_read: R, on_write: W) -> Self {
        Self {
            socket,
            on_read,
            on_write,
        }
    }

    fn record_write(&mut self, written: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        (self.on_write)(written.is_pending());
        written
    }
}

impl<S, R, W> AsyncRead for ObservedSocket<S, R, W>
where
    S: AsyncRead + Unpin,
    R: FnMut(usize) -> io::Result<()> + Unpin,
    W: Unpin,
{
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let (filled, room) = (buffer.filled().len(), buffer.remaining());
        ready!(Pin::new(&mut self.socket).poll_read(context, buffer))?;
        // A read without room says nothing of the end.
        Poll::Ready(match room {
            0 => Ok(()),
            _ => (self.on_read)(buffer.filled().len() - filled),
        })
    }
}

impl<S, R, W> AsyncWrite for ObservedSocket<S, R, W>
where
    S: AsyncWrite + Unpin,
    R: FnMut(usize) -> io::Result<()> + Unpin,
    W: FnMut(bool) + Unpin,
{
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.socket).poll_write(context, bytes);
        self.record_write(written)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_shutdown(context)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.socket).poll_write_vectored(context, slices);
        self.record_write(written)
    }

    fn is_write_vectored(&self) -> bool {
        self.socket.is_write_vectored()
    }
}
