//! The service over loopback.

use std::{net::SocketAddr, time::Duration};

use celerypond_fleet::{call_context, connect, serve_connection, Message, Peer};
use celerypond_types::{Attempt, RequestKey, Revision};
use tarpc::{client::RpcError, context::Context};
use tokio::{net::TcpListener, time::Instant};

#[derive(Clone)]
struct Service;

impl Peer for Service {
    async fn exchange_gossip(self, _: Context, message: Message) -> Message {
        message
    }

    async fn store_record(self, _: Context, _: Vec<u8>) -> Option<Vec<u8>> {
        None
    }

    async fn append_to_record(self, _: Context, _: Vec<u8>) {}

    async fn remove_record(self, _: Context, _: RequestKey, _: Attempt) {}

    async fn fetch_record(self, _: Context, _: RequestKey) -> Option<Vec<u8>> {
        std::future::pending().await
    }

    async fn fetch_bundle(self, _: Context, revision: Revision) -> Option<Vec<u8>> {
        Some(vec![1; revision.0 as usize])
    }

    async fn fetch_changes(self, _: Context, since: u64) -> Option<Vec<u8>> {
        Some(since.to_le_bytes().to_vec())
    }

    async fn exchange_rollouts(self, _: Context, news: Vec<u8>) -> Vec<u8> {
        news
    }

    async fn forward_call(self, _: Context, call: Vec<u8>) -> Vec<u8> {
        call
    }
}

async fn serve() -> (SocketAddr, tokio::task::JoinHandle<()>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let task = tokio::spawn(async move {
        let (stream, _) = listener.accept().await.unwrap();
        serve_connection(stream, Service.serve()).await.unwrap();
    });
    (address, task)
}

fn soon(ms: u64) -> Context {
    call_context(Instant::now() + Duration::from_millis(ms))
}

#[tokio::test]
async fn a_call_is_answered_or_ends_at_its_deadline() {
    let (address, server) = serve().await;
    let (client, drive) = connect(address, Duration::from_secs(1)).await.unwrap();
    let drive = tokio::spawn(drive);
    let megabyte = client
        .fetch_bundle(soon(5_000), Revision(1 << 20))
        .await
        .unwrap();
    assert_eq!(megabyte.unwrap().len(), 1 << 20);
    let late = client.fetch_record(soon(20), "r".into()).await;
    assert!(matches!(late, Err(RpcError::DeadlineExceeded)), "{late:?}");
    assert_eq!(
        client.forward_call(soon(5_000), vec![1, 2]).await.unwrap(),
        [1, 2]
    );
    drop(client);
    drive.await.unwrap();
    server.await.unwrap();
}

// A frame beyond the bound would make the receiver hold as much memory as the sender likes.
#[tokio::test]
async fn a_frame_beyond_the_bound_is_refused() {
    let (address, server) = serve().await;
    let (client, drive) = connect(address, Duration::from_secs(1)).await.unwrap();
    let drive = tokio::spawn(drive);
    let long = client.forward_call(soon(1_000), vec![0; 3 << 20]).await;
    assert!(long.is_err());
    drop(client);
    drive.await.unwrap();
    server.await.unwrap();
}
