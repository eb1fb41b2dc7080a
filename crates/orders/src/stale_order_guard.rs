//! Protection of targets against orders of former lease holders.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::OrderSettings;

/// How a target is protected against stale orders: orders of a former lease holder that take effect
/// after those of a newer one.
///
/// A holder may be paused between checking its lease and writing an order, for longer than the
/// lease lasts, and write the order once it resumes. No check of the clock can rule this out, since
/// a pause can always fall between the check and the write.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StaleOrderGuard {
    /// The target refuses orders with a fencing number lower than the highest it has seen. This is
    /// sufficient by itself, as a former holder's orders have a lower number.
    Fencing,
    /// The target closes a connection on which no complete request arrives within
    /// [`OrderSettings::idle_timeout`].
    ///
    /// An order is sent over a new connection that is opened before the lease is checked, so a
    /// paused holder writes to a connection that is older than its pause. After the old lease has
    /// expired, a new holder waits for the send timeout and the idle timeout. By then the target
    /// has closed the connection.
    IdleClose,
    /// The target does neither. A stale order takes effect if its sender was paused between the
    /// check and the write. The new holder undoes it: it repeats the role from time to time, and
    /// loads or unloads what differs in the target's report.
    Repair,
}

impl StaleOrderGuard {
    /// Returns how long a new holder waits after the previous lease has expired before it sends
    /// orders to the target.
    pub(crate) fn takeover_delay(self, settings: &OrderSettings) -> Duration {
        match self {
            Self::Fencing => Duration::ZERO,
            Self::IdleClose => settings.send_timeout + settings.idle_timeout,
            Self::Repair => settings.send_timeout,
        }
    }
}
