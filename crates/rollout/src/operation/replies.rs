//! What each reply of the store means for a step.

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
        // An approval that names other content, or the submitter, signs nothing off.
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
        let is_stale = matches!(
            self.request,
            OperationRequest::Roll { expected: Some(expected), .. } if expected != found
        );
        if is_stale {
            return OperationStep::Finished(Ok(OperationOutcome::LostRace {
                winner: current.cloned(),
            }));
        }
        match current.cloned() {
            Some(current) => {
                let key = bundle_key(current.digest);
                self.read(Awaiting::Previous(current), key)
            }
            None => self.prepare(None, None),
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
        self.prepare(Some(current), Some(&previous.bundle))
    }

    fn prepare(
        &mut self,
        current: Option<&CurrentBundle>,
        previous: Option<&Bundle>,
    ) -> OperationStep {
        let mut next = successor(current, self.digest, &self.signature);
        let bundle = self.bundle.as_ref();
        for model in bundle.iter().flat_map(|bundle| &bundle.models) {
            let before = previous.and_then(|bundle| bundle.model(&model.name));
            let part = current.and_then(|current| current.parts.get(&model.name));
            let part = part.filter(|_| before == Some(model)).cloned();
            let part = part.unwrap_or_else(|| ModelPart {
                origin: next.revision,
                rolled_ms: next.signature.at_ms,
                moves: share_increases(before, model),
            });
            next.parts.insert(model.name.clone(), part);
        }
        // The record of the bundle in force is completed before `current` is overwritten: else a
        // daemon that died between a roll and its record would leave a hole in the trail.
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
        let done = match &self.request {
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
        self.write_audits(AfterAudit::End(done))
    }

    /// Looks who holds the object that this step could not write.
    ///
    /// The failure: the first write took effect, its reply was lost and the repeat met a conflict.
    /// Without the nonce the operator would be told that they lost a race which they won.
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
            // The condition failed, so a later revision exists and this read was stale.
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

fn successor(
    current: Option<&CurrentBundle>,
    digest: Digest,
    signature: &Signature,
) -> CurrentBundle {
    let mut nonces = vec![signature.nonce];
    nonces.extend(current.iter().flat_map(|current| current.nonces.iter()));
    nonces.truncate(KEPT_NONCES);
    // A clock that lags behind the last roller's must not order the trail against the revisions.
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
