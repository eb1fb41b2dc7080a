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

/// The timeout for connecting to a peer.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// The timeout of a call with short messages.
const SHORT_CALL_TIMEOUT: Duration = Duration::from_millis(800);
/// The timeout of a call whose response may carry a bundle or a list of changes.
const BUNDLE_CALL_TIMEOUT: Duration = Duration::from_secs(3);

/// The error of a call to a peer that got no response.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum PeerCallError {
    /// The connection could not be established, so nothing was sent.
    #[error("failed to connect to peer {0}")]
    Unreachable(SocketAddr),
    /// No response arrived in time, or the connection broke. The call may have been processed.
    #[error("peer {0} did not respond")]
    NoAnswer(SocketAddr),
}

type PeerResult<T> = Result<T, Report<PeerCallError>>;

/// The connections to other instances, established on first use.
#[derive(Default)]
pub struct Peers {
    clients: Mutex<HashMap<SocketAddr, PeerClient>>,
    connection_tasks: TaskTracker,
}

impl Peers {
    /// Sends a gossip message and returns the response.
    ///
    /// # Errors
    ///
    /// A [`PeerCallError`].
    pub async fn exchange_gossip(&self, to: SocketAddr, message: Message) -> PeerResult<Message> {
        let client = self.client(to).await?;
        self.check(
            to,
            client
                .exchange_gossip(context_with_timeout(SHORT_CALL_TIMEOUT), message)
                .await,
        )
    }

    /// Stores a record at a keeper; returns the record that it holds instead if that is higher.
    ///
    /// # Errors
    ///
    /// A [`PeerCallError`].
    pub async fn store_record(
        &self,
        to: SocketAddr,
        record: Vec<u8>,
    ) -> PeerResult<Option<Vec<u8>>> {
        let client = self.client(to).await?;
        self.check(
            to,
            client
                .store_record(context_with_timeout(SHORT_CALL_TIMEOUT), record)
                .await,
        )
    }

    /// Appends tokens to a record at a keeper.
    ///
    /// # Errors
    ///
    /// A [`PeerCallError`].
    pub async fn append_to_record(&self, to: SocketAddr, extension: Vec<u8>) -> PeerResult<()> {
        let client = self.client(to).await?;
        self.check(
            to,
            client
                .append_to_record(context_with_timeout(SHORT_CALL_TIMEOUT), extension)
                .await,
        )
    }

    /// Fetches the record of a request from a keeper.
    ///
    /// # Errors
    ///
    /// A [`PeerCallError`].
    pub async fn fetch_record(
        &self,
        to: SocketAddr,
        request: RequestKey,
    ) -> PeerResult<Option<Vec<u8>>> {
        let client = self.client(to).await?;
        self.check(
            to,
            client
                .fetch_record(context_with_timeout(SHORT_CALL_TIMEOUT), request)
                .await,
        )
    }

    /// Removes a record from a keeper, unless it belongs to a later attempt.
    ///
    /// # Errors
    ///
    /// A [`PeerCallError`].
    pub async fn remove_record(
        &self,
        to: SocketAddr,
        request: RequestKey,
        attempt: Attempt,
    ) -> PeerResult<()> {
        let client = self.client(to).await?;
        self.check(
            to,
            client
                .remove_record(context_with_timeout(SHORT_CALL_TIMEOUT), request, attempt)
                .await,
        )
    }

    /// Fetches the bundle in force at a peer, if its revision is at least `revision`.
    ///
    /// # Errors
    ///
    /// A [`PeerCallError`].
    pub async fn fetch_bundle(
        &self,
        to: SocketAddr,
        revision: Revision,
    ) -> PeerResult<Option<Vec<u8>>> {
        let client = self.client(to).await?;
        self.check(
            to,
            client
                .fetch_bundle(context_with_timeout(BUNDLE_CALL_TIMEOUT), revision)
                .await,
        )
    }

    /// Fetches the changes in the platform's store after a revision of the store.
    ///
    /// # Errors
    ///
    /// A [`PeerCallError`].
    pub async fn fetch_changes(&self, to: SocketAddr, since: u64) -> PeerResult<Option<Vec<u8>>> {
        let client = self.client(to).await?;
        self.check(
            to,
            client
                .fetch_changes(context_with_timeout(BUNDLE_CALL_TIMEOUT), since)
                .await,
        )
    }

    /// Forwards a keyed call to the owner of its shard.
    ///
    /// # Errors
    ///
    /// A [`PeerCallError`]; after `Unreachable`, nothing was sent.
    pub async fn forward_call(
        &self,
        to: SocketAddr,
        call: Vec<u8>,
        timeout: Duration,
    ) -> PeerResult<Vec<u8>> {
        let client = self.client(to).await?;
        self.check(
            to,
            client
                .forward_call(context_with_timeout(timeout), call)
                .await,
        )
    }

    /// Reads or updates the orders in the platform's store through a peer.
    ///
    /// # Errors
    ///
    /// A [`PeerCallError`]; after `Unreachable`, nothing was sent.
    pub async fn access_orders(&self, to: SocketAddr, call: Vec<u8>) -> PeerResult<Vec<u8>> {
        let client = self.client(to).await?;
        self.check(
            to,
            client
                .access_orders(context_with_timeout(SHORT_CALL_TIMEOUT), call)
                .await,
        )
    }

    /// Sends the known rollout state and returns that of the peer.
    ///
    /// # Errors
    ///
    /// A [`PeerCallError`].
    pub async fn exchange_rollouts(&self, to: SocketAddr, state: Vec<u8>) -> PeerResult<Vec<u8>> {
        let client = self.client(to).await?;
        self.check(
            to,
            client
                .exchange_rollouts(context_with_timeout(SHORT_CALL_TIMEOUT), state)
                .await,
        )
    }

    /// Closes all connections and waits until their tasks have ended.
    pub async fn close(&self) {
        self.lock().clear();
        self.connection_tasks.close();
        self.connection_tasks.wait().await;
    }

    async fn client(&self, to: SocketAddr) -> PeerResult<PeerClient> {
        if let Some(client) = self.lock().get(&to) {
            return Ok(client.clone());
        }
        let (client, connection_task) = connect(to, CONNECT_TIMEOUT)
            .await
            .change_context(PeerCallError::Unreachable(to))?;
        self.connection_tasks.spawn(connection_task);
        self.lock().insert(to, client.clone());
        Ok(client)
    }

    /// Returns the result of a call, and drops the connection if the call failed.
    ///
    /// The connection may have stopped responding permanently, so the next call uses a new one.
    fn check<T>(
        &self,
        to: SocketAddr,
        result: Result<T, tarpc::client::RpcError>,
    ) -> PeerResult<T> {
        result.map_err(|error| {
            self.lock().remove(&to);
            Report::new(error).change_context(PeerCallError::NoAnswer(to))
        })
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<SocketAddr, PeerClient>> {
        self.clients.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn context_with_timeout(timeout: Duration) -> tarpc::context::Context {
    call_context(Instant::now() + timeout)
}
