//! How much of an answer has arrived.

use std::sync::{
    atomic::{AtomicU64, Ordering::Relaxed},
    Arc,
};

use tokio::sync::Notify;

/// The bytes of the answer to the call under way, or to the last one; clones share the count.
///
/// It distinguishes a slow transfer from one that never began; see [`Client::counting`].
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
pub struct Received(Arc<Count>);

#[derive(Debug, Default)]
struct Count {
    bytes: AtomicU64,
    added: Notify,
}

impl Received {
    /// Returns the bytes of the body that have arrived.
    pub fn bytes(&self) -> u64 {
        self.0.bytes.load(Relaxed)
    }

    /// Waits until more than so many bytes of the body have arrived.
    pub async fn exceeds(&self, bytes: u64) {
        loop {
            let added = self.0.added.notified();
            if self.bytes() > bytes {
                return;
            }
            added.await;
        }
    }

    /// Begins the count anew, as each call does.
    pub fn reset(&self) {
        self.0.bytes.store(0, Relaxed);
    }

    pub(crate) fn add(&self, bytes: usize) {
        self.0.bytes.fetch_add(bytes as u64, Relaxed);
        self.0.added.notify_waiters();
    }
}
