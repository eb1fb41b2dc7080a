//! Callers that send more than they may, or stop in the middle, and keep their connections.

use std::{net::SocketAddr, time::Duration};

use celerypond_standins::caller::open_head;
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::TcpStream,
    task::JoinSet,
    time::{sleep, timeout},
};

/// How long a caller waits for a connection to be accepted.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(5);
/// How long the members of a crowd may take to send all that they send.
const SEND_TIMEOUT: Duration = Duration::from_secs(60);
/// How long a write may wait; the instance has stopped reading then.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);

/// What each member of a crowd sends after the head of its request.
#[derive(Clone, Debug)]
pub(crate) struct Shape {
    /// What follows the line and the headers that all have; `None` if no head is sent.
    pub(crate) headers: Option<String>,
    /// What is sent again and again.
    pub(crate) piece: Vec<u8>,
    /// How often; endless crowds send until they are cut off.
    pub(crate) pieces: usize,
    /// What is sent last.
    pub(crate) last: Vec<u8>,
    /// The pause between two pieces.
    pub(crate) pause: Option<Duration>,
}

/// Callers with open connections, which are closed when this is dropped.
pub(crate) struct Crowd {
    members: JoinSet<()>,
    statuses: tokio::sync::mpsc::UnboundedReceiver<u16>,
}

impl Crowd {
    /// Sends a request of this shape on each of `count` connections at once, and returns when each
    /// has sent all or cannot send more.
    pub(crate) async fn gather(address: SocketAddr, count: usize, shape: &Shape) -> Self {
        let mut members = JoinSet::new();
        let (status_sender, statuses) = tokio::sync::mpsc::unbounded_channel();
        let (sent, mut all_sent) = tokio::sync::mpsc::channel::<()>(1);
        for number in 0..count {
            let (shape, sent, status_sender) = (shape.clone(), sent.clone(), status_sender.clone());
            members.spawn(async move {
                let connect = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
                let Ok(Ok(mut stream)) = connect else {
                    return;
                };
                send(&mut stream, number, &shape).await;
                drop(sent);
                let _ = status_sender.send(read_status(&mut stream).await);
                // A caller that was answered or cut off keeps its socket as well.
                std::future::pending::<()>().await;
            });
        }
        drop(sent);
        let is_sent = timeout(SEND_TIMEOUT, all_sent.recv()).await;
        assert!(
            is_sent.is_ok(),
            "the instance reads no more: {}",
            members.len()
        );
        Self { members, statuses }
    }

    /// Returns the statuses that members got so far; 0 for a connection that was closed without.
    pub(crate) fn statuses(&mut self) -> Vec<u16> {
        std::iter::from_fn(|| self.statuses.try_recv().ok()).collect()
    }

    pub(crate) async fn leave(mut self) {
        self.members.shutdown().await;
    }
}

async fn send(stream: &mut TcpStream, number: usize, shape: &Shape) {
    let Some(headers) = &shape.headers else {
        return;
    };
    let id = format!("crowd-{number}");
    let head = open_head("POST /unsafe/crowd", &id, 60_000, headers);
    if !write(stream, &head).await {
        return;
    }
    for _ in 0..shape.pieces {
        if !write(stream, &shape.piece).await {
            return;
        }
        if let Some(pause) = shape.pause {
            sleep(pause).await;
        }
    }
    write(stream, &shape.last).await;
}

async fn write(stream: &mut TcpStream, bytes: &[u8]) -> bool {
    matches!(
        timeout(WRITE_TIMEOUT, stream.write_all(bytes)).await,
        Ok(Ok(()))
    )
}

async fn read_status(stream: &mut TcpStream) -> u16 {
    let mut buffer = Vec::new();
    while buffer.len() < 12 {
        if !matches!(stream.read_buf(&mut buffer).await, Ok(read) if read > 0) {
            return 0;
        }
    }
    let status = buffer
        .get(9..12)
        .and_then(|digits| str::from_utf8(digits).ok());
    status.and_then(|status| status.parse().ok()).unwrap_or(0)
}
