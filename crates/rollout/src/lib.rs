//! The rollout state machine: bundles coming into force, stages, evidence, brake, endings.
//!
//! All decisions are pure. The daemon makes the store calls and carries the gossip.

mod acting;
mod brake;
mod controller;
mod evidence;
mod histogram;
mod in_force;
mod judge;
mod move_record;
mod moves;
mod odds;
mod operation;
mod plan;
mod rank;
mod record;
mod rollout;
mod splitter;
mod standing;
mod store;
mod tally;
mod verdict;

pub use acting::{Acting, ActingMove, Roster, Spread};
pub use brake::Brakes;
pub use controller::{RolloutController, RolloutSnapshot};
pub use evidence::{Evidence, Incident, Line, Report, Route, Subject, Trial, INCIDENT_MS};
pub use histogram::{Histogram, BUCKETS};
pub use in_force::{BodyError, InForce, Source, ASK_TIMEOUT, POLL_INTERVAL};
pub use judge::Judge;
pub use move_record::MoveRecord;
pub use moves::{moves, shares, Candidate, Move};
pub use odds::{odds, Seen};
pub use operation::{Operation, OperationError, OperationOutcome, OperationRequest, OperationStep};
pub use plan::{local_ppm, plan, Demand, Stage, StageStep, MAX_WITNESSES, STEPS};
pub use rank::{is_watcher, rank, witnesses, WATCHERS_PER_CENTRE};
pub use record::{
    approval_key, bundle_key, Action, Approval, Audit, Current, Headline, Part, Signature,
    Submission, AUDIT_PREFIX, CURRENT_KEY,
};
pub use rollout::{rollout_key, Phase, Rollout, View};
pub use splitter::{takes, Splitter, WHOLE_PPM};
pub use standing::Standing;
pub use store::{parse, Condition, StoreCall, StoreReply, MAX_VALUE_BYTES};
pub use tally::{Failure, Tally, Trials};
pub use verdict::{Cause, Engines, Method, Verdict};
