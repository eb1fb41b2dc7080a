//! How much of an answer has arrived.

use std::sync::{
    atomic::{AtomicU64, Ordering::Relaxed},
    Arc,
};

use tokio::sync::Notify;

/// The bytes of the answer to the call under way, or to the last one; clones share the count.
///
/// It distinguishes a slow transfer from one that never began; see [`Client::with_progress`].
///
/// # Examples
///
/// ```
/// use celerypond_platform::TransferProgress;
///
/// let progress = TransferProgress::default();
/// assert_eq!(progress.bytes(), 0);
/// ```
///
/// [`Client::with_progress`]: crate::Client::with_progress
#[derive(Clone, Debug, Default)]
pub struct TransferProgress(Arc<Count>);

#[derive(Debug, Default)]
struct Count {
    bytes: AtomicU64,
    added: Notify,
}

impl TransferProgress {
    /// Returns the bytes of the body that have arrived.
    pub fn bytes(&self) -> u64 {
        self.0.bytes.load(Relaxed)
    }

    /// Waits until more than so many bytes of the body have arrived.
    pub async fn wait_until_above(&self, bytes: u64) {
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
