//! Keeps an answer going across failures of engines and instances.
//!
//! An answer is one sequence of tokens of one model version. Engines and instances can fail while
//! it is generated; the types here decide which token goes to the caller next, and what to do when
//! none arrives. They are state machines without I/O, tasks or clocks: an instance passes each
//! [`Input`] to [`Generation::step`] with the current time, and carries out the resulting
//! [`Effect`]s.
//!
//! Terms:
//!
//! - caller: the client that sent the request and receives the answer.
//! - attempt: one run of the request at one engine. A failed attempt is followed by another one,
//!   which starts with the tokens generated so far as its prefix.
//! - driver: an instance that generates the answer for one connection of the caller. Another
//!   instance takes over when the caller reconnects there.
//! - keeper: an instance that stores a [`KeeperRecord`] for the driver of a request, so that
//!   another instance can take over.
//! - probe: a resume of the current stream over a new connection, to see whether its engine is
//!   alive.

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
