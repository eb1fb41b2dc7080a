//! News that is pushed to peers which did not ask.

use std::collections::BTreeMap;

use crate::{Class, Origin};

/// Rumours that may wait; beyond it the least urgent, oldest one is dropped and left to digests.
const LIMIT: usize = 1024;

/// A piece of news.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum News {
    /// An entry.
    Entry {
        /// Its owner.
        origin: Origin,
        /// Its class.
        class: Class,
        /// Its sequence number.
        sequence: u64,
    },
    /// A claim about a run.
    Claim(Origin),
}

/// How soon a rumour is sent; the order of the variants is the order of sending.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Rank {
    /// At once.
    Urgent,
    /// Before summaries.
    Control,
    /// After all others.
    Summary,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Rumour {
    pub(crate) news: News,
    pub(crate) left: u8,
}

/// The rumours that this instance still pushes, the newest of a rank first.
#[derive(Clone, Debug, Default)]
pub(crate) struct Rumours {
    waiting: BTreeMap<(Rank, u64), Rumour>,
    next: u64,
}

impl Rumours {
    pub(crate) fn add(&mut self, rank: Rank, news: News, pushes: u8) {
        self.next += 1;
        let rumour = Rumour { news, left: pushes };
        self.waiting.insert((rank, u64::MAX - self.next), rumour);
        if self.waiting.len() > LIMIT {
            self.waiting.pop_last();
        }
    }

    pub(crate) fn is_urgent(&self) -> bool {
        let first = self.waiting.first_key_value();
        first.is_some_and(|((rank, _), _)| *rank == Rank::Urgent)
    }

    /// Offers the rumours in order; `take` says what becomes of each.
    pub(crate) fn offer(&mut self, mut take: impl FnMut(Rank, News) -> Offer) {
        let mut open = true;
        self.waiting.retain(|(rank, _), rumour| {
            if !open {
                return true;
            }
            match take(*rank, rumour.news) {
                Offer::Taken => {
                    rumour.left -= 1;
                    rumour.left > 0
                }
                Offer::Stale => false,
                Offer::Stop => {
                    open = false;
                    true
                }
            }
        });
    }
}

/// What became of a rumour that was offered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Offer {
    /// It goes into the message.
    Taken,
    /// It is no longer true.
    Stale,
    /// The message is full.
    Stop,
}
