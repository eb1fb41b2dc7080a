//! Engines that restarted under another name.

use std::time::Duration;

use celerypond_types::TargetName;
use tokio::time::Instant;

use crate::{targets::RESTART_TTL, RestartReport};

/// An engine that restarted and answered under its new name, while the store did not list it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Restart {
    /// The hash of the name before the restart.
    pub(crate) previous_hash: u64,
    /// The name after the restart.
    pub(crate) name: TargetName,
    /// When the engine answered an instance.
    pub(crate) seen: Instant,
    /// When this instance learned of it.
    pub(crate) received_at: Instant,
}

impl Restart {
    /// Returns whether the restart is recent enough to be reported to other instances.
    pub(crate) fn is_recent(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.seen) < RESTART_TTL
    }

    /// Returns the report for other instances.
    pub(crate) fn report(&self, now: Instant) -> RestartReport {
        RestartReport {
            previous_hash: self.previous_hash,
            name: self.name.clone(),
            age_ms: age_ms(self.seen, now),
        }
    }
}

/// Returns the time since a moment in milliseconds.
pub(crate) fn age_ms(at: Instant, now: Instant) -> u32 {
    let age: Duration = now.saturating_duration_since(at);
    u32::try_from(age.as_millis()).unwrap_or(u32::MAX)
}
