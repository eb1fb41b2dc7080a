//! What keeps an old holder's order from a target.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::OrderSettings;

/// What keeps an order of an old holder from taking effect at a target after a newer holder's.
///
/// The danger is a holder that is paused after it looked at its lease and before it wrote the order,
/// for longer than the lease. It goes on as if nothing had happened: no look at a clock can be so
/// late that no pause fits between it and the write.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StaleOrderGuard {
    /// The target refuses a fencing number lower than one it has seen. This alone is safe: the
    /// paused holder's order carries the lower number.
    Fencing,
    /// The target closes a connection that stays without a complete request for as long as the
    /// settings say.
    ///
    /// Orders go over a connection that is opened before the lease is looked at, so the paused
    /// holder writes to a connection that is older than its pause. A new holder waits this long on
    /// top of the lease and the longest send; by then the target has closed it.
    IdleClose,
    /// Neither. A pause between the look and the write can let an old order through. It is undone
    /// by the new holder, which reads the target's report and orders again.
    Repair,
}

impl StaleOrderGuard {
    /// Returns how long a new holder must wait after the last lease has run out.
    pub(crate) fn takeover_delay(self, settings: &OrderSettings) -> Duration {
        match self {
            Self::Fencing => Duration::ZERO,
            Self::IdleClose => settings.send_timeout + settings.idle_timeout,
            Self::Repair => settings.send_timeout,
        }
    }
}
