//! The operators' steps: submit, approve, roll.
//!
//! Each step is a state machine that asks for one store call at a time. What decides is always the
//! condition of a single write, so operators may race and replies may be lost at any call.

use std::collections::BTreeMap;

use celerypond_bundle::Bundle;
use celerypond_types::{Digest, OperatorName, Revision};
use thiserror::Error;

use crate::{
    moves::moves,
    record::{
        approval_key, bundle_key, Approval, Audit, Current, Part, Signature, Submission,
        CURRENT_KEY,
    },
    store::{parse, Condition, StoreCall, StoreReply, MAX_VALUE_BYTES},
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

    fn bundle_read(&mut self, reply: StoreReply) -> Step {
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

    fn approval_read(&mut self, reply: StoreReply) -> Step {
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

    fn current_read(&mut self, reply: StoreReply) -> Step {
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

    fn previous_read(&mut self, current: &Current, reply: StoreReply) -> Step {
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

    fn roll(&mut self, next: &Current) -> Step {
        let condition = self
            .current
            .as_ref()
            .map_or(Condition::Absent, |(version, _)| {
                Condition::Version(*version)
            });
        self.audits = vec![next.audit()];
        self.write(CURRENT_KEY, condition, next)
    }

    fn written(&mut self, reply: StoreReply) -> Step {
        match reply {
            StoreReply::Written { .. } => self.success(),
            _ => self.read(Stage::ReadBack, self.call.key().clone()),
        }
    }

    fn success(&mut self) -> Step {
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
    fn read_back(&mut self, reply: StoreReply) -> Step {
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
