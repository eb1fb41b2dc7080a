//! Handles the calls of other instances.

use std::sync::Arc;

use celerypond_answer::{KeeperRecord, PutError, RecordExtension};
use celerypond_fleet::{serve_connection, Message, Peer};
use celerypond_telemetry::{Counter, Gauge};
use celerypond_types::{Attempt, RequestKey, Revision};
use futures::FutureExt;
use tarpc::context::Context;
use tokio::{net::TcpListener, time::Instant};

use crate::{forward, gossip, keeper_records, listener, node::Node, watch::BundleMessage};

/// The maximum number of open connections of other instances.
const MAX_CONNECTIONS: usize = 4_096;

/// Handles the calls of other instances.
#[derive(Clone)]
struct PeerServer(Arc<Node>);

/// Serves peers on a listener until the instance shuts down.
pub async fn run(node: Arc<Node>, listener: TcpListener) {
    let ending = node.shutdown.clone();
    listener::serve(listener, MAX_CONNECTIONS, ending, |socket| {
        let server = PeerServer(Arc::clone(&node));
        // It is not an error if a peer disconnects during a call.
        serve_connection(socket, server.serve()).map(|_| ())
    })
    .await;
}

impl Peer for PeerServer {
    async fn exchange_gossip(self, _: Context, message: Message) -> Message {
        let response = self.0.gossip().handle_request(message, Instant::now());
        self.0.metrics.add(Counter::GossipReceived, 1);
        gossip::process_events(&self.0);
        response
    }

    async fn store_record(self, _: Context, record: Vec<u8>) -> Option<Vec<u8>> {
        let record = KeeperRecord::decode(&record).ok()?;
        keeper_records::notify_driver(&self.0, &record);
        let result = self.0.keeper().put(Instant::now(), record);
        let counter = match result {
            Err(PutError::Full) => Counter::KeeperDropped,
            Ok(()) | Err(PutError::Fenced(_)) => Counter::KeeperRecords,
        };
        self.0.metrics.add(counter, 1);
        let count = self.0.keeper().len() as u64;
        self.0.metrics.set(Gauge::KeeperHeld, count);
        match result {
            Err(PutError::Fenced(higher)) => Some(higher.encode()),
            Ok(()) | Err(PutError::Full) => None,
        }
    }

    async fn append_to_record(self, _: Context, extension: Vec<u8>) {
        if let Ok(extension) = RecordExtension::decode(&extension) {
            self.0.keeper().extend(&extension);
        }
    }

    async fn remove_record(self, _: Context, request: RequestKey, attempt: Attempt) {
        self.0.keeper().remove(&request, attempt);
    }

    async fn fetch_record(self, _: Context, request: RequestKey) -> Option<Vec<u8>> {
        let keeper = self.0.keeper();
        keeper
            .get(Instant::now(), &request)
            .map(KeeperRecord::encode)
    }

    async fn fetch_bundle(self, _: Context, revision: Revision) -> Option<Vec<u8>> {
        let active = self.0.active_bundle.load_full()?;
        let message = BundleMessage {
            header: active.header.clone(),
            bundle: (*active.bundle).clone(),
        };
        (active.header.revision >= revision).then(|| message.encode())
    }

    /// Returns nothing: only instances in the relay role fetch changes from each other.
    async fn fetch_changes(self, _: Context, _: u64) -> Option<Vec<u8>> {
        None
    }

    async fn exchange_rollouts(self, _: Context, state: Vec<u8>) -> Vec<u8> {
        self.0.rollouts.handle_exchange(&self.0, &state)
    }

    /// Returns nothing: only instances in the relay role have such orders.
    async fn access_orders(self, _: Context, _: Vec<u8>) -> Vec<u8> {
        Vec::new()
    }

    async fn forward_call(self, _: Context, call: Vec<u8>) -> Vec<u8> {
        forward::answer(&self.0, &call).await
    }
}
