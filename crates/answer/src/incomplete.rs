//! Why an answer could not be completed.

use celerypond_types::{Attempt, Position, VersionName};
use thiserror::Error;

/// Why an answer could not be completed. What was shown of it is right, but not whole.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum Incomplete {
    /// The deadline passed while tokens still came.
    #[error("the deadline passed")]
    Deadline,
    /// The deadline passed while no target of the answer's version was available.
    #[error("no target of version {version} was available before the deadline")]
    NoTarget {
        /// The version that the answer must go on with.
        version: VersionName,
    },
    /// The deadline passed before any target was available.
    #[error("no target was available before the deadline")]
    NotStarted,
    /// Too many attempts in succession broke before their first token.
    #[error("{attempts} attempts in succession broke before their first token")]
    NoFirstToken {
        /// How many.
        attempts: u32,
    },
    /// The tokens before `position` can't be proved to be those that the caller has.
    #[error("the tokens before {position} are not those of the caller")]
    Diverged {
        /// How many tokens the caller has.
        position: Position,
    },
    /// Another instance drives the request now.
    #[error("attempt {attempt} of another instance superseded this one")]
    Superseded {
        /// The attempt number of the other instance.
        attempt: Attempt,
    },
    /// The caller went away and did not come back in time.
    #[error("the caller went away")]
    Abandoned,
}
