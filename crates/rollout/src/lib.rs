//! The rollout state machine: bundles coming into force, stages, evidence, brake, endings.
//!
//! All decisions are pure. The daemon makes the store calls and carries the gossip.

mod desk;
mod record;
mod store;

pub use desk::{Desk, DeskError, Done, Request, Step};
pub use record::{
    approval_key, bundle_key, Action, Approval, Audit, Current, Signature, Submission,
    AUDIT_PREFIX, CURRENT_KEY,
};
pub use store::{parse, Condition, StoreCall, StoreReply, MAX_VALUE_BYTES};
