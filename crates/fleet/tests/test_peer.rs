//! The RPC service over loopback.

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

    async fn exchange_rollouts(self, _: Context, updates: Vec<u8>) -> Vec<u8> {
        updates
    }

    async fn access_orders(self, _: Context, call: Vec<u8>) -> Vec<u8> {
        call
    }

    async fn forward_call(self, _: Context, call: Vec<u8>) -> Vec<u8> {
        call
    }
}

/// Accepts one connection and serves it.
async fn serve() -> (SocketAddr, tokio::task::JoinHandle<()>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let task = tokio::spawn(async move {
        let (stream, _) = listener.accept().await.unwrap();
        serve_connection(stream, Service.serve()).await.unwrap();
    });
    (address, task)
}

/// Returns the context of a call with a deadline in `ms` milliseconds.
fn deadline_in(ms: u64) -> Context {
    call_context(Instant::now() + Duration::from_millis(ms))
}

#[tokio::test]
async fn call_returns_its_response_or_fails_at_its_deadline() {
    let (address, server) = serve().await;
    let (client, driver) = connect(address, Duration::from_secs(1)).await.unwrap();
    let driver = tokio::spawn(driver);
    let megabyte = client
        .fetch_bundle(deadline_in(5_000), Revision(1 << 20))
        .await
        .unwrap();
    assert_eq!(megabyte.unwrap().len(), 1 << 20);
    let late = client.fetch_record(deadline_in(20), "r".into()).await;
    assert!(matches!(late, Err(RpcError::DeadlineExceeded)), "{late:?}");
    assert_eq!(
        client
            .forward_call(deadline_in(5_000), vec![1, 2])
            .await
            .unwrap(),
        [1, 2]
    );
    drop(client);
    driver.await.unwrap();
    server.await.unwrap();
}

// Guards against a frame of unlimited length, for which the receiver would have to allocate memory.
#[tokio::test]
async fn frame_that_exceeds_the_maximum_length_is_rejected() {
    let (address, server) = serve().await;
    let (client, driver) = connect(address, Duration::from_secs(1)).await.unwrap();
    let driver = tokio::spawn(driver);
    let long = client
        .forward_call(deadline_in(1_000), vec![0; 3 << 20])
        .await;
    assert!(long.is_err());
    drop(client);
    driver.await.unwrap();
    server.await.unwrap();
}
