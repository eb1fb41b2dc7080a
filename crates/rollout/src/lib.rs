//! The rollout state machine: bundles coming into force, stages, evidence, brake, endings.
//!
//! All decisions are pure. The daemon makes the store calls and carries the gossip.

mod desk;
mod in_force;
mod moves;
mod rank;
mod record;
mod splitter;
mod store;

pub use desk::{Desk, DeskError, Done, Request, Step};
pub use in_force::{BodyError, InForce, Source, ASK_TIMEOUT, POLL_INTERVAL};
pub use moves::{moves, shares, Candidate, Move};
pub use rank::{is_watcher, rank, WATCHERS_PER_CENTRE};
pub use record::{
    approval_key, bundle_key, Action, Approval, Audit, Current, Headline, Signature, Submission,
    AUDIT_PREFIX, CURRENT_KEY,
};
pub use splitter::{Splitter, WHOLE_PPM};
pub use store::{parse, Condition, StoreCall, StoreReply, MAX_VALUE_BYTES};
