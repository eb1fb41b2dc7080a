//! The name of an engine-side stream.

use celerypond_types::{Attempt, TargetName};
use serde::{Deserialize, Serialize};

/// The name of an engine-side stream: an engine and the attempt that was started there.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct StreamId {
    /// The engine.
    pub target: TargetName,
    /// The attempt that was started at the engine.
    pub attempt: Attempt,
}
