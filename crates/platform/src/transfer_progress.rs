//! Progress of a response body in transfer.

use std::sync::{
    atomic::{AtomicU64, Ordering::Relaxed},
    Arc,
};

use tokio::sync::Notify;

/// The number of body bytes received for the current call, or for the last one. Clones share the
/// count.
///
/// It tells a slow transfer from one that never started; see [`Client::with_progress`].
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
pub struct TransferProgress(Arc<Inner>);

#[derive(Debug, Default)]
struct Inner {
    bytes: AtomicU64,
    increased: Notify,
}

impl TransferProgress {
    /// Returns the number of body bytes received.
    pub fn bytes(&self) -> u64 {
        self.0.bytes.load(Relaxed)
    }

    /// Waits until more than `bytes` bytes of the body have been received.
    pub async fn wait_until_above(&self, bytes: u64) {
        loop {
            let increased = self.0.increased.notified();
            if self.bytes() > bytes {
                return;
            }
            increased.await;
        }
    }

    /// Resets the count to zero. Every call does this when it starts.
    pub fn reset(&self) {
        self.0.bytes.store(0, Relaxed);
    }

    pub(crate) fn add(&self, bytes: usize) {
        self.0.bytes.fetch_add(bytes as u64, Relaxed);
        self.0.increased.notify_waiters();
    }
}
