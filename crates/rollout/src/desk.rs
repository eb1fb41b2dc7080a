//! The operators' steps: submit, approve, roll.
//!
//! Each step is a state machine that asks for one store call at a time. What decides is always the
//! condition of a single write, so operators may race and replies may be lost at any call.

mod steps;

use celerypond_bundle::Bundle;
use celerypond_types::{Digest, OperatorName, Revision};
use thiserror::Error;

use crate::{
    record::{bundle_key, Approval, Audit, Current, Signature, Submission},
    store::{Condition, StoreCall, StoreReply, MAX_VALUE_BYTES},
};

/// How often a call without a reply is repeated before the step ends as unknown.
const MAX_TRIES: u32 = 4;
/// How many nonces `current` keeps, so how many later rolls a lost reply can be behind.
const KEPT_NONCES: usize = 16;

/// What an operator asks for.
#[derive(Clone, Debug, PartialEq)]
pub enum Request {
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
pub enum Done {
    /// The bundle is stored, now or since this earlier submission.
    Submitted(Digest, Signature),
    /// The bundle is approved, now or since this earlier approval.
    Approved(Approval),
    /// The bundle is accepted under a new revision.
    Rolled(Current),
    /// Another roll came first; this one took no effect.
    Outrun {
        /// What is in force instead.
        winner: Option<Current>,
    },
}

/// Why a step did not end.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum DeskError {
    /// The store refused a call; the step took no effect.
    #[error("the store is down; nothing was changed")]
    Down,
    /// The step may have taken effect; the history will show.
    #[error("the store did not answer; the step may have taken effect")]
    Unknown,
    /// No bundle with this digest was submitted.
    #[error("no bundle {0} was submitted")]
    NoBundle(Digest),
    /// The submitter may not approve.
    #[error("the bundle must be approved by another operator than its submitter")]
    OwnBundle,
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
pub enum Step {
    /// Make this call and hand its reply to [`Desk::reply`].
    Call(StoreCall),
    /// The step ended.
    End(Result<Done, DeskError>),
}

#[derive(Clone, Debug, PartialEq)]
enum Stage {
    Bundle,
    Approval,
    Current,
    Previous(Current),
    Write,
    ReadBack,
    Audit(After),
}

/// What follows once the audit records are written.
#[derive(Clone, Debug, PartialEq)]
enum After {
    Roll(Current),
    End(Done),
}

/// One step of an operator under way.
///
/// # Examples
///
/// ```
/// use celerypond_rollout::{Desk, DeskError, Request, Signature, Step, StoreReply};
/// use celerypond_types::Digest;
///
/// let digest = Digest::of(b"");
/// let signature = Signature { operator: "aigul".into(), at_ms: 1, nonce: 7 };
/// let (mut desk, _call) = Desk::begin(Request::Approve(digest), signature);
/// let step = desk.reply(StoreReply::Missing);
/// assert_eq!(step, Step::End(Err(DeskError::NoBundle(digest))));
/// ```
#[derive(Clone, Debug)]
pub struct Desk {
    request: Request,
    digest: Digest,
    signature: Signature,
    stage: Stage,
    call: StoreCall,
    tries: u32,
    lost: bool,
    owner: Option<OperatorName>,
    current: Option<(u64, Current)>,
    audits: Vec<Audit>,
    bundle: Option<Bundle>,
    next: Option<Current>,
}

impl Desk {
    /// Begins a step and returns it with its first call.
    pub fn begin(request: Request, signature: Signature) -> (Self, Step) {
        let digest = match &request {
            Request::Submit(bundle) => bundle.digest(),
            Request::Approve(digest) | Request::Roll { digest, .. } => *digest,
        };
        let mut desk = Self {
            request,
            digest,
            signature,
            stage: Stage::Bundle,
            call: StoreCall::read(bundle_key(digest)),
            tries: 0,
            lost: false,
            owner: None,
            current: None,
            audits: Vec::new(),
            bundle: None,
            next: None,
        };
        let step = desk.first();
        (desk, step)
    }

    /// Takes the reply to the last call and returns what comes next.
    pub fn reply(&mut self, reply: StoreReply) -> Step {
        match reply {
            StoreReply::Lost | StoreReply::Down => self.again(reply == StoreReply::Lost),
            reply => self.advance(reply),
        }
    }

    fn first(&mut self) -> Step {
        let Request::Submit(bundle) = &self.request else {
            return Step::Call(self.call.clone());
        };
        let submission = Submission {
            signature: self.signature.clone(),
            bundle: (**bundle).clone(),
        };
        self.audits = vec![submission.audit(self.digest)];
        self.write(bundle_key(self.digest), Condition::Absent, &submission)
    }

    fn advance(&mut self, reply: StoreReply) -> Step {
        match self.stage.clone() {
            Stage::Bundle => self.bundle_read(reply),
            Stage::Approval => self.approval_read(reply),
            Stage::Current => self.current_read(reply),
            Stage::Previous(current) => self.previous_read(&current, reply),
            Stage::Write => self.written(reply),
            Stage::ReadBack => self.read_back(reply),
            Stage::Audit(after) => self.audit(after),
        }
    }

    /// Repeats the call whose reply did not come.
    ///
    /// A write whose reply was lost may still take effect later. The same write with the same
    /// condition is sent again: at most one of the two can hold, and the nonce tells whose it was.
    fn again(&mut self, lost: bool) -> Step {
        if let Stage::Audit(after) = &self.stage {
            // The step itself took effect. Its record follows from the object that it wrote, and the
            // next step on this bundle, or the next roll, writes it before it changes that object.
            return match after {
                After::Roll(_) => Step::End(Err(DeskError::Down)),
                After::End(done) => Step::End(Ok(done.clone())),
            };
        }
        let is_write = matches!(self.call, StoreCall::Write { .. });
        self.lost |= is_write && lost;
        self.tries += 1;
        match (self.tries < MAX_TRIES, self.lost) {
            (true, _) if lost || self.lost => Step::Call(self.call.clone()),
            (_, true) => Step::End(Err(DeskError::Unknown)),
            (_, false) => Step::End(Err(DeskError::Down)),
        }
    }

    fn written(&mut self, reply: StoreReply) -> Step {
        match reply {
            StoreReply::Written { .. } => self.success(),
            _ => self.read(Stage::ReadBack, self.call.key().clone()),
        }
    }

    /// Writes the next record, or goes on when none is left.
    fn audit(&mut self, after: After) -> Step {
        if let Some(audit) = self.audits.pop() {
            self.stage = Stage::Audit(after);
            self.call = StoreCall::write(audit.key(), Condition::Absent, &audit);
            return Step::Call(self.call.clone());
        }
        match after {
            After::Roll(next) => self.roll(&next),
            After::End(done) => Step::End(Ok(done)),
        }
    }

    fn read(&mut self, stage: Stage, key: impl Into<smol_str::SmolStr>) -> Step {
        self.stage = stage;
        self.tries = 0;
        self.call = StoreCall::read(key);
        Step::Call(self.call.clone())
    }

    fn write(
        &mut self,
        key: impl Into<smol_str::SmolStr>,
        condition: Condition,
        value: &impl serde::Serialize,
    ) -> Step {
        self.stage = Stage::Write;
        self.tries = 0;
        self.call = StoreCall::write(key, condition, value);
        match &self.call {
            StoreCall::Write { value, .. } if value.len() > MAX_VALUE_BYTES => {
                Step::End(Err(DeskError::TooLarge(value.len())))
            }
            call => Step::Call(call.clone()),
        }
    }
}
