//! Accepts connections until the instance ends.

use std::future::Future;

use tokio::{
    net::{TcpListener, TcpStream},
    task::JoinSet,
};
use tokio_util::sync::CancellationToken;

/// Serves each connection of a listener in its own task until `shutdown`, then aborts all of them.
pub async fn serve<F>(
    listener: TcpListener,
    shutdown: CancellationToken,
    handle: impl Fn(TcpStream) -> F,
) where
    F: Future<Output = ()> + Send + 'static,
{
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            () = shutdown.cancelled() => break,
            accepted = listener.accept() => {
                // If a connection cannot be accepted, the peer retries.
                if let Ok((socket, _)) = accepted {
                    connections.spawn(handle(socket));
                }
            }
            Some(_) = connections.join_next() => {}
        }
    }
    connections.shutdown().await;
}
