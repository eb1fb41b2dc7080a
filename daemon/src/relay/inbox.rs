//! Receives datagrams of other instances, with the earliest time at which each may have arrived.

use std::{mem::MaybeUninit, net::SocketAddr, sync::Arc};

use socket2::SockRef;
use tokio::{net::UdpSocket, time::Instant};

/// A datagram that was received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Received {
    /// Its length in bytes.
    pub len: usize,
    /// The address that it was sent from.
    pub from: SocketAddr,
    /// The earliest moment at which it may have arrived.
    pub earliest_arrival: Instant,
}

/// Receives datagrams and reports how long each may have waited unread.
///
/// A process that was paused reads datagrams that were sent during the pause. A datagram may be as
/// old as the last moment at which none was waiting.
///
/// # Examples
///
/// ```
/// # #[tokio::main(flavor = "current_thread")]
/// # async fn main() -> std::io::Result<()> {
/// use std::sync::Arc;
///
/// use celerypond_daemon::relay::Inbox;
/// use tokio::net::UdpSocket;
///
/// let socket = Arc::new(UdpSocket::bind("127.0.0.1:0").await?);
/// let mut inbox = Inbox::new(Arc::clone(&socket));
/// socket.send_to(b"notice", socket.local_addr()?).await?;
/// socket.readable().await?;
/// let received = inbox.next(&mut [0; 16]).expect("a datagram has arrived");
/// assert_eq!(received.len, 6);
/// # Ok(())
/// # }
/// ```
pub struct Inbox {
    socket: Arc<UdpSocket>,
    /// The last moment at which no datagram was waiting.
    emptied: Instant,
}

impl Inbox {
    /// Creates the inbox of a socket that was just bound.
    pub fn new(socket: Arc<UdpSocket>) -> Self {
        Self {
            socket,
            emptied: Instant::now(),
        }
    }

    /// Receives a datagram that has arrived.
    pub fn next(&mut self, buffer: &mut [u8]) -> Option<Received> {
        let now = Instant::now();
        match self.socket.try_recv_from(buffer) {
            Ok((len, from)) => Some(Received {
                len,
                from,
                earliest_arrival: self.emptied,
            }),
            Err(_) => {
                if !self.is_waiting() {
                    self.emptied = now;
                }
                None
            }
        }
    }

    /// Returns whether a datagram is waiting in the kernel. The runtime does not know of one that
    /// arrived after it last polled.
    fn is_waiting(&self) -> bool {
        let mut byte = [MaybeUninit::uninit()];
        SockRef::from(&*self.socket).peek(&mut byte).is_ok()
    }
}
