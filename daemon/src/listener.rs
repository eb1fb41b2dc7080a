//! Accepts connections until the instance ends.

use std::{collections::VecDeque, future::Future, io, sync::Arc, time::Duration};

use tokio::{
    net::{TcpListener, TcpStream},
    task::{AbortHandle, JoinSet},
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

impl Accept for Arc<TcpListener> {
    async fn accept(&self) -> io::Result<TcpStream> {
        Accept::accept(&**self).await
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
///
/// At most `max_connections` are open: the oldest one is aborted for a new one, since clients that
/// only keep their connections would shut out all others.
pub async fn serve<F>(
    listener: impl Accept,
    max_connections: usize,
    shutdown: CancellationToken,
    handle: impl Fn(TcpStream) -> F,
) where
    F: Future<Output = ()> + Send + 'static,
{
    let mut connections = JoinSet::new();
    let mut handles: VecDeque<AbortHandle> = VecDeque::new();
    loop {
        tokio::select! {
            () = shutdown.cancelled() => break,
            stream = accept(&listener) => {
                if handles.len() >= max_connections {
                    handles.retain(|handle| !handle.is_finished());
                }
                if connections.len() >= max_connections && let Some(oldest) = handles.pop_front() {
                    oldest.abort();
                    // The aborted one returns its descriptor.
                    let _ = connections.join_next().await;
                }
                handles.push_back(connections.spawn(handle(stream)));
            }
            Some(_) = connections.join_next() => {}
        }
    }
    connections.shutdown().await;
}
