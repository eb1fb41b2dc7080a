//! The rollout state machine: bundles coming into force, stages, evidence, brake, endings.
//!
//! All decisions are pure. The daemon makes the store calls and carries the gossip.

mod applied_state;
mod brake;
mod bundle_tracker;
mod controller;
mod evidence;
mod histogram;
mod judge;
mod odds;
mod operation;
mod plan;
mod rank;
mod record;
mod reported_status;
mod rollout;
mod share_increase;
mod splitter;
mod store;
mod tally;
mod verdict;
mod version_rollout;

pub use applied_state::{AppliedShare, AppliedState, AppliedStates, Coverage};
pub use brake::Brakes;
pub use bundle_tracker::{BodyError, BundleTracker, Source, FETCH_TIMEOUT, POLL_INTERVAL};
pub use controller::{RolloutController, RolloutSnapshot};
pub use evidence::{Evidence, Incident, Line, Report, Route, Subject, Trial, INCIDENT_MS};
pub use histogram::{Histogram, BUCKETS};
pub use judge::Judge;
pub use odds::{odds, Seen};
pub use operation::{Operation, OperationError, OperationOutcome, OperationRequest, OperationStep};
pub use plan::{local_ppm, plan, Demand, Stage, StageStep, MAX_WITNESSES, STEPS};
pub use rank::{is_watcher, rank, witnesses, WATCHERS_PER_CENTRE};
pub use record::{
    approval_key, bundle_key, Action, Approval, AuditRecord, BundleHeader, CurrentBundle,
    ModelPart, Signature, Submission, AUDIT_PREFIX, CURRENT_KEY,
};
pub use reported_status::ReportedStatus;
pub use rollout::{rollout_key, Phase, Rollout, StepContext};
pub use share_increase::{configured_shares, share_increases, Candidate, ShareIncrease};
pub use splitter::{takes, Splitter, WHOLE_PPM};
pub use store::{parse_json, Condition, StoreCall, StoreReply, MAX_VALUE_BYTES};
pub use tally::{Failure, Tally, Trials};
pub use verdict::{Cause, Engines, Method, Verdict};
pub use version_rollout::VersionRollout;
