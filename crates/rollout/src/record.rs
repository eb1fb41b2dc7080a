//! The records that operators' steps leave in the store.

use std::collections::BTreeMap;

use celerypond_bundle::Bundle;
use celerypond_types::{Digest, ModelName, OperatorName, Revision};
use serde::{Deserialize, Serialize};
use smol_str::{format_smolstr, SmolStr};

use crate::share_increase::ShareIncrease;

/// The key of the object that names the bundle in force.
pub const CURRENT_KEY: &str = "current";
/// The prefix of the keys of audit records, which sort by time.
pub const AUDIT_PREFIX: &str = "audit/";

/// Returns the key of a bundle's content.
pub fn bundle_key(digest: Digest) -> SmolStr {
    format_smolstr!("bundle/{digest}")
}

/// Returns the key of a bundle's approval.
pub fn approval_key(digest: Digest) -> SmolStr {
    format_smolstr!("approval/{digest}")
}

/// Who did a step, when, and the random number that tells this try from others.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Signature {
    /// The operator.
    pub operator: OperatorName,
    /// The wall clock in milliseconds since 1970.
    pub at_ms: u64,
    /// A number drawn for this one try.
    pub nonce: u64,
}

/// A submitted bundle; the value of `bundle/<digest>`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Submission {
    /// Who submitted it and when.
    pub signature: Signature,
    /// The content that the digest is of.
    pub bundle: Bundle,
}

/// An approval; the value of `approval/<digest>`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Approval {
    /// Who approved and when.
    pub signature: Signature,
    /// The digest of the content that was approved.
    pub digest: Digest,
}

/// Since when a model's part of the bundle is what it is.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ModelPart {
    /// The revision at which it changed last.
    pub origin: Revision,
    /// The wall clock at that roll, in milliseconds since 1970.
    pub rolled_ms: u64,
    /// The rises of shares that it asked for.
    pub moves: Vec<ShareIncrease>,
}

/// The bundle in force; the value of `current`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CurrentBundle {
    /// The revision, one more than that of the bundle before.
    pub revision: Revision,
    /// The digest of the bundle.
    pub digest: Digest,
    /// Who rolled it and when.
    pub signature: Signature,
    /// The digest of the bundle before.
    pub previous: Option<Digest>,
    /// Since when each model's part of the bundle is what it is, and what it changed.
    ///
    /// A bundle that leaves a model as it was must not restart the rollout of that model, nor
    /// release its brake. An instance that starts later learns from here what is being rolled out.
    #[serde(default)]
    pub parts: BTreeMap<ModelName, ModelPart>,
    /// The nonces of the latest rolls, newest first, by which a lost reply is resolved.
    pub nonces: Vec<u64>,
}

/// What an operator did.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "step", rename_all = "snake_case")]
pub enum Action {
    /// Submitted a bundle.
    Submitted,
    /// Approved a bundle.
    Approved,
    /// Put a bundle in force.
    Rolled {
        /// The revision that it got.
        revision: Revision,
        /// The digest of the bundle before.
        previous: Option<Digest>,
    },
}

/// One immutable line of the audit trail; the value of `audit/<id>`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AuditRecord {
    /// What was done.
    pub action: Action,
    /// The bundle it was done to.
    pub digest: Digest,
    /// Who did it and when.
    pub signature: Signature,
}

impl AuditRecord {
    /// Returns the key, which follows from the record alone and sorts by time.
    ///
    /// Whoever writes the record of a step, and however often, writes the same object.
    pub fn key(&self) -> SmolStr {
        let step = match self.action {
            Action::Submitted => "submit",
            Action::Approved => "approve",
            Action::Rolled { .. } => "roll",
        };
        let Signature { at_ms, nonce, .. } = self.signature;
        format_smolstr!("{AUDIT_PREFIX}{at_ms:015}-{step}-{nonce:016x}")
    }
}

impl Submission {
    /// Returns the audit record of the submission.
    pub fn audit(&self, digest: Digest) -> AuditRecord {
        AuditRecord {
            action: Action::Submitted,
            digest,
            signature: self.signature.clone(),
        }
    }
}

impl Approval {
    /// Returns the audit record of the approval.
    pub fn audit(&self) -> AuditRecord {
        AuditRecord {
            action: Action::Approved,
            digest: self.digest,
            signature: self.signature.clone(),
        }
    }
}

/// What instances tell each other about the bundle in force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BundleHeader {
    /// The revision.
    pub revision: Revision,
    /// The digest of the bundle.
    pub digest: Digest,
    /// Since when each model's part is what it is.
    pub parts: BTreeMap<ModelName, ModelPart>,
}

impl CurrentBundle {
    /// Returns the part that instances tell each other.
    pub fn header(&self) -> BundleHeader {
        BundleHeader {
            revision: self.revision,
            digest: self.digest,
            parts: self.parts.clone(),
        }
    }

    /// Returns the audit record of the roll.
    pub fn audit(&self) -> AuditRecord {
        AuditRecord {
            action: Action::Rolled {
                revision: self.revision,
                previous: self.previous,
            },
            digest: self.digest,
            signature: self.signature.clone(),
        }
    }
}
