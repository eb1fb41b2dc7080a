//! Receive times of datagrams from other instances.

use std::{net::UdpSocket as Sender, sync::Arc, time::Duration};

use celerypond_daemon::relay::Inbox;
use celerypond_standins::loopback::unused_address;
use tokio::{
    net::UdpSocket,
    time::{sleep, Instant},
};

// Guards against a process that was paused and then treats reports that were queued in its socket as new.
#[tokio::test]
async fn datagram_that_the_runtime_has_not_polled_counts_from_before_it_was_sent() {
    let socket = Arc::new(UdpSocket::bind(unused_address()).await.unwrap());
    let to = socket.local_addr().unwrap();
    let mut inbox = Inbox::new(Arc::clone(&socket));
    let mut buffer = [0; 16];
    sleep(Duration::from_millis(20)).await;
    assert!(inbox.next(&mut buffer).is_none());
    let sent = Instant::now();
    let sender = Sender::bind("127.0.0.1:0").unwrap();
    sender.send_to(b"report", to).unwrap();
    // This blocks the thread of the runtime, which thus does not notice the datagram.
    std::thread::sleep(Duration::from_millis(50));
    assert!(inbox.next(&mut buffer).is_none());
    socket.readable().await.unwrap();
    let received = inbox.next(&mut buffer).unwrap();
    assert_eq!(&buffer[..received.len], b"report");
    assert_eq!(received.from, sender.local_addr().unwrap());
    assert!(received.earliest_arrival <= sent);
}
