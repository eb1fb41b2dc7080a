//! Accepting connections.

use std::{
    future, io,
    sync::{
        atomic::{AtomicUsize, Ordering::Relaxed},
        Arc,
    },
    time::Duration,
};

use celerypond_daemon::listener::{self, Accept};
use tokio::{
    io::AsyncReadExt as _,
    net::{TcpListener, TcpStream},
    time::{sleep, Instant},
};
use tokio_util::sync::CancellationToken;

/// More attempts than a listener that pauses makes in the time of a test.
const MAX_ATTEMPTS: usize = 10_000;

/// A listener that fails as one without file descriptors does: at once, and again and again. After some attempts it
/// accepts connections of another listener.
struct FailingListener {
    attempts: Arc<AtomicUsize>,
    failures: usize,
    inner: TcpListener,
}

impl FailingListener {
    async fn new(failures: usize) -> Self {
        Self {
            attempts: Arc::default(),
            failures,
            inner: TcpListener::bind("127.0.0.1:0").await.unwrap(),
        }
    }
}

impl Accept for FailingListener {
    async fn accept(&self) -> io::Result<TcpStream> {
        let attempt = self.attempts.fetch_add(1, Relaxed);
        if attempt >= MAX_ATTEMPTS {
            future::pending::<()>().await;
        }
        if attempt < self.failures {
            return Err(io::Error::other("no file descriptors"));
        }
        Accept::accept(&self.inner).await
    }
}

// Guards against an instance that spends its processor on failing to accept connections.
#[tokio::test(start_paused = true)]
async fn accepting_pauses_after_each_failure() {
    let failing = FailingListener::new(usize::MAX).await;
    let attempts = Arc::clone(&failing.attempts);
    let shutdown = CancellationToken::new();
    let serving = listener::serve(failing, usize::MAX, shutdown.clone(), |_| future::ready(()));
    let serving = tokio::spawn(serving);
    sleep(Duration::from_secs(2)).await;
    shutdown.cancel();
    serving.await.unwrap();
    let attempts = attempts.load(Relaxed);
    assert!((2..=200).contains(&attempts), "{attempts} in two seconds");
}

// Guards against an instance that accepts no connections after it failed to.
#[tokio::test(start_paused = true)]
async fn connections_are_accepted_soon_after_failures() {
    let failing = FailingListener::new(5).await;
    let address = failing.inner.local_addr().unwrap();
    let started = Instant::now();
    let _connection = TcpStream::connect(address).await.unwrap();
    let _accepted = listener::accept(&failing).await;
    assert!(started.elapsed() < Duration::from_millis(500));
}

// Guards against clients that shut out all others by keeping their connections.
#[tokio::test]
async fn oldest_connection_is_closed_for_a_new_one() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let shutdown = CancellationToken::new();
    let hold = |stream: TcpStream| async move {
        let _stream = stream;
        future::pending::<()>().await;
    };
    let serving = tokio::spawn(listener::serve(listener, 2, shutdown.clone(), hold));
    let mut connections = Vec::new();
    for _ in 0..3 {
        connections.push(TcpStream::connect(address).await.unwrap());
    }
    let mut byte = [0; 1];
    assert_eq!(connections[0].read(&mut byte).await.unwrap(), 0);
    shutdown.cancel();
    serving.await.unwrap();
}
