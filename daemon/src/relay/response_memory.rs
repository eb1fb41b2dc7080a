//! The memory of response bodies that this instance holds.

use std::sync::{
    atomic::{AtomicUsize, Ordering::Relaxed},
    Arc,
};

use bytes::{Bytes, BytesMut};
use celerypond_relay::{AttemptFailure, ProcessLimits};
use http_body_util::BodyExt as _;

use super::metered_body::MeteredBody;

/// The maximum size of one response that is not a stream.
const MAX_BODY_BYTES: usize = 32 << 20;
/// The bytes of each body that do not count, so that usual responses are received while faulty
/// targets fill the memory.
const FREE_BYTES: usize = 64 << 10;

/// Limits the memory of all response bodies that are held at the same time. Faulty targets may send
/// bodies without end, under any number of requests.
#[derive(Debug)]
pub(super) struct ResponseMemory {
    /// The maximum sum of the bytes of all bodies beyond [`FREE_BYTES`] of each.
    max_total: usize,
    used: AtomicUsize,
}

impl ResponseMemory {
    pub(super) fn new(limits: &ProcessLimits) -> Self {
        Self {
            max_total: limits.response_bytes(),
            used: AtomicUsize::new(0),
        }
    }

    /// Returns the number of bytes that count towards the limit.
    pub(super) fn used(&self) -> usize {
        self.used.load(Relaxed)
    }

    /// Reads a body to its end. It is held until the returned bytes are dropped.
    ///
    /// # Errors
    ///
    /// `Broken` if the body ended early, is larger than [`MAX_BODY_BYTES`], or if there is no memory
    /// left.
    pub(super) async fn collect(
        self: &Arc<Self>,
        body: &mut MeteredBody,
    ) -> Result<Bytes, AttemptFailure> {
        let mut held = HeldBytes::new(self);
        let mut bytes = BytesMut::new();
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|_| AttemptFailure::Broken)?;
            if let Some(data) = frame.data_ref() {
                let len = bytes.len() + data.len();
                if len > MAX_BODY_BYTES || !held.resize(len) {
                    log::warn!(len, used = self.used(); "response given up, too large");
                    return Err(AttemptFailure::Broken);
                }
                bytes.extend_from_slice(data);
            }
        }
        Ok(Bytes::from_owner(HeldBody { bytes, _held: held }))
    }
}

/// A body with its share of the memory.
struct HeldBody {
    bytes: BytesMut,
    _held: HeldBytes,
}

impl AsRef<[u8]> for HeldBody {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// The share of one body in the memory, which is returned on drop.
#[derive(Debug)]
pub(super) struct HeldBytes {
    memory: Arc<ResponseMemory>,
    counted: usize,
}

impl HeldBytes {
    pub(super) fn new(memory: &Arc<ResponseMemory>) -> Self {
        Self {
            memory: Arc::clone(memory),
            counted: 0,
        }
    }

    /// Changes the size of the body, and returns whether there is memory for it.
    pub(super) fn resize(&mut self, len: usize) -> bool {
        let counted = len.saturating_sub(FREE_BYTES);
        let used = &self.memory.used;
        if counted <= self.counted {
            used.fetch_sub(self.counted - counted, Relaxed);
            self.counted = counted;
            return true;
        }
        let more = counted - self.counted;
        let grown = used.fetch_update(Relaxed, Relaxed, |used| {
            let sum = used + more;
            (sum <= self.memory.max_total).then_some(sum)
        });
        if grown.is_ok() {
            self.counted = counted;
        }
        grown.is_ok()
    }
}

impl Drop for HeldBytes {
    fn drop(&mut self) {
        self.memory.used.fetch_sub(self.counted, Relaxed);
    }
}
