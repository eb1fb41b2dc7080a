//! The write of a batch, and the operation that the shard has under way at the store.

use bytes::Bytes;
use smol_str::SmolStr;
use tokio::time::Instant;

use crate::{
    batch::{Batch, Record},
    stored_batch::AppendPosition,
    waiting_callers::WaitingCall,
    Effect,
};

/// The write of a batch that is not confirmed yet.
///
/// After an attempt that may have taken effect, the write is only ever repeated unchanged and under
/// the same condition, until a read shows which batch is at its position. A different batch for the
/// same position could lose to the first one, and then nobody would send the calls of the first.
#[derive(Debug)]
pub(crate) struct BatchWrite {
    pub(crate) position: AppendPosition,
    pub(crate) batch: Batch,
    /// The encoded batch.
    pub(crate) value: Bytes,
    /// The calls whose intents are in the batch.
    pub(crate) calls: Vec<WaitingCall>,
    /// The results that are in the batch.
    pub(crate) results: Vec<Record>,
    /// Whether an attempt may have taken effect.
    pub(crate) may_have_taken_effect: bool,
}

/// The operation that the shard has under way at the store; one at a time.
#[derive(Debug, Default)]
pub(crate) enum StoreOperation {
    #[default]
    Idle,
    Listing,
    /// Reads the slot of the next batch, which other instances may have written.
    Polling,
    Writing(BatchWrite),
    /// Reads the slot of the write, to learn which batch is there.
    ReadingBack(BatchWrite),
    /// Repeats the write at the given time.
    WaitingToRewrite(BatchWrite, Instant),
}

impl BatchWrite {
    pub(crate) fn effect(&self, key: SmolStr) -> Effect {
        let value = self.value.clone();
        match self.position.expected_version {
            Some(expected_version) => Effect::Update {
                key,
                expected_version,
                value,
            },
            None => Effect::Create { key, value },
        }
    }
}

impl StoreOperation {
    /// Returns the calls whose intents are being written.
    pub(crate) fn calls(&mut self) -> &mut [WaitingCall] {
        match self {
            Self::Writing(write) | Self::ReadingBack(write) | Self::WaitingToRewrite(write, _) => {
                &mut write.calls
            }
            Self::Idle | Self::Listing | Self::Polling => &mut [],
        }
    }
}
