//! Queue of updates that are pushed to peers without a request.

use std::collections::BTreeMap;

use crate::{EntryClass, Origin};

/// Maximum number of queued updates. Beyond it, the oldest update of the lowest priority is dropped;
/// peers then get it through digests.
const MAX_QUEUED: usize = 1024;

/// An update to push.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PushItem {
    /// A changed entry.
    Entry {
        /// The origin that owns the entry.
        origin: Origin,
        /// The class of the entry.
        class: EntryClass,
        /// The sequence number of the change.
        sequence: u64,
    },
    /// A claim that the given origin does not respond.
    Claim(Origin),
}

/// Priority of an update. Updates are sent in the order of the variants.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum PushPriority {
    /// Sent immediately, without waiting for the next round.
    Urgent,
    /// Sent in the next round, before summaries.
    Control,
    /// Sent in the next round, after all others.
    Summary,
}

/// A queued update with the number of times it is still to be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct QueuedPush {
    pub(crate) item: PushItem,
    pub(crate) pushes_left: u8,
}

/// Updates that this instance still has to push, by priority and then newest first.
#[derive(Clone, Debug, Default)]
pub(crate) struct PushQueue {
    queue: BTreeMap<(PushPriority, u64), QueuedPush>,
    last_number: u64,
}

impl PushQueue {
    /// Queues an update that is to be sent `push_count` times.
    pub(crate) fn add(&mut self, priority: PushPriority, item: PushItem, push_count: u8) {
        self.last_number += 1;
        let push = QueuedPush {
            item,
            pushes_left: push_count,
        };
        self.queue
            .insert((priority, u64::MAX - self.last_number), push);
        if self.queue.len() > MAX_QUEUED {
            self.queue.pop_last();
        }
    }

    /// Returns whether an urgent update is queued.
    pub(crate) fn has_urgent(&self) -> bool {
        let first = self.queue.first_key_value();
        first.is_some_and(|((priority, _), _)| *priority == PushPriority::Urgent)
    }

    /// Passes the updates in order to `try_push` until it returns [`PushOutcome::Stop`]. Removes those
    /// that are stale or have been sent as often as requested.
    pub(crate) fn try_push_each(
        &mut self,
        mut try_push: impl FnMut(PushPriority, PushItem) -> PushOutcome,
    ) {
        let mut has_room = true;
        self.queue.retain(|(priority, _), push| {
            if !has_room {
                return true;
            }
            match try_push(*priority, push.item) {
                PushOutcome::Added => {
                    push.pushes_left -= 1;
                    push.pushes_left > 0
                }
                PushOutcome::Stale => false,
                PushOutcome::Stop => {
                    has_room = false;
                    true
                }
            }
        });
    }
}

/// Result of adding a queued update to a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PushOutcome {
    /// The update was added to the message.
    Added,
    /// The update has been superseded and is removed from the queue.
    Stale,
    /// The message takes no further updates.
    Stop,
}
