//! Answers the calls of other instances.

use std::{sync::Arc, time::Duration};

use celerypond_fleet::{accept, Message, Peer};
use celerypond_relay::pack;
use celerypond_types::{Attempt, RequestKey, Revision};
use tarpc::context::Context;
use tokio::{net::TcpListener, sync::Semaphore, time::Instant};

use super::{members, site::Site};
use crate::listening;

/// How many others are told all targets at a time.
///
/// The failure: a large fleet starts at once, and whoever has the list of targets is asked for it by many. A list
/// of 3,000 engines takes a quarter of a second of a link of 10 Mbit/s; several at once are each too late
/// for those who asked, who then ask the next one, and all links are full of lists that nobody waits for.
const WHOLE_LISTS: usize = 2;
/// How long a byte of a list takes the link, about 8 Mbit/s; by that its turn is over.
const LINK_BYTE: Duration = Duration::from_micros(1);

/// Answers the calls of other instances until the instance ends.
pub(super) async fn run(site: Arc<Site>, listener: TcpListener) {
    let ending = site.ending.clone();
    let lists = Arc::new(Semaphore::new(WHOLE_LISTS));
    listening::serve(listener, ending, |socket| {
        let server = Server {
            site: Arc::clone(&site),
            lists: Arc::clone(&lists),
        };
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
struct Server {
    site: Arc<Site>,
    lists: Arc<Semaphore>,
}

impl Peer for Server {
    async fn exchange(self, _: Context, message: Message) -> Message {
        let answer = self.site.gossip().receive(message, Instant::now());
        members::after(&self.site);
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
        let config = self.site.known.config_since(revision.0);
        config.map(|table| pack(table.config()))
    }

    async fn changes(self, _: Context, since: u64) -> Option<Vec<u8>> {
        let news = self.site.known.news(since)?;
        if !news.is_whole {
            return Some(pack(&news));
        }
        let turn = self.lists.try_acquire_owned().ok()?;
        let bytes = pack(&news);
        let time = LINK_BYTE.saturating_mul(u32::try_from(bytes.len()).unwrap_or(u32::MAX));
        self.site.tasks.spawn(async move {
            tokio::time::sleep(time).await;
            drop(turn);
        });
        Some(bytes)
    }

    async fn rollouts(self, _: Context, _: Vec<u8>) -> Vec<u8> {
        Vec::new()
    }

    async fn forward(self, _: Context, _: Vec<u8>) -> Vec<u8> {
        Vec::new()
    }
}
