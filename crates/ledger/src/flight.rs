//! A batch on its way into the store.

use bytes::Bytes;
use smol_str::SmolStr;
use tokio::time::Instant;

use crate::{
    batch::{Batch, Record},
    callers::Pending,
    stored::Place,
    Effect,
};

/// A batch on its way into the store.
///
/// A batch that may have taken effect is only ever written again as it is, under the same
/// condition, until a read tells what is at its place. Another batch for the same place could lose
/// to the first one, whose calls nobody would then send.
#[derive(Debug)]
pub(crate) struct Flight {
    pub(crate) place: Place,
    pub(crate) batch: Batch,
    pub(crate) value: Bytes,
    pub(crate) calls: Vec<Pending>,
    pub(crate) ends: Vec<Record>,
    /// Whether a write of it may have taken effect.
    pub(crate) doubtful: bool,
}

/// What the shard does with its store; one call at a time.
#[derive(Debug, Default)]
pub(crate) enum Step {
    #[default]
    Idle,
    Loading,
    Polling,
    Writing(Flight),
    /// The place of the batch is read.
    Checking(Flight),
    /// The batch is written again at the given time.
    Uncertain(Flight, Instant),
}

impl Flight {
    pub(crate) fn write(&self, key: SmolStr) -> Effect {
        let value = self.value.clone();
        match self.place.before {
            Some(expected_version) => Effect::Update {
                key,
                expected_version,
                value,
            },
            None => Effect::Create { key, value },
        }
    }
}

impl Step {
    /// Returns the calls whose intents are on their way.
    pub(crate) fn calls(&mut self) -> &mut [Pending] {
        match self {
            Self::Writing(flight) | Self::Checking(flight) | Self::Uncertain(flight, _) => {
                &mut flight.calls
            }
            Self::Idle | Self::Loading | Self::Polling => &mut [],
        }
    }
}
