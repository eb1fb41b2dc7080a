//! Handling of the replies of the store to an operation.

use std::collections::BTreeMap;

use celerypond_bundle::Bundle;
use celerypond_types::{Digest, Revision};

use super::{
    AfterAudit, Awaiting, Operation, OperationError, OperationOutcome, OperationRequest,
    OperationStep, KEPT_NONCES,
};
use crate::{
    record::{
        approval_key, bundle_key, Approval, CurrentBundle, ModelPart, Signature, Submission,
        CURRENT_KEY,
    },
    share_increase::share_increases,
    store::{parse_json, Condition, StoreReply},
};

impl Operation {
    pub(super) fn on_bundle(&mut self, reply: StoreReply) -> OperationStep {
        let StoreReply::Found { value, .. } = reply else {
            return OperationStep::Finished(Err(OperationError::BundleNotFound(self.digest)));
        };
        let Some(submission) = parse_json::<Submission>(&value) else {
            return OperationStep::Finished(Err(OperationError::Malformed));
        };
        if submission.bundle.digest() != self.digest {
            return OperationStep::Finished(Err(OperationError::Malformed));
        }
        self.audits = vec![submission.audit(self.digest)];
        self.submitter = Some(submission.signature.operator);
        self.bundle = Some(submission.bundle);
        if matches!(self.request, OperationRequest::Roll { .. }) {
            return self.read(Awaiting::Approval, approval_key(self.digest));
        }
        if self.submitter.as_ref() == Some(&self.signature.operator) {
            return OperationStep::Finished(Err(OperationError::SelfApproval));
        }
        let approval = Approval {
            signature: self.signature.clone(),
            digest: self.digest,
        };
        self.audits.push(approval.audit());
        self.write(approval_key(self.digest), Condition::Absent, &approval)
    }

    pub(super) fn on_approval(&mut self, reply: StoreReply) -> OperationStep {
        let StoreReply::Found { value, .. } = reply else {
            return OperationStep::Finished(Err(OperationError::NotApproved(self.digest)));
        };
        let Some(approval) = parse_json::<Approval>(&value) else {
            return OperationStep::Finished(Err(OperationError::Malformed));
        };
        // An approval of other content, or by the submitter, does not count.
        if approval.digest != self.digest {
            return OperationStep::Finished(Err(OperationError::NotApproved(self.digest)));
        }
        if Some(&approval.signature.operator) == self.submitter.as_ref() {
            return OperationStep::Finished(Err(OperationError::SelfApproval));
        }
        self.audits.push(approval.audit());
        self.read(Awaiting::Current, CURRENT_KEY)
    }

    pub(super) fn on_current(&mut self, reply: StoreReply) -> OperationStep {
        self.current = match reply {
            StoreReply::Found { version, value } => match parse_json::<CurrentBundle>(&value) {
                Some(current) => Some((version, current)),
                None => return OperationStep::Finished(Err(OperationError::Malformed)),
            },
            _ => None,
        };
        let current = self.current.as_ref().map(|(_, current)| current);
        let found = current.map_or_else(Revision::default, |current| current.revision);
        let has_unexpected_revision = matches!(
            self.request,
            OperationRequest::Roll { expected: Some(expected), .. } if expected != found
        );
        if has_unexpected_revision {
            return OperationStep::Finished(Ok(OperationOutcome::LostRace {
                winner: current.cloned(),
            }));
        }
        match current.cloned() {
            Some(current) => {
                let key = bundle_key(current.digest);
                self.read(Awaiting::Previous(current), key)
            }
            None => self.prepare_roll(None, None),
        }
    }

    pub(super) fn on_previous(
        &mut self,
        current: &CurrentBundle,
        reply: StoreReply,
    ) -> OperationStep {
        let StoreReply::Found { value, .. } = reply else {
            return OperationStep::Finished(Err(OperationError::Malformed));
        };
        let Some(previous) = parse_json::<Submission>(&value) else {
            return OperationStep::Finished(Err(OperationError::Malformed));
        };
        self.prepare_roll(Some(current), Some(&previous.bundle))
    }

