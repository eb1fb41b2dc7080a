//! A socket whose framing is limited.

use std::{
    io,
    pin::Pin,
    task::{ready, Context, Poll},
};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use super::framing_meter::FramingMeter;

/// A socket from which reads fail once too much was read without a message.
pub(super) struct MeteredSocket<S> {
    socket: S,
    meter: FramingMeter,
}

impl<S> MeteredSocket<S> {
    pub(super) const fn new(socket: S, meter: FramingMeter) -> Self {
        Self { socket, meter }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for MeteredSocket<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let filled = buffer.filled().len();
        ready!(Pin::new(&mut self.socket).poll_read(context, buffer))?;
        let is_allowed = self.meter.add(buffer.filled().len() - filled);
        Poll::Ready(match is_allowed {
            true => Ok(()),
            false => Err(io::ErrorKind::InvalidData.into()),
        })
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for MeteredSocket<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.socket).poll_write(context, bytes)
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
        Pin::new(&mut self.socket).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.socket.is_write_vectored()
    }
}
