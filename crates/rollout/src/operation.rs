//! Operations of operators: submit, approve and roll a bundle.
//!
//! Each operation is a state machine that makes one store call at a time. A single conditional
//! write decides its outcome, so operators may race and any reply may be lost.

mod replies;

use celerypond_bundle::Bundle;
use celerypond_types::{Digest, OperatorName, Revision};
use thiserror::Error;

use crate::{
    record::{bundle_key, Approval, AuditRecord, CurrentBundle, Signature, Submission},
    store::{Condition, StoreCall, StoreReply, MAX_VALUE_BYTES},
};

/// Maximum number of attempts of a call whose replies are lost.
const MAX_ATTEMPTS: u32 = 4;
/// Number of nonces kept in `current`: the number of later rolls after which a roll whose reply was
/// lost can still be recognized.
const KEPT_NONCES: usize = 16;

/// Request of an operator.
#[derive(Clone, Debug, PartialEq)]
pub enum OperationRequest {
    /// Stores a bundle for approval.
    Submit(Box<Bundle>),
    /// Approves the bundle with this digest.
    Approve(Digest),
    /// Puts an approved bundle in force.
    Roll {
        /// Digest of the bundle.
        digest: Digest,
        /// Revision that must be in force for the roll to take effect; `None` for any.
        expected: Option<Revision>,
    },
}

/// Outcome of an operation.
#[derive(Clone, Debug, PartialEq)]
pub enum OperationOutcome {
    /// The bundle is stored, by this operation or an earlier one with this signature.
    Submitted(Digest, Signature),
    /// The bundle is approved, by this operation or an earlier one.
    Approved(Approval),
    /// The bundle is in force under a new revision.
    Rolled(CurrentBundle),
    /// Another roll was first; this one took no effect.
    LostRace {
        /// Bundle in force instead.
        winner: Option<CurrentBundle>,
    },
}

/// Why an operation failed.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum OperationError {
    /// The store refused a call; the operation took no effect.
    #[error("the store is down; nothing was changed")]
    StoreDown,
    /// A reply was lost and the operation may have taken effect; the audit trail will show it.
    #[error("the store did not answer; the step may have taken effect")]
    OutcomeUnknown,
    /// No bundle with this digest was submitted.
    #[error("no bundle {0} was submitted")]
    BundleNotFound(Digest),
    /// The submitter of a bundle may not approve it.
    #[error("the bundle must be approved by another operator than its submitter")]
    SelfApproval,
    /// The bundle has no approval.
    #[error("bundle {0} is not approved")]
    NotApproved(Digest),
    /// The bundle exceeds the maximum size of an object.
    #[error("the bundle takes {0} bytes, more than the store holds")]
    TooLarge(usize),
    /// An object in the store does not have the form that this program writes.
    #[error("an object in the store is not of the expected form")]
    Malformed,
}

/// Next step of an operation.
#[derive(Clone, Debug, PartialEq)]
pub enum OperationStep {
    /// Make this call and pass its reply to [`Operation::reply`].
    Call(StoreCall),
    /// The operation ended.
    Finished(Result<OperationOutcome, OperationError>),
}

/// The reply that an operation awaits.
#[derive(Clone, Debug, PartialEq)]
enum Awaiting {
    /// Read of the bundle.
    Bundle,
    /// Read of the approval.
    Approval,
    /// Read of `current`.
    Current,
    /// Read of the bundle in force, whose `current` object is known.
    Previous(CurrentBundle),
    /// Write that decides the outcome.
    Write,
    /// Read of the object after the write failed.
    ReadBack,
    /// Write of an audit record.
    Audit(AfterAudit),
}

/// Continuation after the audit records are written.
#[derive(Clone, Debug, PartialEq)]
enum AfterAudit {
    /// Writes this object as `current`.
    Roll(CurrentBundle),
    /// Ends the operation.
    End(OperationOutcome),
}

/// State machine of one operation.
///
/// # Examples
///
/// ```
/// use celerypond_rollout::{
///     Operation, OperationError, OperationRequest, OperationStep, Signature, StoreReply,
/// };
/// use celerypond_types::Digest;
///
/// let digest = Digest::of(b"");
/// let signature = Signature { operator: "aigul".into(), at_ms: 1, nonce: 7 };
/// let (mut operation, _call) = Operation::begin(OperationRequest::Approve(digest), signature);
/// let step = operation.reply(StoreReply::Missing);
/// assert_eq!(step, OperationStep::Finished(Err(OperationError::BundleNotFound(digest))));
/// ```
#[derive(Clone, Debug)]
pub struct Operation {
    request: OperationRequest,
    digest: Digest,
    signature: Signature,
    awaiting: Awaiting,
    call: StoreCall,
    attempts: u32,
    /// Whether the reply of a write was lost, so that it may have taken effect.
    is_write_unconfirmed: bool,
    submitter: Option<OperatorName>,
    /// Bundle in force before a roll, and the version of its object.
    current: Option<(u64, CurrentBundle)>,
    /// Audit records still to be written, last first.
    audits: Vec<AuditRecord>,
    bundle: Option<Bundle>,
    /// Bundle in force after a roll.
    next: Option<CurrentBundle>,
}

