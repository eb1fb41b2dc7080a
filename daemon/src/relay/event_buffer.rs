//! The events of a stream between its engines and its caller.

use std::collections::VecDeque;

use bytes::Bytes;
use celerypond_relay::{AttemptFailure, Event, EventSplitter};
use hyper::body::Frame;

/// The events of a stream between its engines and its caller: whole ones only, each once, in order.
pub(super) struct EventBuffer {
    splitter: EventSplitter,
    /// Whole events that the caller has not had yet.
    pending: VecDeque<Bytes>,
    /// The id of the last event that was taken in.
    last_id: Option<u64>,
    /// Events that were passed on.
    forwarded: u64,
}

impl EventBuffer {
    /// Begins after the last event that the caller has.
    pub(super) fn resume_after(last_id: Option<u64>) -> Self {
        Self {
            splitter: EventSplitter::default(),
            pending: VecDeque::new(),
            last_id,
            forwarded: 0,
        }
    }

    /// Returns the id of the last event that was taken in.
    pub(super) const fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Returns how many events were passed on.
    pub(super) const fn forwarded(&self) -> u64 {
        self.forwarded
    }

    /// Returns whether there is an event to pass on.
    pub(super) fn has_pending(&self) -> bool {
        !self.pending.is_empty()
    }

    /// Returns whether a part of an event is left.
    pub(super) fn has_partial(&self) -> bool {
        self.splitter.has_partial()
    }

    /// Drops the part of an event of a run that broke off; another run sends it from its start.
    pub(super) fn discard_partial(&mut self) {
        self.splitter.clear();
    }

    /// Takes in received bytes; events that the caller has are dropped. Returns how many events are new.
    ///
    /// # Errors
    ///
    /// `Foreign` when an event is left out.
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
        Ok(events)
    }

    /// Takes out what is to be passed on.
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
