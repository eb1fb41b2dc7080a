//! Datagrams of other instances, with the time since when each may have waited.

use std::{mem::MaybeUninit, sync::Arc};

use socket2::SockRef;
use tokio::{net::UdpSocket, time::Instant};

/// Receives datagrams and tells how long each may have waited unread.
///
/// What a process that was paused reads when it goes on was sent during the pause. A datagram may be as old as the last
/// moment at which none was waiting.
pub struct Inbox {
    socket: Arc<UdpSocket>,
    /// The last moment at which no datagram was waiting.
    emptied: Instant,
}

impl Inbox {
    /// Makes the inbox of a socket that was just bound.
    pub fn new(socket: Arc<UdpSocket>) -> Self {
        Self {
            socket,
            emptied: Instant::now(),
        }
    }

    /// Receives a datagram that has arrived, with the earliest moment at which it may have.
    pub fn next(&mut self, buffer: &mut [u8]) -> Option<(usize, Instant)> {
        let now = Instant::now();
        match self.socket.try_recv_from(buffer) {
            Ok((len, _)) => Some((len, self.emptied)),
            Err(_) => {
                if !self.is_waiting() {
                    self.emptied = now;
                }
                None
            }
        }
    }

    /// Returns whether the system has a datagram. The runtime does not know of one that arrived since it last polled,
    /// as long as that may be after a pause.
    fn is_waiting(&self) -> bool {
        let mut byte = [MaybeUninit::uninit()];
        SockRef::from(&*self.socket).peek(&mut byte).is_ok()
    }
}
