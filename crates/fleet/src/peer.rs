//! The RPC service between instances, over TCP.

use std::{io, net::SocketAddr, time::Duration};

use bincode::DefaultOptions;
use celerypond_types::{Attempt, RequestKey, Revision};
use error_stack::{Report, ResultExt as _};
use tarpc::{
    client,
    serde_transport::{self, Transport},
    server::{BaseChannel, Channel, Serve},
    tokio_serde::formats::Bincode,
    tokio_util::codec::LengthDelimitedCodec,
};
use thiserror::Error;
use tokio::{net::TcpStream, time::Instant};

use crate::Message;

/// Maximum length of a frame, in bytes: a bundle of 1 MiB plus encoding.
const MAX_FRAME_BYTES: usize = (1 << 20) + (1 << 12);

/// Maximum number of concurrent calls on one connection.
const MAX_CONCURRENT_CALLS: usize = 256;

/// Calls between instances.
///
/// Every call carries a deadline (see [`call_context`]), after which the server cancels the work. No
/// call decides which instance may write to the store. The order of the methods is part of the wire
/// format.
#[tarpc::service]
pub trait Peer {
    /// Handles a gossip request and returns the response.
    async fn exchange_gossip(message: Message) -> Message;

    /// Stores a record of a request that the caller executes. If the callee holds one of a later attempt,
    /// it keeps and returns that one instead. This crate does not interpret records.
    async fn store_record(record: Vec<u8>) -> Option<Vec<u8>>;

    /// Appends tokens to a stored record. This crate does not interpret `extension`.
    async fn append_to_record(extension: Vec<u8>);

    /// Removes the record of a request whose response has ended, unless the record is of a later
    /// attempt.
    async fn remove_record(request: RequestKey, attempt: Attempt);

    /// Returns the stored record of a request.
    async fn fetch_record(request: RequestKey) -> Option<Vec<u8>>;

    /// Returns the bundle that the callee uses, if its revision is at least `revision`.
    async fn fetch_bundle(revision: Revision) -> Option<Vec<u8>>;

    /// Returns the changes to the platform's store after revision `since` of the store. This crate does
    /// not interpret them.
    async fn fetch_changes(since: u64) -> Option<Vec<u8>>;

    /// Exchanges information about rollouts. This crate does not interpret either message.
    async fn exchange_rollouts(updates: Vec<u8>) -> Vec<u8>;

    /// Reads or updates the orders in the platform's store for an instance that does not reach it.
    /// This crate does not interpret either message.
    async fn access_orders(call: Vec<u8>) -> Vec<u8>;

    /// Forwards a call with an idempotency key to the instance that batches the calls of its shard.
    /// This crate does not interpret either message. A call without a response may have been executed.
    async fn forward_call(call: Vec<u8>) -> Vec<u8>;
}

/// An error that occurs while connecting to a peer.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum PeerError {
    /// The connection was not established in time.
    #[error("timed out connecting to {0}")]
    Timeout(SocketAddr),
    /// The connection could not be established or set up.
    #[error("failed to connect to {0}")]
    Connect(SocketAddr),
}

/// Connects to a peer.
///
/// Returns the client and a future that drives the connection. The caller must spawn the future, which
/// ends once all clones of the client have been dropped or the connection has failed.
///
/// # Errors
///
/// Fails with [`PeerError::Timeout`] or [`PeerError::Connect`].
pub async fn connect(
    address: SocketAddr,
    timeout: Duration,
) -> Result<(PeerClient, impl Future<Output = ()>), Report<PeerError>> {
    let stream = tokio::time::timeout(timeout, TcpStream::connect(address))
        .await
        .change_context(PeerError::Timeout(address))?
        .change_context(PeerError::Connect(address))?;
    stream
        .set_nodelay(true)
        .change_context(PeerError::Connect(address))?;
    let mut config = client::Config::default();
    config.max_in_flight_requests = MAX_CONCURRENT_CALLS;
    let new = PeerClient::new(config, transport(stream));
    let driver = async move {
        // Pending calls return the error, after which the caller connects again.
        let _ = new.dispatch.await;
    };
    Ok((new.client, driver))
}

/// Serves the calls on an accepted connection until it ends.
///
/// # Errors
///
/// Fails if the socket cannot be configured.
pub async fn serve_connection<S>(stream: TcpStream, service: S) -> io::Result<()>
where
    S: Serve<Req = PeerRequest, Resp = PeerResponse> + Clone,
{
    use futures::StreamExt as _;

    stream.set_nodelay(true)?;
    BaseChannel::with_defaults(transport(stream))
        .execute(service)
        .for_each_concurrent(MAX_CONCURRENT_CALLS, |call| call)
        .await;
    Ok(())
}

/// Returns the context of a call with the given deadline.
pub fn call_context(deadline: Instant) -> tarpc::context::Context {
    let mut context = tarpc::context::current();
    context.deadline = deadline.into_std();
    context
}

fn transport<Item, SinkItem>(
    stream: TcpStream,
) -> Transport<TcpStream, Item, SinkItem, Bincode<Item, SinkItem, DefaultOptions>>
where
    Item: for<'de> serde::Deserialize<'de>,
    SinkItem: serde::Serialize,
{
    let framed = LengthDelimitedCodec::builder()
        .max_frame_length(MAX_FRAME_BYTES)
        .new_framed(stream);
    serde_transport::new(framed, Bincode::default())
}