    fn prepare_roll(
        &mut self,
        current: Option<&CurrentBundle>,
        previous: Option<&Bundle>,
    ) -> OperationStep {
        let mut next = next_current(current, self.digest, &self.signature);
        let bundle = self.bundle.as_ref();
        for model in bundle.iter().flat_map(|bundle| &bundle.models) {
            let before = previous.and_then(|bundle| bundle.model(&model.name));
            let part = current.and_then(|current| current.parts.get(&model.name));
            let part = part.filter(|_| before == Some(model)).cloned();
            let part = part.unwrap_or_else(|| ModelPart {
                origin: next.revision,
                rolled_ms: next.signature.at_ms,
                increases: share_increases(before, model),
            });
            next.parts.insert(model.name.clone(), part);
        }
        // The audit record of the bundle in force is written before `current` is overwritten, in
        // case the daemon that rolled it crashed before it wrote the record.
        self.audits.extend(current.map(CurrentBundle::audit));
        self.next = Some(next.clone());
        self.write_audits(AfterAudit::Roll(next))
    }

    pub(super) fn write_current(&mut self, next: &CurrentBundle) -> OperationStep {
        let condition = self
            .current
            .as_ref()
            .map_or(Condition::Absent, |(version, _)| {
                Condition::Version(*version)
            });
        self.audits = vec![next.audit()];
        self.write(CURRENT_KEY, condition, next)
    }

    pub(super) fn on_success(&mut self) -> OperationStep {
        let outcome = match &self.request {
            OperationRequest::Submit(_) => {
                OperationOutcome::Submitted(self.digest, self.signature.clone())
            }
            OperationRequest::Approve(digest) => OperationOutcome::Approved(Approval {
                signature: self.signature.clone(),
                digest: *digest,
            }),
            OperationRequest::Roll { .. } => match self.next.clone() {
                Some(next) => OperationOutcome::Rolled(next),
                None => return OperationStep::Finished(Err(OperationError::OutcomeUnknown)),
            },
        };
        self.write_audits(AfterAudit::End(outcome))
    }

    /// Determines from the stored object whether this operation or another one wrote it.
    ///
    /// If a write takes effect but its reply is lost, repeating it fails with a conflict. Without
    /// the nonce the operator would be told that another operation was first.
    pub(super) fn on_read_back(&mut self, reply: StoreReply) -> OperationStep {
        let StoreReply::Found { value, .. } = reply else {
            return OperationStep::Finished(Err(OperationError::OutcomeUnknown));
        };
        match &self.request {
            OperationRequest::Submit(_) => match parse_json::<Submission>(&value) {
                Some(found) if found.signature == self.signature => self.on_success(),
                Some(found) => OperationStep::Finished(Ok(OperationOutcome::Submitted(
                    self.digest,
                    found.signature.clone(),
                ))),
                None => OperationStep::Finished(Err(OperationError::Malformed)),
            },
            OperationRequest::Approve(_) => match parse_json::<Approval>(&value) {
                Some(found) if found.signature == self.signature => self.on_success(),
                Some(found) => OperationStep::Finished(Ok(OperationOutcome::Approved(found))),
                None => OperationStep::Finished(Err(OperationError::Malformed)),
            },
            OperationRequest::Roll { .. } => match parse_json::<CurrentBundle>(&value) {
                Some(found) => self.resolve_roll(found),
                None => OperationStep::Finished(Err(OperationError::Malformed)),
            },
        }
    }

    fn resolve_roll(&mut self, found: CurrentBundle) -> OperationStep {
        if found.nonces.contains(&self.signature.nonce) {
            return self.on_success();
        }
        let base = self
            .current
            .as_ref()
            .map_or(0, |(_, current)| current.revision.0);
        if found.revision.0 <= base {
            // The condition of the write failed, so a later revision exists and this read was
            // stale.
            return self.retry(true);
        }
        let is_nonce_dropped = found.revision.0.saturating_sub(base) > KEPT_NONCES as u64;
        if self.is_write_unconfirmed && is_nonce_dropped {
            return OperationStep::Finished(Err(OperationError::OutcomeUnknown));
        }
        OperationStep::Finished(Ok(OperationOutcome::LostRace {
            winner: Some(found),
        }))
    }
}

fn next_current(
    current: Option<&CurrentBundle>,
    digest: Digest,
    signature: &Signature,
) -> CurrentBundle {
    let mut nonces = vec![signature.nonce];
    nonces.extend(current.iter().flat_map(|current| current.nonces.iter()));
    nonces.truncate(KEPT_NONCES);
    // Audit records sort by time. A clock behind that of the last roll must not change their order.
    let earliest_ms = current.map_or(0, |current| current.signature.at_ms + 1);
    CurrentBundle {
        revision: current
            .map_or_else(Revision::default, |current| current.revision)
            .next(),
        digest,
        signature: Signature {
            at_ms: signature.at_ms.max(earliest_ms),
            ..signature.clone()
        },
        previous: current.map(|current| current.digest),
        parts: BTreeMap::new(),
        nonces,
    }
}
