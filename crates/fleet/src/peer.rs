//! The service between instances, over TCP.

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

/// The longest frame, in bytes: a bundle of a megabyte and its frame.
const FRAME_BYTES: usize = (1 << 20) + (1 << 12);

/// Calls that may wait for an answer on one connection.
const CALLS_LIMIT: usize = 256;

/// What instances ask of each other.
///
/// Every call carries a deadline (see [`call_context`]); the server drops the work when it passes. None
/// of these calls decides who may write.
#[tarpc::service]
pub trait Peer {
    /// Exchanges gossip.
    async fn exchange_gossip(message: Message) -> Message;

    /// Keeps a record of a request that the caller drives; returns a higher one that is held
    /// instead. Records are opaque here.
    async fn store_record(record: Vec<u8>) -> Option<Vec<u8>>;

    /// Adds tokens to a record. Copies are opaque here.
    async fn append_to_record(copy: Vec<u8>);

    /// Drops the record of a request whose answer has ended, unless it is of a later attempt.
    async fn remove_record(request: RequestKey, attempt: Attempt);

    /// Returns the record of a request.
    async fn fetch_record(request: RequestKey) -> Option<Vec<u8>>;

    /// Returns the bundle in force at the callee, if its revision is at least `revision`.
    async fn fetch_bundle(revision: Revision) -> Option<Vec<u8>>;

    /// Returns what changed in the platform's store after a revision of the store; opaque here.
    async fn fetch_changes(since: u64) -> Option<Vec<u8>>;

    /// Exchanges what is known of rollouts. Both messages are opaque here.
    async fn exchange_rollouts(news: Vec<u8>) -> Vec<u8>;

    /// Passes a call with a key on to the instance that batches for its shard. Both messages are
    /// opaque here. A call that gets no answer may have run.
    async fn forward_call(call: Vec<u8>) -> Vec<u8>;
}

/// The ways in which a connection to a peer fails.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum PeerError {
    /// No connection was made in time.
    #[error("no connection to {0} in time")]
    Timeout(SocketAddr),
    /// The connection was refused.
    #[error("the connection to {0} failed")]
    Connect(SocketAddr),
}

/// Connects to a peer.
///
/// The second value drives the connection; the caller spawns it and joins it at the end.
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
    config.max_in_flight_requests = CALLS_LIMIT;
    let new = PeerClient::new(config, transport(stream));
    let drive = async move {
        // The calls in flight get the error; the connection is then made anew.
        let _ = new.dispatch.await;
    };
    Ok((new.client, drive))
}

/// Serves the calls of one accepted connection until it ends.
///
/// # Errors
///
/// Fails when the socket cannot be set up.
pub async fn serve_connection<S>(stream: TcpStream, service: S) -> io::Result<()>
where
    S: Serve<Req = PeerRequest, Resp = PeerResponse> + Clone,
{
    use futures::StreamExt as _;

    stream.set_nodelay(true)?;
    BaseChannel::with_defaults(transport(stream))
        .execute(service)
        .for_each_concurrent(CALLS_LIMIT, |call| call)
        .await;
    Ok(())
}

/// Returns the context of a call that must be answered by `deadline`.
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
        .max_frame_length(FRAME_BYTES)
        .new_framed(stream);
    serde_transport::new(framed, Bincode::default())
}
