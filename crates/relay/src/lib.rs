//! Decisions about routed requests: the route and account of a request, the target that runs it,
//! whether it is sent again after a failure, and where a stream is continued.
//!
//! This crate does no I/O and reads no clock; callers pass in the current time.
//!
//! Terms:
//!
//! - A *target* runs requests. It is an *engine*, which generates streams of events from prompts,
//!   or belongs to a *plain service*, whose responses are in one piece.
//! - An engine *reads* a prompt (prefill) before it generates events. This slows down the streams
//!   that it runs at the same time. Prompts consist of *parts*; engines cache parts that they have
//!   read.
//! - *Peers* are the other instances of the fleet. Each instance sends them a list of its streams
//!   and what it observed (see [`Placements`]). The *origin* of a message is the id of the sending
//!   process.
//! - An *order* of an operator moves a service to another version in stages (see [`Order`]).

mod address_index;
mod admission;
mod admission_rate;
mod attempt_failure;
mod caller_budget;
mod caller_use;
mod change_log;
mod config;
mod connection_limit;
mod contact;
mod cooldown;
mod copy_room;
mod dead_engines;
mod denied;
mod departed;
mod directory;
mod engine_pace;
mod event_splitter;
mod event_times;
mod evidence;
mod first_event_wait;
mod freshness;
mod group;
mod head;
mod held_versions;
mod history;
mod idle_limits;
mod late_timer;
mod leaving_notice;
mod link;
mod memory_use;
mod observation;
mod order;
mod own_streams;
mod pace;
mod part_notice;
mod part_quarantine;
mod part_record;
mod partition;
mod peer_partitions;
mod peer_streams;
mod pending_return;
mod placement_schedule;
mod planned_stop;
mod process_limits;
mod prompt_locations;
mod quality;
mod queue_estimate;
mod rate_limit;
mod rejection_limit;
mod relocation;
mod request_deadline;
mod response_time;
mod restart;
mod retry_budget;
mod return_queue;
mod return_time;
mod returned;
mod rollout;
mod routing_table;
mod selection;
mod send_check;
mod settings;
mod shortest_run;
mod silence;
mod stale;
mod steady_time;
mod store_backoff;
mod store_contact;
mod stream_admission;
mod stream_arrival;
mod stream_room;
mod target;
mod target_entry;
mod target_losses;
mod target_update;
mod targets;
mod urgency;
mod usage_levels;
mod usual_deadlines;
mod version_routing;
mod watchers;

pub use admission::{StreamRequest, TimeNeeded};
pub use admission_rate::AdmissionRate;
pub use attempt_failure::{AttemptFailure, AttemptState, NextStep};
pub use caller_budget::{CallerBudget, CallerKey, Eviction, OpenedCaller, TooManyCallers};
pub use caller_use::{CallerShare, CallerStage};
pub use config::{Account, Backend, CallerLimits, Config, EngineLimits, Route, RouteKind, Service};
pub use connection_limit::ConnectionLimit;
pub use contact::Contact;
pub use cooldown::Cooldown;
pub use copy_room::CopyRoom;
pub use dead_engines::DeadEngine;
pub use denied::Denied;
pub use directory::directory_addresses;
pub use event_splitter::{Event, EventSplitter};
pub use event_times::{EventTimer, EventTimes};
pub use evidence::{Answers, Evidence, EvidenceReport, VersionCounts};
pub use first_event_wait::FirstEventWait;
pub use freshness::Freshness;
pub use group::Group;
pub use head::{
    CallerHead, CopyName, Load, Prompt, PromptPart, TargetRequestHead, TargetResponseHead,
};
pub use history::History;
pub use idle_limits::{IdleLimit, IdleLimits};
pub use late_timer::running_timeout_at;
pub use leaving_notice::LeavingNotice;
pub use memory_use::MemoryUse;
pub use observation::Observation;
pub use order::{Order, Phase, Stage};
pub use own_streams::PlacementKey;
pub use pace::Pace;
pub use part_notice::{PartKey, PartNotice, QuarantinedPart, SuspectPart};
pub use part_quarantine::{PartAccess, PartChange, PartQuarantine};
pub use partition::Partitions;
pub use peer_partitions::{PartitionNotice, PeerPartitions};
pub use peer_streams::{
    EngineUsage, PeerStreams, Placement, Placements, PromptLocation, RestartReport,
};
pub use pending_return::{PendingReturn, ReturnNotice};
pub use placement_schedule::PlacementSchedule;
pub use planned_stop::{PeerCounts, PlannedStop};
pub use process_limits::ProcessLimits;
pub use prompt_locations::PromptLocationSchedule;
pub use quality::{Quality, Tally};
pub use queue_estimate::QueueEstimate;
pub use rate_limit::{RateEvent, RateLimit, RateNotice};
pub use rejection_limit::{FullnessNotice, RejectionLimit};
pub use relocation::{BetterEngine, RemainingEvents};
pub use request_deadline::RequestDeadline;
pub use response_time::{choose_candidate, Candidate, ChoiceQuery, PaceJudgement, ResponseTime};
pub use retry_budget::{RetryBudget, SendCounts};
pub use return_queue::ReturnQueue;
pub use return_time::{limit_return, max_backoff, ReturnClaim};
pub use returned::{ReturnTiming, Returned};
pub use rollout::{Fleet, Rollout};
pub use routing_table::RoutingTable;
pub use selection::{Selection, TargetQuery};
pub use send_check::{Hold, HoldReason, SendQuery};
pub use settings::{Bounds, Listen, Seed, Settings, StoreSettings};
pub use silence::{EngineWait, SilenceLimits};
pub use stale::{Stale, StaleWait};
pub use steady_time::SteadyTime;
pub use store_backoff::StoreBackoff;
pub use store_contact::StoreContact;
pub use stream_admission::{StreamClaim, StreamVerdict};
pub use stream_arrival::{StreamArrival, StreamDecision};
pub use stream_room::StreamRoom;
pub use target::Target;
pub use target_entry::{Presence, TargetEntry};
pub use target_losses::{LossNotice, RequestFingerprint, Separation, TargetLosses, TargetRun};
pub use target_update::{decode, encode, TargetUpdate};
pub use targets::{Change, Targets};
pub use urgency::Urgency;
pub use usage_levels::{LevelUsage, UsageLevels};
pub use usual_deadlines::UsualDeadlines;
pub use version_routing::{VersionChoice, VersionRouting};
pub use watchers::{Notice, Watchers};
