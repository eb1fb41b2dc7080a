//! How much of an answer has arrived.

use std::sync::{
    atomic::{AtomicU64, Ordering::Relaxed},
    Arc,
};

/// The bytes of the answer to the call under way, or to the last one; clones share the count.
///
/// It tells a transfer that is slow from one that never began; see [`Client::counting`].
///
/// # Examples
///
/// ```
/// use celerypond_platform::Received;
///
/// let received = Received::default();
/// assert_eq!(received.bytes(), 0);
/// ```
///
/// [`Client::counting`]: crate::Client::counting
#[derive(Clone, Debug, Default)]
pub struct Received(Arc<AtomicU64>);

impl Received {
    /// Returns the bytes of the body that have arrived.
    pub fn bytes(&self) -> u64 {
        self.0.load(Relaxed)
    }

    pub(crate) fn reset(&self) {
        self.0.store(0, Relaxed);
    }

    pub(crate) fn add(&self, bytes: usize) {
        self.0.fetch_add(bytes as u64, Relaxed);
    }
}
