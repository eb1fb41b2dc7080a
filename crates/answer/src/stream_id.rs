//! The id of a stream at an engine.

use celerypond_types::{Attempt, TargetName};
use serde::{Deserialize, Serialize};

/// The id of a stream at an engine. A stream can be resumed over a new connection while the engine
/// has it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct StreamId {
    /// The engine.
    pub target: TargetName,
    /// The attempt that was started at the engine.
    pub attempt: Attempt,
}
