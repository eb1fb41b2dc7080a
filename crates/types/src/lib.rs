//! Types shared by all crates: keys, names, digests, ordinals and outcomes of calls.

mod counts;
mod digest;
mod keys;
mod names;
mod outcome;
mod priority;

pub use counts::{Attempt, FencingNumber, Position, Revision, TokenId};
pub use digest::{Digest, DigestError};
pub use keys::{AccountKey, InstanceKey, TargetKey, VersionKey};
pub use names::{
    AccountName, AdapterName, DataCentre, InstanceName, ModelName, OperatorName, RequestKey,
    ServiceName, TargetName, VersionName,
};
pub use outcome::{NotRunReason, Outcome};
pub use priority::Priority;
