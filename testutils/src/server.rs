//! A small HTTP server for the stand-ins.

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

/// A stand-in that serves until it is dropped.
#[derive(Debug)]
pub struct Server {
    /// Where it listens.
    pub address: SocketAddr,
    task: JoinHandle<()>,
}

impl Server {
    /// Listens on `address` and answers each request with `handle`.
    ///
    /// # Errors
    ///
    /// Gives the system's error when the address cannot be bound.
    pub async fn start<H, F>(address: SocketAddr, handle: H) -> std::io::Result<Self>
    where
        H: Fn(Request<Bytes>) -> F + Clone + Send + 'static,
        F: Future<Output = Reply> + Send + 'static,
    {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let task = tokio::spawn(accept(listener, handle));
        Ok(Self { address, task })
    }

    /// Waits for as long as the stand-in serves.
    pub async fn wait(&mut self) {
        // An abort is the ordinary end, so the result says nothing.
        let _ = (&mut self.task).await;
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        // Connections live in a set owned by this task, so they close with it.
        self.task.abort();
    }
}

async fn accept<H, F>(listener: TcpListener, handle: H)
where
    H: Fn(Request<Bytes>) -> F + Clone + Send + 'static,
    F: Future<Output = Reply> + Send + 'static,
{
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                if let Ok((socket, _)) = accepted {
                    connections.spawn(connection(socket, handle.clone()));
                }
            }
            Some(_) = connections.join_next() => {}
        }
    }
}

async fn connection<H, F>(socket: TcpStream, handle: H)
where
    H: Fn(Request<Bytes>) -> F + Clone + Send + 'static,
    F: Future<Output = Reply> + Send + 'static,
{
    // A delayed acknowledgement would add 40 ms to small events.
    let _ = socket.set_nodelay(true);
    let service = service_fn(move |request: Request<Incoming>| {
        let handle = handle.clone();
        async move {
            let (head, body) = request.into_parts();
            let answer = match body.collect().await {
                Ok(body) => handle(Request::from_parts(head, body.to_bytes())).await,
                Err(_) => reply::empty(StatusCode::BAD_REQUEST),
            };
            Ok::<_, Infallible>(answer)
        }
    });
    // A caller that goes away in the middle is an ordinary end.
    let _ = http1::Builder::new()
        .serve_connection(TokioIo::new(socket), service)
        .await;
}
