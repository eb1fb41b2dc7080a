//! The operators' steps: submit, approve, roll.
//!
//! Each step is a state machine that asks for one store call at a time. What decides is always the
//! condition of a single write, so operators may race and replies may be lost at any call.

mod replies;

use celerypond_bundle::Bundle;
use celerypond_types::{Digest, OperatorName, Revision};
use thiserror::Error;

use crate::{
    record::{bundle_key, Approval, AuditRecord, CurrentBundle, Signature, Submission},
    store::{Condition, StoreCall, StoreReply, MAX_VALUE_BYTES},
};

/// How often a call without a reply is repeated before the step ends as unknown.
const MAX_ATTEMPTS: u32 = 4;
/// How many nonces `current` keeps, so how many later rolls a lost reply can be behind.
const KEPT_NONCES: usize = 16;

/// What an operator asks for.
#[derive(Clone, Debug, PartialEq)]
pub enum OperationRequest {
    /// Stores a bundle for approval.
    Submit(Box<Bundle>),
    /// Signs off the bundle with this digest.
    Approve(Digest),
    /// Puts an approved bundle in force.
    Roll {
        /// The bundle's digest.
        digest: Digest,
        /// The revision that the operator takes to be in force, if a change of it shall refuse the roll.
        expected: Option<Revision>,
    },
}

/// How a step ended.
#[derive(Clone, Debug, PartialEq)]
pub enum OperationOutcome {
    /// The bundle is stored, now or since this earlier submission.
    Submitted(Digest, Signature),
    /// The bundle is approved, now or since this earlier approval.
    Approved(Approval),
    /// The bundle is accepted under a new revision.
    Rolled(CurrentBundle),
    /// Another roll came first; this one took no effect.
    LostRace {
        /// What is in force instead.
        winner: Option<CurrentBundle>,
    },
}

/// Why a step did not end.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum OperationError {
    /// The store refused a call; the step took no effect.
    #[error("the store is down; nothing was changed")]
    StoreDown,
    /// The step may have taken effect; the history will show.
    #[error("the store did not answer; the step may have taken effect")]
    OutcomeUnknown,
    /// No bundle with this digest was submitted.
    #[error("no bundle {0} was submitted")]
    BundleNotFound(Digest),
    /// The submitter may not approve.
    #[error("the bundle must be approved by another operator than its submitter")]
    SelfApproval,
    /// The bundle has no approval.
    #[error("bundle {0} is not approved")]
    NotApproved(Digest),
    /// The bundle is larger than the store holds.
    #[error("the bundle takes {0} bytes, more than the store holds")]
    TooLarge(usize),
    /// The store holds something else than this program writes.
    #[error("an object in the store is not of the expected form")]
    Malformed,
}

/// What a step wants next.
#[derive(Clone, Debug, PartialEq)]
pub enum OperationStep {
    /// Make this call and hand its reply to [`Operation::reply`].
    Call(StoreCall),
    /// The step ended.
    Finished(Result<OperationOutcome, OperationError>),
}

#[derive(Clone, Debug, PartialEq)]
enum Awaiting {
    Bundle,
    Approval,
    Current,
    Previous(CurrentBundle),
    Write,
    ReadBack,
    Audit(AfterAudit),
}

/// What follows once the audit records are written.
#[derive(Clone, Debug, PartialEq)]
enum AfterAudit {
    Roll(CurrentBundle),
    End(OperationOutcome),
}

/// One step of an operator under way.
///
/// # Examples
///
/// ```
/// use celerypond_rollout::{Operation, OperationError, OperationRequest, Signature, OperationStep, StoreReply};
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
    is_write_unconfirmed: bool,
    submitter: Option<OperatorName>,
    current: Option<(u64, CurrentBundle)>,
    audits: Vec<AuditRecord>,
    bundle: Option<Bundle>,
    next: Option<CurrentBundle>,
}

impl Operation {
    /// Begins a step and returns it with its first call.
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

    /// Takes the reply to the last call and returns what comes next.
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

    /// Repeats the call whose reply did not come.
    ///
    /// A write whose reply was lost may still take effect later. The same write with the same
    /// condition is sent again: at most one of the two can hold, and the nonce tells whose it was.
    fn retry(&mut self, is_reply_lost: bool) -> OperationStep {
        if let Awaiting::Audit(after) = &self.awaiting {
            // The step itself took effect. Its record follows from the object that it wrote, and the
            // next step on this bundle, or the next roll, writes it before it changes that object.
            return match after {
                AfterAudit::Roll(_) => OperationStep::Finished(Err(OperationError::StoreDown)),
                AfterAudit::End(done) => OperationStep::Finished(Ok(done.clone())),
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

    /// Writes the next record, or goes on when none is left.
    fn write_audits(&mut self, after: AfterAudit) -> OperationStep {
        if let Some(audit) = self.audits.pop() {
            self.awaiting = Awaiting::Audit(after);
            self.call = StoreCall::write(audit.key(), Condition::Absent, &audit);
            return OperationStep::Call(self.call.clone());
        }
        match after {
            AfterAudit::Roll(next) => self.write_current(&next),
            AfterAudit::End(done) => OperationStep::Finished(Ok(done)),
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
