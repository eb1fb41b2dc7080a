//! State machines that bring configuration bundles into force and roll out model versions.
//!
//! The crate does no I/O: the daemon makes the store calls and exchanges state between instances.
//!
//! - A *bundle* is one version of the whole configuration. Operators submit, approve and *roll* it
//!   ([`Operation`]); a roll puts it *in force* under the next revision. [`BundleTracker`] keeps
//!   the newest bundle on each instance.
//! - A bundle that raises the traffic share of a version starts a *rollout* ([`Rollout`]). It is
//!   identified by its *origin*, the revision at which the configuration of the model changed. The
//!   *candidate* is the version whose share rises, and the *base* the version that it is compared
//!   with.
//! - [`RolloutController`] runs on each instance. It splits requests between candidate and base,
//!   counts their results as evidence and proposes the next rollout record, which the daemon writes
//!   to the store.
//! - [`Judge`] compares candidate and base. A version that it finds bad is *braked* ([`Brakes`]):
//!   all instances set its share to 0, and it gets no traffic until a later bundle changes the
//!   model.

mod applied_state;
mod bayes;
mod brake;
mod bundle_tracker;
mod controller;
mod evidence;
mod histogram;
mod judge;
mod operation;
mod plan;
mod record;
mod rendezvous;
mod reported_status;
mod rollout;
mod share_increase;
mod splitter;
mod store;
mod tally;
mod verdict;
mod version_rollout;

pub use applied_state::{AppliedShare, AppliedState, AppliedStates, Coverage};
pub use bayes::{bayes_factor, Proportion};
pub use brake::Brakes;
pub use bundle_tracker::{AcceptError, BundleTracker, Source, FETCH_TIMEOUT, POLL_INTERVAL};
pub use controller::{RolloutController, RolloutSnapshot};
pub use evidence::{
    Evidence, EvidenceReport, Incident, ReportLine, RequestClass, Subject, Trial,
    INCIDENT_WINDOW_MS,
};
pub use histogram::{Histogram, BUCKET_COUNT};
pub use judge::Judge;
pub use operation::{Operation, OperationError, OperationOutcome, OperationRequest, OperationStep};
pub use plan::{
    local_ppm, plan_stages, PlanInput, Stage, StageTemplate, MAX_REPORTERS, STAGE_TEMPLATES,
};
pub use record::{
    approval_key, bundle_key, Action, Approval, AuditRecord, BundleHeader, CurrentBundle,
    ModelPart, Signature, Submission, AUDIT_PREFIX, CURRENT_KEY,
};
pub use rendezvous::{evidence_reporters, is_watcher, rendezvous_order, WATCHERS_PER_DATA_CENTRE};
pub use reported_status::ReportedStatus;
pub use rollout::{rollout_key, Phase, Rollout, StepContext};
pub use share_increase::{configured_shares, share_increases, Candidate, ShareIncrease};
pub use splitter::{selects, TrafficSplitter, FULL_SHARE_PPM};
pub use store::{parse_json, Condition, StoreCall, StoreReply, MAX_VALUE_BYTES};
pub use tally::{Failure, Tally, TrialCounts};
pub use verdict::{Cause, Engines, RolloutConfig, Verdict};
pub use version_rollout::VersionRollout;
