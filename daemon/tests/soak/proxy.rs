//! A proxy on loopback whose connections misbehave.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use socket2::SockRef;
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::{
        tcp::{OwnedReadHalf, OwnedWriteHalf},
        TcpListener, TcpStream,
    },
    sync::watch,
    task::JoinHandle,
};

/// How the connections of a proxy behave.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum Link {
    /// Bytes pass.
    #[default]
    Sound,
    /// Bytes pass later.
    Slow(Duration),
    /// Nothing comes back.
    OneWay,
    /// Nothing passes.
    Silent,
}

/// A proxy on loopback whose connections misbehave.
pub(crate) struct Proxy {
    pub(crate) address: SocketAddr,
    link: watch::Sender<Link>,
    /// Counts the resets; each ends all connections.
    resets: watch::Sender<u64>,
    task: JoinHandle<()>,
}

impl Proxy {
    /// Starts a proxy before an address.
    pub(crate) async fn start(to: SocketAddr) -> Self {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
        let address = listener.local_addr().unwrap();
        let (link, _) = watch::channel(Link::Sound);
        let (resets, _) = watch::channel(0);
        let task = tokio::spawn(accept(listener, to, link.subscribe(), resets.subscribe()));
        Self {
            address,
            link,
            resets,
            task,
        }
    }

    /// Changes how all connections behave.
    pub(crate) fn set(&self, link: Link) {
        self.link.send_replace(link);
    }

    /// Resets all connections.
    pub(crate) fn reset(&self) {
        self.resets.send_modify(|count| *count += 1);
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn accept(
    listener: TcpListener,
    to: SocketAddr,
    link: watch::Receiver<Link>,
    resets: watch::Receiver<u64>,
) {
    let tasks = Arc::new(Mutex::new(tokio::task::JoinSet::new()));
    while let Ok((near, _)) = listener.accept().await {
        let (link, mut resets) = (link.clone(), resets.clone());
        resets.mark_unchanged();
        let mut tasks = tasks.lock().unwrap_or_else(PoisonError::into_inner);
        while tasks.try_join_next().is_some() {}
        tasks.spawn(async move {
            // An aborted connection is reset, on both sides.
            let _ = SockRef::from(&near).set_linger(Some(Duration::ZERO));
            let Ok(far) = TcpStream::connect(to).await else {
                return;
            };
            let _ = SockRef::from(&far).set_linger(Some(Duration::ZERO));
            let (near_read, near_write) = near.into_split();
            let (far_read, far_write) = far.into_split();
            tokio::select! {
                () = pump(near_read, far_write, link.clone(), false) => {}
                () = pump(far_read, near_write, link, true) => {}
                _ = resets.changed() => {}
            }
        });
    }
}

async fn pump(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut link: watch::Receiver<Link>,
    is_back: bool,
) {
    let mut buffer = vec![0; 16 << 10];
    loop {
        let Ok(len @ 1..) = from.read(&mut buffer).await else {
            return;
        };
        // What is held up by a silent link stays held up until it is sound.
        let passes = |link: &Link| !(*link == Link::Silent || *link == Link::OneWay && is_back);
        let now = match link.wait_for(passes).await {
            Ok(link) => *link,
            Err(_) => return,
        };
        if let Link::Slow(time) = now {
            tokio::time::sleep(time).await;
        }
        if to.write_all(&buffer[..len]).await.is_err() {
            return;
        }
    }
}
