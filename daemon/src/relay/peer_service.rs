//! Answers the calls of other instances.

use std::sync::Arc;

use celerypond_fleet::{accept, Message, Peer};
use celerypond_relay::pack;
use celerypond_types::{Attempt, RequestKey, Revision};
use tarpc::context::Context;
use tokio::{net::TcpListener, time::Instant};

use super::{members, site::Site};
use crate::listening;

/// Answers the calls of other instances until the instance ends.
pub(super) async fn run(site: Arc<Site>, listener: TcpListener) {
    let ending = site.ending.clone();
    listening::serve(listener, ending, |socket| {
        let server = Server(Arc::clone(&site));
        async move {
            // A peer that goes away in the middle is an ordinary end.
            let _ = accept(socket, server.serve()).await;
        }
    })
    .await;
}

/// Answers the calls of other instances. A relaying instance keeps no records for others, and has
/// no keyed calls.
#[derive(Clone)]
struct Server(Arc<Site>);

impl Peer for Server {
    async fn exchange(self, _: Context, message: Message) -> Message {
        let answer = self.0.gossip().receive(message, Instant::now());
        members::after(&self.0);
        answer
    }

    async fn keep(self, _: Context, _: Vec<u8>) -> Option<Vec<u8>> {
        None
    }

    async fn extend(self, _: Context, _: Vec<u8>) {}

    async fn forget(self, _: Context, _: RequestKey, _: Attempt) {}

    async fn kept(self, _: Context, _: RequestKey) -> Option<Vec<u8>> {
        None
    }

    async fn bundle(self, _: Context, revision: Revision) -> Option<Vec<u8>> {
        let config = self.0.known.config_since(revision.0);
        config.map(|table| pack(table.config()))
    }

    async fn changes(self, _: Context, since: u64) -> Option<Vec<u8>> {
        self.0.known.news(since).map(|news| pack(&news))
    }

    async fn rollouts(self, _: Context, _: Vec<u8>) -> Vec<u8> {
        Vec::new()
    }

    async fn forward(self, _: Context, _: Vec<u8>) -> Vec<u8> {
        Vec::new()
    }
}
