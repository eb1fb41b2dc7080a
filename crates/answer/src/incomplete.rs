//! Why an answer could not be completed.

use celerypond_types::{Attempt, Position, VersionName};
use thiserror::Error;

/// Why an answer could not be completed. The tokens delivered so far are valid.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum Incomplete {
    /// The deadline passed while tokens were still being generated.
    #[error("the deadline passed")]
    Deadline,
    /// The deadline passed while no target of the answer's version was available.
    #[error("no target of version {version} was available before the deadline")]
    NoTarget {
        /// The version that the answer must continue with.
        version: VersionName,
    },
    /// The deadline passed before any target was available.
    #[error("no target was available before the deadline")]
    NotStarted,
    /// Too many consecutive attempts failed before their first token.
    #[error("{attempts} attempts in succession broke before their first token")]
    NoFirstToken {
        /// The number of failed attempts.
        attempts: u32,
    },
    /// The tokens before `position` could not be verified to be those that the caller has.
    #[error("the tokens before {position} are not those of the caller")]
    Diverged {
        /// The number of tokens that the caller has.
        position: Position,
    },
    /// Another driver has taken over the request.
    #[error("attempt {attempt} of another instance superseded this one")]
    Superseded {
        /// The attempt number of the other driver.
        attempt: Attempt,
    },
    /// The caller disconnected and did not reconnect in time.
    #[error("the caller went away")]
    Abandoned,
}
