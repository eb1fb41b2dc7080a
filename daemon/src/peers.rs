//! Calls to other instances.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Mutex, PoisonError},
    time::Duration,
};

use celerypond_fleet::{call_context, connect, Message, PeerClient};
use celerypond_types::{Attempt, RequestKey, Revision};
use error_stack::{Report, ResultExt};
use thiserror::Error;
use tokio::time::Instant;
use tokio_util::task::TaskTracker;

/// How long a connection to a peer may take.
const CONNECT: Duration = Duration::from_millis(500);
/// How long a small call may take.
const SMALL: Duration = Duration::from_millis(800);
/// How long a call may take that carries a bundle.
const LARGE: Duration = Duration::from_secs(3);

/// A call to a peer that brought no answer.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum PeerCallError {
    /// No connection could be made.
    #[error("the peer {0} cannot be reached")]
    Unreachable(SocketAddr),
    /// No answer came in time, or the connection broke.
    #[error("the peer {0} did not answer")]
    NoAnswer(SocketAddr),
}

type Answer<T> = Result<T, Report<PeerCallError>>;

/// Connections to other instances, made when they are needed.
#[derive(Default)]
pub struct Peers {
    clients: Mutex<HashMap<SocketAddr, PeerClient>>,
    drivers: TaskTracker,
}

impl Peers {
    /// Exchanges gossip.
    ///
    /// # Errors
    ///
    /// A [`PeerCallError`].
    pub async fn exchange_gossip(&self, to: SocketAddr, message: Message) -> Answer<Message> {
        let client = self.client(to).await?;
        self.judge(to, client.exchange_gossip(within(SMALL), message).await)
    }

    /// Puts a record at a keeper; returns a higher one that it holds instead.
    ///
    /// # Errors
    ///
    /// A [`PeerCallError`].
    pub async fn store_record(&self, to: SocketAddr, record: Vec<u8>) -> Answer<Option<Vec<u8>>> {
        let client = self.client(to).await?;
        self.judge(to, client.store_record(within(SMALL), record).await)
    }

    /// Adds tokens to a record at a keeper.
    ///
    /// # Errors
    ///
    /// A [`PeerCallError`].
    pub async fn append_to_record(&self, to: SocketAddr, copy: Vec<u8>) -> Answer<()> {
        let client = self.client(to).await?;
        self.judge(to, client.append_to_record(within(SMALL), copy).await)
    }

    /// Asks a keeper for a record.
    ///
    /// # Errors
    ///
    /// A [`PeerCallError`].
    pub async fn fetch_record(
        &self,
        to: SocketAddr,
        request: RequestKey,
    ) -> Answer<Option<Vec<u8>>> {
        let client = self.client(to).await?;
        self.judge(to, client.fetch_record(within(SMALL), request).await)
    }

    /// Removes a record from a keeper, unless it is of a later attempt.
    ///
    /// # Errors
    ///
    /// A [`PeerCallError`].
    pub async fn remove_record(
        &self,
        to: SocketAddr,
        request: RequestKey,
        attempt: Attempt,
    ) -> Answer<()> {
        let client = self.client(to).await?;
        self.judge(
            to,
            client.remove_record(within(SMALL), request, attempt).await,
        )
    }

    /// Asks for the bundle in force at a peer, if its revision is at least `revision`.
    ///
    /// # Errors
    ///
    /// A [`PeerCallError`].
    pub async fn fetch_bundle(
        &self,
        to: SocketAddr,
        revision: Revision,
    ) -> Answer<Option<Vec<u8>>> {
        let client = self.client(to).await?;
        self.judge(to, client.fetch_bundle(within(LARGE), revision).await)
    }

    /// Asks for what changed in the platform's store after a revision of the store.
    ///
    /// # Errors
    ///
    /// A [`PeerCallError`].
    pub async fn fetch_changes(&self, to: SocketAddr, since: u64) -> Answer<Option<Vec<u8>>> {
        let client = self.client(to).await?;
        self.judge(to, client.fetch_changes(within(LARGE), since).await)
    }

    /// Passes a keyed call on to the owner of its shard.
    ///
    /// # Errors
    ///
    /// A [`PeerCallError`]; after `Unreachable` nothing was sent.
    pub async fn forward_call(
        &self,
        to: SocketAddr,
        call: Vec<u8>,
        limit: Duration,
    ) -> Answer<Vec<u8>> {
        let client = self.client(to).await?;
        self.judge(to, client.forward_call(within(limit), call).await)
    }

    /// Exchanges what is known of rollouts.
    ///
    /// # Errors
    ///
    /// A [`PeerCallError`].
    pub async fn exchange_rollouts(&self, to: SocketAddr, news: Vec<u8>) -> Answer<Vec<u8>> {
        let client = self.client(to).await?;
        self.judge(to, client.exchange_rollouts(within(SMALL), news).await)
    }

    /// Closes all connections and joins their tasks.
    pub async fn close(&self) {
        self.lock().clear();
        self.drivers.close();
        self.drivers.wait().await;
    }

    async fn client(&self, to: SocketAddr) -> Answer<PeerClient> {
        if let Some(client) = self.lock().get(&to) {
            return Ok(client.clone());
        }
        let (client, drive) = connect(to, CONNECT)
            .await
            .change_context(PeerCallError::Unreachable(to))?;
        self.drivers.spawn(drive);
        self.lock().insert(to, client.clone());
        Ok(client)
    }

    /// Drops the connection of a call that failed: it may have gone silent for good, and the next
    /// call then goes over a new one.
    fn judge<T>(&self, to: SocketAddr, result: Result<T, tarpc::client::RpcError>) -> Answer<T> {
        result.map_err(|error| {
            self.lock().remove(&to);
            Report::new(error).change_context(PeerCallError::NoAnswer(to))
        })
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<SocketAddr, PeerClient>> {
        self.clients.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn within(limit: Duration) -> tarpc::context::Context {
    call_context(Instant::now() + limit)
}
