//! The HTTP server of the stand-ins.

use std::{convert::Infallible, future::Future, net::SocketAddr};

use bytes::Bytes;
use http::{Request, StatusCode};
use http_body_util::BodyExt;
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;
use tokio::{
    net::{TcpListener, TcpStream},
    task::{JoinHandle, JoinSet},
};

use crate::reply::{self, Reply};

/// An HTTP server that runs until it is dropped.
#[derive(Debug)]
pub struct Server {
    /// The address on which it listens.
    pub address: SocketAddr,
    task: JoinHandle<()>,
}

impl Server {
    /// Listens on `address` and replies to each request with the result of `handler`.
    ///
    /// # Errors
    ///
    /// Returns an I/O error if the address cannot be bound.
    pub async fn start<H, F>(address: SocketAddr, handler: H) -> std::io::Result<Self>
    where
        H: Fn(Request<Bytes>) -> F + Clone + Send + 'static,
        F: Future<Output = Reply> + Send + 'static,
    {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let task = tokio::spawn(accept_connections(listener, handler));
        Ok(Self { address, task })
    }

    /// Waits until the server stops.
    pub async fn wait(&mut self) {
        // The task ends only when it is aborted, so its result is of no interest.
        let _ = (&mut self.task).await;
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        // The task owns the set of connections, so they are closed with it.
        self.task.abort();
    }
}

async fn accept_connections<H, F>(listener: TcpListener, handler: H)
where
    H: Fn(Request<Bytes>) -> F + Clone + Send + 'static,
    F: Future<Output = Reply> + Send + 'static,
{
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                if let Ok((socket, _)) = accepted {
                    connections.spawn(serve_connection(socket, handler.clone()));
                }
            }
            Some(_) = connections.join_next() => {}
        }
    }
}

async fn serve_connection<H, F>(socket: TcpStream, handler: H)
where
    H: Fn(Request<Bytes>) -> F + Clone + Send + 'static,
    F: Future<Output = Reply> + Send + 'static,
{
    // Without TCP_NODELAY, a delayed acknowledgement would add 40 ms to small events.
    let _ = socket.set_nodelay(true);
    let service = service_fn(move |request: Request<Incoming>| {
        let handler = handler.clone();
        async move {
            let (head, body) = request.into_parts();
            let reply = match body.collect().await {
                Ok(body) => handler(Request::from_parts(head, body.to_bytes())).await,
                Err(_) => reply::empty(StatusCode::BAD_REQUEST),
            };
            Ok::<_, Infallible>(reply)
        }
    });
    // An error here means that the caller closed the connection early, which is expected.
    let _ = http1::Builder::new()
        .serve_connection(TokioIo::new(socket), service)
        .await;
}
