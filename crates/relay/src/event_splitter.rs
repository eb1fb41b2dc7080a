//! Splitting of a response body into server-sent events.

use bytes::{Buf, Bytes, BytesMut};

/// A complete event as it was received, with its id.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// The id; `None` for a comment or an event without one.
    pub id: Option<u64>,
    /// All bytes of the event, including the empty line at its end.
    pub bytes: Bytes,
}

/// Splits received bytes into complete events.
///
/// A target may die in the middle of an event. If the first half of an event were passed on, the
/// next event of the target that continues the stream would be appended to it. Therefore only
/// complete events are returned, and an incomplete one is dropped.
///
/// # Examples
///
/// ```
/// use celerypond_relay::EventSplitter;
///
/// let mut events = EventSplitter::default();
/// events.push(b"id: 1\ndata: a\n\nid: 2\nda");
/// let first = events.next().unwrap();
/// assert_eq!((first.id, &first.bytes[..]), (Some(1), &b"id: 1\ndata: a\n\n"[..]));
/// assert!(events.next().is_none());
/// assert!(events.has_partial());
/// ```
#[derive(Clone, Debug, Default)]
pub struct EventSplitter {
    buffer: BytesMut,
    /// The number of bytes in the buffer that were searched for the end of an event.
    searched: usize,
}

impl EventSplitter {
    /// Appends received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Returns whether the buffer contains an incomplete event.
    pub fn has_partial(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Drops an incomplete event, after its target failed.
    pub fn clear(&mut self) {
        self.buffer.clear();
        self.searched = 0;
    }

    /// Returns the number of bytes that are buffered for an incomplete event.
    pub fn buffered_len(&self) -> usize {
        self.buffer.remaining()
    }

    fn end(&mut self) -> Option<usize> {
        let from = self.searched.saturating_sub(3);
        let found = (from..self.buffer.len()).find_map(|at| {
            let rest = &self.buffer[at..];
            let is_end = rest.starts_with(b"\n\n");
            let is_long_end = rest.starts_with(b"\r\n\r\n");
            is_end
                .then_some(at + 2)
                .or_else(|| is_long_end.then_some(at + 4))
        });
        self.searched = self.buffer.len();
        found
    }
}

impl Iterator for EventSplitter {
    type Item = Event;

    fn next(&mut self) -> Option<Event> {
        let end = self.end()?;
        let bytes = self.buffer.split_to(end).freeze();
        self.searched = 0;
        Some(Event {
            id: id(&bytes),
            bytes,
        })
    }
}

fn id(bytes: &[u8]) -> Option<u64> {
    let lines = bytes.split(|byte| *byte == b'\n');
    let mut fields = lines.filter_map(|line| line.strip_prefix(b"id:"));
    std::str::from_utf8(fields.next()?)
        .ok()?
        .trim()
        .parse()
        .ok()
}
