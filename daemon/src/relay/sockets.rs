//! The sockets without which an instance serves nobody.

use std::{io, net::SocketAddr, sync::Arc, time::Duration};

use celerypond_relay::Settings;
use tokio::{
    net::{TcpListener, UdpSocket},
    time::{sleep, Instant},
};

use super::{members, peer_relay};

/// The interval between two attempts to bind addresses that are in use.
const RETRY_INTERVAL: Duration = Duration::from_millis(50);
/// The interval between two log lines about an address that stays in use.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// The sockets without which an instance serves nobody.
pub(super) struct Sockets {
    /// For datagrams of other instances.
    pub(super) datagrams: Arc<UdpSocket>,
    /// For calls of other instances.
    pub(super) peers: TcpListener,
    /// For requests that other instances relay.
    pub(super) relayed: TcpListener,
    /// For requests of callers.
    pub(super) callers: Option<TcpListener>,
}

/// An address that cannot be bound.
struct BindFailure {
    address: SocketAddr,
    error: io::Error,
}

impl Sockets {
    /// Binds all addresses, as soon as all of them can be bound. `reread` returns the current settings
    /// for each further attempt, if there are any; those that were used are returned.
    ///
    /// The previous process at these addresses may still be draining, for which there is no limit
    /// here. Nothing is listened on meanwhile, or callers and other instances would wait for answers.
    pub(super) async fn bind(
        mut settings: Settings,
        reread: impl Fn() -> Option<Settings>,
    ) -> (Self, Settings) {
        let mut wait = BindWait::new();
        loop {
            match Self::try_bind(&settings).await {
                Ok(sockets) => {
                    wait.end();
                    return (sockets, settings);
                }
                Err(failure) => wait.pause(failure.address, &failure.error).await,
            }
            settings = reread().unwrap_or(settings);
        }
    }

    async fn try_bind(settings: &Settings) -> Result<Self, BindFailure> {
        let address = members::address(settings);
        // Comes first, as a process keeps it to its very end, and no two processes can share it.
        let datagrams = UdpSocket::bind(address).await;
        let datagrams = datagrams.map_err(|error| BindFailure { address, error })?;
        let peers = listen(address).await?;
        let relayed = listen(peer_relay::address(address)).await?;
        let callers = match settings.listen.callers {
            Some(address) => Some(listen(address).await?),
            None => None,
        };
        Ok(Self {
            datagrams: Arc::new(datagrams),
            peers,
            relayed,
            callers,
        })
    }
}

/// Listens on an address as soon as it can be bound.
pub(super) async fn listen_when_free(address: SocketAddr) -> TcpListener {
    let mut wait = BindWait::new();
    loop {
        match listen(address).await {
            Ok(listener) => {
                wait.end();
                return listener;
            }
            Err(failure) => wait.pause(address, &failure.error).await,
        }
    }
}

async fn listen(address: SocketAddr) -> Result<TcpListener, BindFailure> {
    let listener = TcpListener::bind(address).await;
    listener.map_err(|error| BindFailure { address, error })
}

/// A wait for addresses, of which a line is logged at times.
struct BindWait {
    started: Instant,
    logged: Option<Instant>,
}

impl BindWait {
    fn new() -> Self {
        Self {
            started: Instant::now(),
            logged: None,
        }
    }

    async fn pause(&mut self, address: SocketAddr, error: &io::Error) {
        if self.logged.is_none_or(|at| at.elapsed() >= LOG_INTERVAL) {
            self.logged = Some(Instant::now());
            log::warn!(address:%, error:%, waited_ms = self.waited_ms(); "waiting for an address");
        }
        sleep(RETRY_INTERVAL).await;
    }

    fn end(&self) {
        if self.logged.is_some() {
            log::info!(waited_ms = self.waited_ms(); "addresses bound");
        }
    }

    fn waited_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }
}
