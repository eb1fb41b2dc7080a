//! What each reply of the store means for a step.

use std::collections::BTreeMap;

use celerypond_bundle::Bundle;
use celerypond_types::{Digest, Revision};

use super::{After, Desk, DeskError, Done, Request, Stage, Step, KEPT_NONCES};
use crate::{
    moves::moves,
    record::{
        approval_key, bundle_key, Approval, Current, Part, Signature, Submission, CURRENT_KEY,
    },
    store::{parse, Condition, StoreReply},
};

impl Desk {
    pub(super) fn bundle_read(&mut self, reply: StoreReply) -> Step {
        let StoreReply::Found { value, .. } = reply else {
            return Step::End(Err(DeskError::NoBundle(self.digest)));
        };
        let Some(submission) = parse::<Submission>(&value) else {
            return Step::End(Err(DeskError::Malformed));
        };
        if submission.bundle.digest() != self.digest {
            return Step::End(Err(DeskError::Malformed));
        }
        self.audits = vec![submission.audit(self.digest)];
        self.owner = Some(submission.signature.operator);
        self.bundle = Some(submission.bundle);
        if matches!(self.request, Request::Roll { .. }) {
            return self.read(Stage::Approval, approval_key(self.digest));
        }
        if self.owner.as_ref() == Some(&self.signature.operator) {
            return Step::End(Err(DeskError::OwnBundle));
        }
        let approval = Approval {
            signature: self.signature.clone(),
            digest: self.digest,
        };
        self.audits.push(approval.audit());
        self.write(approval_key(self.digest), Condition::Absent, &approval)
    }

    pub(super) fn approval_read(&mut self, reply: StoreReply) -> Step {
        let StoreReply::Found { value, .. } = reply else {
            return Step::End(Err(DeskError::NotApproved(self.digest)));
        };
        let Some(approval) = parse::<Approval>(&value) else {
            return Step::End(Err(DeskError::Malformed));
        };
        // An approval that names other content, or the submitter, signs nothing off.
        if approval.digest != self.digest {
            return Step::End(Err(DeskError::NotApproved(self.digest)));
        }
        if Some(&approval.signature.operator) == self.owner.as_ref() {
            return Step::End(Err(DeskError::OwnBundle));
        }
        self.audits.push(approval.audit());
        self.read(Stage::Current, CURRENT_KEY)
    }

    pub(super) fn current_read(&mut self, reply: StoreReply) -> Step {
        self.current = match reply {
            StoreReply::Found { version, value } => match parse::<Current>(&value) {
                Some(current) => Some((version, current)),
                None => return Step::End(Err(DeskError::Malformed)),
            },
            _ => None,
        };
        let current = self.current.as_ref().map(|(_, current)| current);
        let found = current.map_or_else(Revision::default, |current| current.revision);
        let is_stale = matches!(
            self.request,
            Request::Roll { expected: Some(expected), .. } if expected != found
        );
        if is_stale {
            return Step::End(Ok(Done::Outrun {
                winner: current.cloned(),
            }));
        }
        match current.cloned() {
            Some(current) => {
                let key = bundle_key(current.digest);
                self.read(Stage::Previous(current), key)
            }
            None => self.prepare(None, None),
        }
    }

    pub(super) fn previous_read(&mut self, current: &Current, reply: StoreReply) -> Step {
        let StoreReply::Found { value, .. } = reply else {
            return Step::End(Err(DeskError::Malformed));
        };
        let Some(previous) = parse::<Submission>(&value) else {
            return Step::End(Err(DeskError::Malformed));
        };
        self.prepare(Some(current), Some(&previous.bundle))
    }

    fn prepare(&mut self, current: Option<&Current>, previous: Option<&Bundle>) -> Step {
        let mut next = successor(current, self.digest, &self.signature);
        let bundle = self.bundle.as_ref();
        for model in bundle.iter().flat_map(|bundle| &bundle.models) {
            let before = previous.and_then(|bundle| bundle.model(&model.name));
            let part = current.and_then(|current| current.parts.get(&model.name));
            let part = part.filter(|_| before == Some(model)).cloned();
            let part = part.unwrap_or_else(|| Part {
                origin: next.revision,
                rolled_ms: next.signature.at_ms,
                moves: moves(before, model),
            });
            next.parts.insert(model.name.clone(), part);
        }
        // The record of the bundle in force is completed before `current` is overwritten: else a
        // daemon that died between a roll and its record would leave a hole in the trail.
        self.audits.extend(current.map(Current::audit));
        self.next = Some(next.clone());
        self.audit(After::Roll(next))
    }

    pub(super) fn roll(&mut self, next: &Current) -> Step {
        let condition = self
            .current
            .as_ref()
            .map_or(Condition::Absent, |(version, _)| {
                Condition::Version(*version)
            });
        self.audits = vec![next.audit()];
        self.write(CURRENT_KEY, condition, next)
    }

    pub(super) fn success(&mut self) -> Step {
        let done = match &self.request {
            Request::Submit(_) => Done::Submitted(self.digest, self.signature.clone()),
            Request::Approve(digest) => Done::Approved(Approval {
                signature: self.signature.clone(),
                digest: *digest,
            }),
            Request::Roll { .. } => match self.next.clone() {
                Some(next) => Done::Rolled(next),
                None => return Step::End(Err(DeskError::Unknown)),
            },
        };
        self.audit(After::End(done))
    }

    /// Looks who holds the object that this step could not write.
    ///
    /// The failure: the first write took effect, its reply was lost and the repeat met a conflict.
    /// Without the nonce the operator would be told that they lost a race which they won.
    pub(super) fn read_back(&mut self, reply: StoreReply) -> Step {
        let StoreReply::Found { value, .. } = reply else {
            return Step::End(Err(DeskError::Unknown));
        };
        match &self.request {
            Request::Submit(_) => match parse::<Submission>(&value) {
                Some(found) if found.signature == self.signature => self.success(),
                Some(found) => Step::End(Ok(Done::Submitted(self.digest, found.signature.clone()))),
                None => Step::End(Err(DeskError::Malformed)),
            },
            Request::Approve(_) => match parse::<Approval>(&value) {
                Some(found) if found.signature == self.signature => self.success(),
                Some(found) => Step::End(Ok(Done::Approved(found))),
                None => Step::End(Err(DeskError::Malformed)),
            },
            Request::Roll { .. } => match parse::<Current>(&value) {
                Some(found) => self.judge(found),
                None => Step::End(Err(DeskError::Malformed)),
            },
        }
    }

    fn judge(&mut self, found: Current) -> Step {
        if found.nonces.contains(&self.signature.nonce) {
            return self.success();
        }
        let base = self
            .current
            .as_ref()
            .map_or(0, |(_, current)| current.revision.0);
        if found.revision.0 <= base {
            // The condition failed, so a later revision exists and this read was stale.
            return self.again(true);
        }
        let is_forgotten = found.revision.0.saturating_sub(base) > KEPT_NONCES as u64;
        if self.lost && is_forgotten {
            return Step::End(Err(DeskError::Unknown));
        }
        Step::End(Ok(Done::Outrun {
            winner: Some(found),
        }))
    }
}

fn successor(current: Option<&Current>, digest: Digest, signature: &Signature) -> Current {
    let mut nonces = vec![signature.nonce];
    nonces.extend(current.iter().flat_map(|current| current.nonces.iter()));
    nonces.truncate(KEPT_NONCES);
    // A clock that lags behind the last roller's must not order the trail against the revisions.
    let earliest_ms = current.map_or(0, |current| current.signature.at_ms + 1);
    Current {
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
