//! A scripted HTTP server that stands in for the platform.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use celerypond_platform::{Client, ClientSettings, Rates};
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::{TcpListener, TcpStream},
    task::JoinSet,
};

pub(crate) const TIMEOUT: Duration = Duration::from_millis(150);
pub(crate) const HIGH_RATES: Rates = Rates {
    reads: 1000.0,
    writes: 1000.0,
    burst: Duration::from_secs(1),
};

/// What the server does with a request.
pub(crate) enum Reply {
    Send(String),
    Delayed(Duration, String),
    /// Sends the pieces of a response, with this pause before each of them.
    Trickle(Duration, Vec<String>),
    Silent,
    Close,
    SendClose(String),
}

/// Returns the reply to a request. The arguments are the index of the connection, the index of the
/// request on that connection, and the head of the request.
pub(crate) type Script = dyn Fn(usize, usize, &str) -> Reply + Send + Sync;

pub(crate) struct Server {
    pub(crate) address: SocketAddr,
    _tasks: JoinSet<()>,
}

impl Server {
    pub(crate) async fn start(
        script: impl Fn(usize, usize, &str) -> Reply + Send + Sync + 'static,
    ) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let script: Arc<Script> = Arc::new(script);
        let mut tasks = JoinSet::new();
        tasks.spawn(async move {
            let mut connections = JoinSet::new();
            for connection in 0.. {
                let (stream, _) = listener.accept().await.unwrap();
                connections.spawn(serve(stream, connection, script.clone()));
            }
        });
        Self {
            address,
            _tasks: tasks,
        }
    }
}

pub(crate) fn client(address: SocketAddr, rates: Rates) -> Client {
    client_with_addresses(vec![address], rates)
}

pub(crate) fn client_with_addresses(addresses: Vec<SocketAddr>, rates: Rates) -> Client {
    Client::new(&ClientSettings {
        addresses,
        connect_timeout: TIMEOUT,
        timeout: TIMEOUT,
        rates,
    })
}

pub(crate) fn reply(status: &str, headers: &str, body: &str) -> Reply {
    Reply::Send(text(status, headers, body))
}

pub(crate) fn text(status: &str, headers: &str, body: &str) -> String {
    let length = body.len();
    format!("HTTP/1.1 {status}\r\ncontent-length: {length}\r\n{headers}\r\n{body}")
}

async fn serve(mut stream: TcpStream, connection: usize, script: Arc<Script>) {
    for request in 0.. {
        let Some(head) = read_head(&mut stream).await else {
            return;
        };
        match script(connection, request, &head) {
            Reply::Send(text) => _ = stream.write_all(text.as_bytes()).await,
            Reply::Delayed(wait, text) => {
                tokio::time::sleep(wait).await;
                _ = stream.write_all(text.as_bytes()).await;
            }
            Reply::Trickle(pause, pieces) => {
                for piece in pieces {
                    tokio::time::sleep(pause).await;
                    _ = stream.write_all(piece.as_bytes()).await;
                }
            }
            Reply::Silent => std::future::pending().await,
            Reply::Close => return,
            Reply::SendClose(text) => {
                _ = stream.write_all(text.as_bytes()).await;
                return;
            }
        }
    }
}

/// Reads a request and its body, and returns its head.
async fn read_head(stream: &mut TcpStream) -> Option<String> {
    let mut read = Vec::new();
    loop {
        let mut chunk = [0; 4096];
        let count = stream.read(&mut chunk).await.ok().filter(|n| *n > 0)?;
        read.extend_from_slice(&chunk[..count]);
        let text = String::from_utf8_lossy(&read);
        let Some((head, body)) = text.split_once("\r\n\r\n") else {
            continue;
        };
        let length = head
            .lines()
            .find_map(|line| line.strip_prefix("content-length: "))
            .map_or(0, |text| text.parse().unwrap());
        if body.len() >= length {
            return Some(head.to_owned());
        }
    }
}
