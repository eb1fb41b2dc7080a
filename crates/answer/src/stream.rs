//! One engine-side stream of an answer.

use celerypond_types::{Attempt, TargetName};

/// The low bits of an attempt number count the tries of one driver; the high bits count drivers.
const TRY_BITS: u32 = 16;

/// The name of an engine-side stream: an engine and the attempt that was started there.
///
/// Attempt numbers of different drivers of one request never meet: a driver that takes over starts
/// at the next multiple of 65,536, and counts its own tries from there.
///
/// # Examples
///
/// ```
/// use celerypond_answer::Stream;
/// use celerypond_types::Attempt;
///
/// assert_eq!(Stream::next_driver(Attempt(3)), Attempt(65_536));
/// assert_eq!(Stream::next_driver(Attempt(65_536)), Attempt(131_072));
/// ```
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Stream {
    /// The engine.
    pub target: TargetName,
    /// The attempt that was started at the engine.
    pub attempt: Attempt,
}

impl Stream {
    /// Returns the first attempt number of the driver that comes after the driver of `attempt`.
    pub const fn next_driver(attempt: Attempt) -> Attempt {
        Attempt(((attempt.0 >> TRY_BITS) + 1) << TRY_BITS)
    }
}
