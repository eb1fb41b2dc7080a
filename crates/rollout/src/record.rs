//! Objects that the operations of operators write to the store.

use std::collections::BTreeMap;

use celerypond_bundle::Bundle;
use celerypond_types::{Digest, ModelName, OperatorName, Revision};
use serde::{Deserialize, Serialize};
use smol_str::{format_smolstr, SmolStr};

use crate::share_increase::ShareIncrease;

/// Key of the object that names the bundle in force.
pub const CURRENT_KEY: &str = "current";
/// Prefix of the keys of audit records, which sort by time.
pub const AUDIT_PREFIX: &str = "audit/";

/// Returns the key of a submitted bundle.
pub fn bundle_key(digest: Digest) -> SmolStr {
    format_smolstr!("bundle/{digest}")
}

/// Returns the key of a bundle's approval.
pub fn approval_key(digest: Digest) -> SmolStr {
    format_smolstr!("approval/{digest}")
}

/// Who performed an operation, and when. This is not a cryptographic signature.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Signature {
    /// Operator.
    pub operator: OperatorName,
    /// Unix time in milliseconds.
    pub at_ms: u64,
    /// Random number that identifies the operation; repeated writes after lost replies have the
    /// same one.
    pub nonce: u64,
}

/// A submitted bundle; the value of `bundle/<digest>`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Submission {
    /// Submitter and time.
    pub signature: Signature,
    /// Content of the bundle.
    pub bundle: Bundle,
}

/// An approval; the value of `approval/<digest>`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Approval {
    /// Approver and time.
    pub signature: Signature,
    /// Digest of the approved bundle.
    pub digest: Digest,
}

/// The last change of the configuration of one model.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ModelPart {
    /// Revision at which the configuration of the model changed last.
    pub origin: Revision,
    /// When that revision was rolled, as Unix time in milliseconds.
    pub rolled_ms: u64,
    /// Share increases of that change, which are rolled out in stages.
    #[serde(rename = "moves")]
    pub increases: Vec<ShareIncrease>,
}

/// The bundle in force; the value of `current`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CurrentBundle {
    /// Revision, one more than that of the previous bundle.
    pub revision: Revision,
    /// Digest of the bundle.
    pub digest: Digest,
    /// Operator that rolled it, and time.
    pub signature: Signature,
    /// Digest of the previous bundle.
    pub previous: Option<Digest>,
    /// Last change of each model.
    ///
    /// A bundle that does not change a model must neither restart the rollout of the model nor
    /// release its brake. An instance that starts later reads here what is being rolled out.
    #[serde(default)]
    pub parts: BTreeMap<ModelName, ModelPart>,
    /// Nonces of the latest rolls, newest first. They tell whether a roll whose reply was lost took
    /// effect.
    pub nonces: Vec<u64>,
}

/// Kind of an operation in the audit trail.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "step", rename_all = "snake_case")]
pub enum Action {
    /// Submitted a bundle.
    Submitted,
    /// Approved a bundle.
    Approved,
    /// Put a bundle in force.
    Rolled {
        /// Revision of the bundle.
        revision: Revision,
        /// Digest of the previous bundle.
        previous: Option<Digest>,
    },
}

/// One immutable entry of the audit trail; the value of `audit/<id>`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AuditRecord {
    /// Operation.
    pub action: Action,
    /// Digest of the bundle.
    pub digest: Digest,
    /// Operator and time.
    pub signature: Signature,
}

impl AuditRecord {
    /// Returns the key, which depends on the record only and sorts by time.
    ///
    /// Several writers of the record of one operation, or repeated writes, thus write the same
    /// object.
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

/// Description of a bundle that instances exchange without its content.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BundleHeader {
    /// Revision.
    pub revision: Revision,
    /// Digest of the bundle.
    pub digest: Digest,
    /// Last change of each model.
    pub parts: BTreeMap<ModelName, ModelPart>,
}

impl CurrentBundle {
    /// Returns the header that instances exchange.
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