impl Operation {
    /// Starts an operation and returns it with its first step.
    pub fn begin(request: OperationRequest, signature: Signature) -> (Self, OperationStep) {
        let digest = match &request {
            OperationRequest::Submit(bundle) => bundle.digest(),
            OperationRequest::Approve(digest) | OperationRequest::Roll { digest, .. } => *digest,
        };
        let mut operation = Self {
            request,
            digest,
            signature,
            awaiting: Awaiting::Bundle,
            call: StoreCall::read(bundle_key(digest)),
            attempts: 0,
            is_write_unconfirmed: false,
            submitter: None,
            current: None,
            audits: Vec::new(),
            bundle: None,
            next: None,
        };
        let step = operation.first_call();
        (operation, step)
    }

    /// Processes the reply to the last call and returns the next step.
    pub fn reply(&mut self, reply: StoreReply) -> OperationStep {
        match reply {
            StoreReply::Lost | StoreReply::Down => self.retry(reply == StoreReply::Lost),
            reply => self.on_reply(reply),
        }
    }

    fn first_call(&mut self) -> OperationStep {
        let OperationRequest::Submit(bundle) = &self.request else {
            return OperationStep::Call(self.call.clone());
        };
        let submission = Submission {
            signature: self.signature.clone(),
            bundle: (**bundle).clone(),
        };
        self.audits = vec![submission.audit(self.digest)];
        self.write(bundle_key(self.digest), Condition::Absent, &submission)
    }

    fn on_reply(&mut self, reply: StoreReply) -> OperationStep {
        match self.awaiting.clone() {
            Awaiting::Bundle => self.on_bundle(reply),
            Awaiting::Approval => self.on_approval(reply),
            Awaiting::Current => self.on_current(reply),
            Awaiting::Previous(current) => self.on_previous(&current, reply),
            Awaiting::Write => self.on_written(reply),
            Awaiting::ReadBack => self.on_read_back(reply),
            Awaiting::Audit(after) => self.write_audits(after),
        }
    }

    /// Repeats a call after a lost reply, or ends the operation.
    ///
    /// A write whose reply was lost may still take effect later. Repeating it with the same
    /// condition is safe: at most one of the writes takes effect, and the nonce tells whether it
    /// was one of this operation.
    fn retry(&mut self, is_reply_lost: bool) -> OperationStep {
        if let Awaiting::Audit(after) = &self.awaiting {
            // A missing audit record is no failure: it can be derived from the object that it is
            // about, and the next operation on this bundle, or the next roll, writes it before it
            // changes that object. A roll doesn't overwrite `current` before the earlier records
            // are written.
            return match after {
                AfterAudit::Roll(_) => OperationStep::Finished(Err(OperationError::StoreDown)),
                AfterAudit::End(outcome) => OperationStep::Finished(Ok(outcome.clone())),
            };
        }
        let is_write = matches!(self.call, StoreCall::Write { .. });
        self.is_write_unconfirmed |= is_write && is_reply_lost;
        self.attempts += 1;
        match (self.attempts < MAX_ATTEMPTS, self.is_write_unconfirmed) {
            (true, _) if is_reply_lost || self.is_write_unconfirmed => {
                OperationStep::Call(self.call.clone())
            }
            (_, true) => OperationStep::Finished(Err(OperationError::OutcomeUnknown)),
            (_, false) => OperationStep::Finished(Err(OperationError::StoreDown)),
        }
    }

    fn on_written(&mut self, reply: StoreReply) -> OperationStep {
        match reply {
            StoreReply::Written { .. } => self.on_success(),
            _ => self.read(Awaiting::ReadBack, self.call.key().clone()),
        }
    }

    /// Writes the next audit record, or continues if none is left.
    fn write_audits(&mut self, after: AfterAudit) -> OperationStep {
        if let Some(audit) = self.audits.pop() {
            self.awaiting = Awaiting::Audit(after);
            self.call = StoreCall::write(audit.key(), Condition::Absent, &audit);
            return OperationStep::Call(self.call.clone());
        }
        match after {
            AfterAudit::Roll(next) => self.write_current(&next),
            AfterAudit::End(outcome) => OperationStep::Finished(Ok(outcome)),
        }
    }

    fn read(&mut self, awaiting: Awaiting, key: impl Into<smol_str::SmolStr>) -> OperationStep {
        self.awaiting = awaiting;
        self.attempts = 0;
        self.call = StoreCall::read(key);
        OperationStep::Call(self.call.clone())
    }

    fn write(
        &mut self,
        key: impl Into<smol_str::SmolStr>,
        condition: Condition,
        value: &impl serde::Serialize,
    ) -> OperationStep {
        self.awaiting = Awaiting::Write;
        self.attempts = 0;
        self.call = StoreCall::write(key, condition, value);
        match &self.call {
            StoreCall::Write { value, .. } if value.len() > MAX_VALUE_BYTES => {
                OperationStep::Finished(Err(OperationError::TooLarge(value.len())))
            }
            call => OperationStep::Call(call.clone()),
        }
    }
}
