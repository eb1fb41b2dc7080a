//! Accepts connections until the instance ends.

use std::{future::Future, io, time::Duration};

use tokio::{
    net::{TcpListener, TcpStream},
    task::JoinSet,
};
use tokio_util::sync::CancellationToken;

/// The delay before accepting again after a failure, which is usually due to a lack of file
/// descriptors. The connection stays in the queue, so accepting it would fail again at once.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// A listener whose connections are accepted one after another.
pub trait Accept {
    /// Waits for a connection. If this is cancelled, no connection is lost.
    fn accept(&self) -> impl Future<Output = io::Result<TcpStream>> + Send;
}

impl Accept for TcpListener {
    async fn accept(&self) -> io::Result<TcpStream> {
        let (stream, _) = Self::accept(self).await?;
        Ok(stream)
    }
}

/// Accepts a connection, and pauses after each failure.
pub async fn accept(listener: &impl Accept) -> TcpStream {
    loop {
        match listener.accept().await {
            Ok(stream) => return stream,
            Err(error) => {
                log::warn!(error:% = error; "cannot accept a connection");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Serves each connection of a listener in its own task until `shutdown`, then aborts all of them.
pub async fn serve<F>(
    listener: impl Accept,
    shutdown: CancellationToken,
    handle: impl Fn(TcpStream) -> F,
) where
    F: Future<Output = ()> + Send + 'static,
{
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            () = shutdown.cancelled() => break,
            stream = accept(&listener) => {
                connections.spawn(handle(stream));
            }
            Some(_) = connections.join_next() => {}
        }
    }
    connections.shutdown().await;
}
