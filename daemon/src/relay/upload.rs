//! How far the body of a request was sent.

use std::{
    io,
    sync::{
        atomic::{AtomicBool, Ordering::Relaxed},
        Arc,
    },
};

/// Whether a connection has parts of the current request's body that were not written yet.
///
/// A response without a length ends with its connection. If that comes before the request was
/// written, the target has given up the request, and what came of the response may be a part of it.
#[derive(Clone, Debug, Default)]
pub(super) struct Upload {
    is_body_open: Arc<AtomicBool>,
    is_write_blocked: Arc<AtomicBool>,
}

impl Upload {
    /// Records whether there are parts of the body that the connection has not taken.
    pub(super) fn set_body_open(&self, is_open: bool) {
        self.is_body_open.store(is_open, Relaxed);
    }

    /// Records whether what the connection has taken waits to be written.
    pub(super) fn set_write_blocked(&self, is_blocked: bool) {
        self.is_write_blocked.store(is_blocked, Relaxed);
    }

    /// Checks the number of bytes of a read, which is 0 at the end of the connection.
    ///
    /// # Errors
    ///
    /// `ConnectionReset` at the end while the request is being written.
    pub(super) fn check_read(&self, len: usize) -> io::Result<()> {
        let is_unfinished = self.is_body_open.load(Relaxed) || self.is_write_blocked.load(Relaxed);
        match len == 0 && is_unfinished {
            true => Err(io::ErrorKind::ConnectionReset.into()),
            false => Ok(()),
        }
    }
}
