//! The events of a stream that were received from engines and not yet sent to the caller.

use std::{collections::VecDeque, sync::Arc};

use bytes::Bytes;
use celerypond_relay::{AttemptFailure, Event, EventSplitter};
use hyper::body::Frame;

use super::response_memory::{HeldBytes, ResponseMemory};

/// The maximum size of an event. A faulty engine may send one without end.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// Splits what engines send into events, and returns whole events only, each once and in order.
pub(super) struct EventBuffer {
    splitter: EventSplitter,
    /// The memory of the partial event.
    held: HeldBytes,
    /// Whole events that were not sent to the caller yet.
    pending: VecDeque<Bytes>,
    /// The id of the last event that was received.
    last_id: Option<u64>,
    /// The number of events that were sent to the caller.
    forwarded: u64,
}

impl EventBuffer {
    /// Creates a buffer that starts after the last event that the caller has.
    pub(super) fn resume_after(last_id: Option<u64>, memory: &Arc<ResponseMemory>) -> Self {
        Self {
            splitter: EventSplitter::default(),
            held: HeldBytes::new(memory),
            pending: VecDeque::new(),
            last_id,
            forwarded: 0,
        }
    }

    /// Returns the id of the last event that was received.
    pub(super) const fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Returns the number of events that were sent to the caller.
    pub(super) const fn forwarded(&self) -> u64 {
        self.forwarded
    }

    /// Returns whether there is an event to send to the caller.
    pub(super) fn has_pending(&self) -> bool {
        !self.pending.is_empty()
    }

    /// Returns whether the received bytes end with a part of an event.
    pub(super) fn has_partial(&self) -> bool {
        self.splitter.has_partial()
    }

    /// Discards the partial event of a run that broke off. Another run sends it from its start.
    pub(super) fn discard_partial(&mut self) {
        self.splitter.clear();
        self.held.resize(0);
    }

    /// Adds received bytes and drops events that the caller already has. Returns the number of new
    /// events.
    ///
    /// # Errors
    ///
    /// `Foreign` if an event is missing or larger than [`MAX_EVENT_BYTES`], or if there is no memory
    /// left for it.
    pub(super) fn push(&mut self, frame: &Frame<Bytes>) -> Result<u32, AttemptFailure> {
        let Some(bytes) = frame.data_ref() else {
            return Ok(0);
        };
        let mut events = 0;
        self.splitter.push(bytes);
        for Event { id, bytes } in self.splitter.by_ref() {
            if let (Some(id), Some(last_id)) = (id, self.last_id) {
                if id <= last_id {
                    continue;
                }
                if id > last_id + 1 {
                    return Err(AttemptFailure::Foreign);
                }
            }
            self.last_id = id.or(self.last_id);
            self.pending.push_back(bytes);
            events += 1;
        }
        let partial = self.splitter.buffered_len();
        if partial > MAX_EVENT_BYTES || !self.held.resize(partial) {
            return Err(AttemptFailure::Foreign);
        }
        Ok(events)
    }

    /// Returns all events that are to be sent to the caller.
    pub(super) fn take_pending(&mut self) -> Option<Bytes> {
        self.forwarded += self.pending.len() as u64;
        match self.pending.len() {
            0 | 1 => self.pending.pop_front(),
            _ => Some(
                self.pending
                    .drain(..)
                    .collect::<Vec<Bytes>>()
                    .concat()
                    .into(),
            ),
        }
    }
}
