//! Continuity of an answer: token sequence, digest, resume, stall detection.
//!
//! An answer is one sequence of tokens of one model version. Engines and instances die while it is
//! generated; the types here decide which token goes to the caller next, and what to do when none
//! comes. They are state machines without sockets, tasks or clocks of their own.

mod caller_output;
mod chain;
mod driver;
mod effect;
mod event;
mod generation;
mod incomplete;
mod input;
mod keeper;
mod record;
mod request;
mod resume;
mod resume_codec;
mod resume_scheduler;
mod sequence;
mod stream_id;
mod stream_reader;
mod takeover;
mod timeouts;

pub use chain::ChainDigest;
pub use driver::DriverId;
pub use effect::{Effect, Emit, Finish, Start, TargetCriteria};
pub use event::{Done, Event, EventError, FinishReason, Frame};
pub use generation::Generation;
pub use incomplete::Incomplete;
pub use input::{ChosenTarget, ConnectionId, Input, Refusal};
pub use keeper::{Keeper, PutError};
pub use record::{KeeperRecord, RecordError, RecordExtension};
pub use request::{DeliveryMode, ExtensionLimits, GenerationLimits, Request};
pub use resume::{Origin, ResumeError, ResumeToken};
pub use resume_codec::{AttemptTokenEncoder, ResumeTokenCodec, ResumeTokenKey};
pub use resume_scheduler::{Grant, ResumeLimits, ResumeScheduler, WaiterKey};
pub use sequence::{TokenSequence, Verdict};
pub use stream_id::StreamId;
pub use takeover::{TakeOver, TakeOverError};
pub use timeouts::{TimeoutEstimator, TimeoutLimits, Timeouts};
