//! A socket whose end is an error while a request is being written.

use std::{
    io,
    pin::Pin,
    task::{ready, Context, Poll},
};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use super::upload::Upload;

/// A socket whose end is an error while a request is being written.
pub(super) struct UploadSocket<S> {
    socket: S,
    upload: Upload,
}

impl<S> UploadSocket<S> {
    pub(super) const fn new(socket: S, upload: Upload) -> Self {
        Self { socket, upload }
    }

    fn record_write(&self, written: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        self.upload.set_write_blocked(written.is_pending());
        written
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for UploadSocket<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let filled = buffer.filled().len();
        ready!(Pin::new(&mut self.socket).poll_read(context, buffer))?;
        let is_end = buffer.filled().len() == filled && buffer.remaining() > 0;
        Poll::Ready(match is_end && self.upload.is_unfinished() {
            true => Err(io::ErrorKind::ConnectionReset.into()),
            false => Ok(()),
        })
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for UploadSocket<S> {
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
