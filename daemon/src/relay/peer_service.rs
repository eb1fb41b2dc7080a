//! Serves the calls of other instances.

use std::{sync::Arc, time::Duration};

use celerypond_fleet::{serve_connection, Message, Peer};
use celerypond_relay::encode;
use celerypond_types::{Attempt, RequestKey, Revision};
use serde::Serialize;
use tarpc::context::Context;
use tokio::{net::TcpListener, sync::Semaphore, time::Instant};

use super::{members, order_proxy, state::RelayState};
use crate::listener;

/// The maximum number of concurrent transfers of all targets or of a configuration to other
/// instances.
///
/// Each transfer takes a fraction of a second of a narrow link. If many instances query one at once
/// and it served all, every answer would be too late. The others would then query the next
/// instance, and all links would be full of answers that nobody waits for.
const MAX_TRANSFERS: usize = 2;
/// The time that one byte of a transfer takes on a link of about 8 Mbit/s. It determines when the
/// permit of a transfer is returned.
const LINK_TIME_PER_BYTE: Duration = Duration::from_micros(1);

/// Serves the calls of other instances until the instance ends.
pub(super) async fn run(state: Arc<RelayState>, listener: Arc<TcpListener>) {
    let ending = state.ending.clone();
    let max_connections = state.settings.load().limits.peer_connections();
    let transfers = Arc::new(Semaphore::new(MAX_TRANSFERS));
    listener::serve(listener, max_connections, ending, |socket| {
        let server = Server {
            state: Arc::clone(&state),
            transfers: Arc::clone(&transfers),
        };
        async move {
            // A peer may disconnect in the middle of a call.
            let _ = serve_connection(socket, server.serve()).await;
        }
    })
    .await;
}

/// The service for other instances. A relaying instance keeps no records for others and has no keyed
/// calls.
#[derive(Clone)]
struct Server {
    state: Arc<RelayState>,
    transfers: Arc<Semaphore>,
}

impl Server {
    /// Encodes a large answer. Returns `None` if the maximum number of transfers is in progress.
    fn transfer<T: Serialize>(&self, value: &T) -> Option<Vec<u8>> {
        let permit = Arc::clone(&self.transfers).try_acquire_owned().ok()?;
        let bytes = encode(value);
        let time =
            LINK_TIME_PER_BYTE.saturating_mul(u32::try_from(bytes.len()).unwrap_or(u32::MAX));
        self.state.tasks.spawn(async move {
            tokio::time::sleep(time).await;
            drop(permit);
        });
        Some(bytes)
    }
}

impl Peer for Server {
    async fn exchange_gossip(self, _: Context, message: Message) -> Message {
        let answer = self.state.gossip().handle_request(message, Instant::now());
        members::process_events(&self.state);
        answer
    }

    async fn store_record(self, _: Context, _: Vec<u8>) -> Option<Vec<u8>> {
        None
    }

    async fn append_to_record(self, _: Context, _: Vec<u8>) {}

    async fn remove_record(self, _: Context, _: RequestKey, _: Attempt) {}

    async fn fetch_record(self, _: Context, _: RequestKey) -> Option<Vec<u8>> {
        None
    }

    async fn fetch_bundle(self, _: Context, revision: Revision) -> Option<Vec<u8>> {
        let table = self.state.view.config_since(revision.0)?;
        self.transfer(table.config())
    }

    async fn fetch_changes(self, _: Context, since: u64) -> Option<Vec<u8>> {
        let update = self.state.view.update_since(since)?;
        match update.is_whole {
            true => self.transfer(&update),
            false => Some(encode(&update)),
        }
    }

    async fn exchange_rollouts(self, _: Context, _: Vec<u8>) -> Vec<u8> {
        Vec::new()
    }

    async fn access_orders(self, _: Context, call: Vec<u8>) -> Vec<u8> {
        order_proxy::answer(&self.state, &call).await
    }

    async fn forward_call(self, _: Context, _: Vec<u8>) -> Vec<u8> {
        Vec::new()
    }
}
