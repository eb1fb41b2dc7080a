//! The events of a stream between its engines and its caller.

use std::collections::VecDeque;

use bytes::Bytes;
use celerypond_relay::{AttemptFailure, Event, EventSplitter};
use hyper::body::Frame;

/// The events of a stream between its engines and its caller: whole ones only, each once, in order.
pub(super) struct EventBuffer {
    events: EventSplitter,
    /// Whole events that the caller has not had yet.
    ready: VecDeque<Bytes>,
    /// The id of the last event that was taken in.
    last: Option<u64>,
    /// Events that were passed on.
    passed: u64,
}

impl EventBuffer {
    /// Begins after the last event that the caller has.
    pub(super) fn after(last: Option<u64>) -> Self {
        Self {
            events: EventSplitter::default(),
            ready: VecDeque::new(),
            last,
            passed: 0,
        }
    }

    /// Returns the id of the last event that was taken in.
    pub(super) const fn last(&self) -> Option<u64> {
        self.last
    }

    /// Returns how many events were passed on.
    pub(super) const fn passed(&self) -> u64 {
        self.passed
    }

    /// Returns whether there is an event to pass on.
    pub(super) fn is_ready(&self) -> bool {
        !self.ready.is_empty()
    }

    /// Returns whether a part of an event is left.
    pub(super) fn has_rest(&self) -> bool {
        self.events.has_partial()
    }

    /// Drops the part of an event of a run that broke off; another run sends it from its start.
    pub(super) fn drop_rest(&mut self) {
        self.events.clear();
    }

    /// Takes in received bytes; events that the caller has are dropped. Returns how many events are new.
    ///
    /// # Errors
    ///
    /// `Foreign` when an event is left out.
    pub(super) fn take_in(&mut self, frame: &Frame<Bytes>) -> Result<u32, AttemptFailure> {
        let Some(bytes) = frame.data_ref() else {
            return Ok(0);
        };
        let mut events = 0;
        self.events.push(bytes);
        for Event { id, bytes } in self.events.by_ref() {
            if let (Some(id), Some(last)) = (id, self.last) {
                if id <= last {
                    continue;
                }
                if id > last + 1 {
                    return Err(AttemptFailure::Foreign);
                }
            }
            self.last = id.or(self.last);
            self.ready.push_back(bytes);
            events += 1;
        }
        Ok(events)
    }

    /// Takes out what is to be passed on.
    pub(super) fn next(&mut self) -> Option<Bytes> {
        self.passed += self.ready.len() as u64;
        match self.ready.len() {
            0 | 1 => self.ready.pop_front(),
            _ => Some(self.ready.drain(..).collect::<Vec<Bytes>>().concat().into()),
        }
    }
}
