//! Limits what is read of a connection without a message coming out of it.

use std::{
    io,
    sync::{
        atomic::{AtomicUsize, Ordering::Relaxed},
        Arc,
    },
};

/// The maximum number of bytes, as a multiple of the connection's buffer. One part of a body may
/// wait for its reader, another one for its turn, and a third one in the buffer.
const MAX_BUFFERS: usize = 4;

/// Counts the bytes that are read from a connection until a message begins or a part of a body is
/// received.
///
/// HTTP has framing without a limit on its length, such as leading zeros of a chunk's size and
/// interim responses. It costs processor time, but neither memory nor anything else that is limited.
#[derive(Clone, Debug)]
pub(super) struct FramingMeter {
    read: Arc<AtomicUsize>,
    max: usize,
}

impl FramingMeter {
    /// Creates a meter for a connection with a buffer of this size.
    pub(super) fn new(buffer: usize) -> Self {
        Self {
            read: Arc::default(),
            max: buffer.saturating_mul(MAX_BUFFERS),
        }
    }

    /// Adds bytes that were read.
    ///
    /// # Errors
    ///
    /// `InvalidData` if there are more than may be.
    pub(super) fn add(&self, len: usize) -> io::Result<()> {
        let before = self.read.fetch_add(len, Relaxed);
        let is_allowed = before.saturating_add(len) <= self.max;
        if !is_allowed && before <= self.max {
            log::warn!(max = self.max; "connection given up, bytes without a message");
        }
        match is_allowed {
            true => Ok(()),
            false => Err(io::ErrorKind::InvalidData.into()),
        }
    }

    /// Records that a message began or that a part of a body was received.
    pub(super) fn reset(&self) {
        self.read.store(0, Relaxed);
    }
}
