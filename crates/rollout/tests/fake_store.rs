//! Fake object API with outages and lost replies.

use std::collections::BTreeMap;

use celerypond_rollout::{
    Condition, Operation, OperationError, OperationOutcome, OperationRequest, OperationStep,
    Signature, StoreCall, StoreReply,
};
use rand::{rngs::SmallRng, Rng};
use smol_str::SmolStr;

/// Probability of each fault per call.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Faults {
    pub(crate) down: f64,
    pub(crate) lost: f64,
}

/// Objects by key; the version is a counter of all writes.
#[derive(Clone, Debug, Default)]
pub(crate) struct FakeStore {
    pub(crate) objects: BTreeMap<SmolStr, (u64, Vec<u8>)>,
    pub(crate) version: u64,
    pub(crate) down: bool,
}

impl FakeStore {
    pub(crate) fn call(&mut self, call: &StoreCall) -> StoreReply {
        if self.down {
            return StoreReply::Down;
        }
        let found = self.objects.get(call.key()).cloned();
        match call {
            StoreCall::Read { .. } => found.map_or(StoreReply::Missing, |(version, value)| {
                StoreReply::Found { version, value }
            }),
            StoreCall::Write {
                key,
                condition,
                value,
            } => {
                let holds = match condition {
                    Condition::Absent => found.is_none(),
                    Condition::Version(version) => found.is_some_and(|found| found.0 == *version),
                };
                if !holds {
                    return StoreReply::Conflict;
                }
                self.version += 1;
                self.objects
                    .insert(key.clone(), (self.version, value.clone()));
                StoreReply::Written {
                    version: self.version,
                }
            }
        }
    }

    /// Makes a call that may be refused or whose reply may be lost, before or after it takes
    /// effect.
    pub(crate) fn call_with_faults(
        &mut self,
        call: &StoreCall,
        faults: Faults,
        rng: &mut SmallRng,
    ) -> StoreReply {
        if rng.random_bool(faults.down) {
            return StoreReply::Down;
        }
        let takes_effect = rng.random_bool(0.5);
        if rng.random_bool(faults.lost) {
            if takes_effect {
                self.call(call);
            }
            return StoreReply::Lost;
        }
        self.call(call)
    }

    /// Runs an operation to its end without faults.
    pub(crate) fn run(
        &mut self,
        request: OperationRequest,
        signature: Signature,
    ) -> Result<OperationOutcome, OperationError> {
        let (mut operation, mut step) = Operation::begin(request, signature);
        loop {
            match step {
                OperationStep::Call(call) => step = operation.reply(self.call(&call)),
                OperationStep::Finished(end) => return end,
            }
        }
    }
}
