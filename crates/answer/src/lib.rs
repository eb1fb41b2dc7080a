//! Continuity of an answer: splice, digest, resume, stall detection.
//!
//! An answer is one sequence of tokens of one model version. Engines and instances die while it is
//! generated; the types here decide which token goes to the caller next, and what to do when none
//! comes. They are state machines without sockets, tasks or clocks of their own.

mod chain;
mod driver;
mod event;
mod resume;
mod seal;
mod splice;
mod stall;
mod stream;

pub use chain::ChainDigest;
pub use driver::Driver;
pub use event::{Done, Event, EventError, Frame, Reason};
pub use resume::{Origin, ResumeError, ResumeToken};
pub use seal::{Seal, SealKey, Sealed};
pub use splice::{Splice, Verdict};
pub use stall::{Patience, Stall, StallLimits};
pub use stream::Stream;
