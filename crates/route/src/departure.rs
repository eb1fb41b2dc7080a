//! Determines whether a target is leaving, from sources that lag and disagree.

use serde::{Deserialize, Serialize};

/// How long the platform's list of instances must report a target as live without interruption
/// before that overrides the list's earlier report that it is leaving.
///
/// It must exceed the lag of the list. Otherwise reads from a lagging replica would reopen a target
/// that the list has closed.
pub const LIST_SETTLE_MS: u64 = 30_000;
/// The age up to which a departure notice is forwarded to peers.
const NOTICE_TTL_MS: u64 = 60_000;

/// The source that reported a target as leaving.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Origin {
    /// The platform's list of instances.
    List,
    /// The target itself, in a health check or a response.
    Target,
}

/// Whether a target accepts new requests, according to one source.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Availability {
    /// It accepts new requests.
    Live,
    /// It accepts no new requests.
    Leaving,
}

/// A report that a target is leaving, as instances exchange it.
///
/// It carries an age rather than a timestamp, since the clocks of instances differ. Transmission
/// delay makes a notice look newer than it is; at worst that keeps a target closed until its next
/// own report of being live.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DepartureNotice {
    /// The source of the report.
    pub origin: Origin,
    /// How long ago the report was received from that source, in milliseconds.
    pub age_ms: u64,
}

/// The latest reports of each origin about a target, in milliseconds of the process's clock.
///
/// If an instance learned from a target that it is leaving and then read a stale list that says it
/// is live, it would send requests that the target aborts. Therefore a report of being live only
/// overrides reports of the same origin, and a target is leaving while the latest report of either
/// origin says so. Each timestamp of a report only increases, so reports may arrive repeatedly and
/// in any order.
///
/// # Examples
///
/// ```
/// use celerypond_route::{Availability, DepartureState};
///
/// let state = DepartureState::default().observe_target(Availability::Leaving, 900, 1_000);
/// assert!(state.is_leaving());
/// // A stale list and the reply to an earlier probe change nothing.
/// assert!(state.observe_list(Availability::Live, 2_000).is_leaving());
/// assert!(state.observe_target(Availability::Live, 990, 2_000).is_leaving());
/// // The reply to a later probe does.
/// assert!(!state.observe_target(Availability::Live, 3_000, 3_001).is_leaving());
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DepartureState {
    target_leaving_at: Option<u64>,
    target_live_at: Option<u64>,
    list_leaving_at: Option<u64>,
    list_live_at: Option<u64>,
    /// Since when the list has reported the target as live without interruption.
    list_live_since: Option<u64>,
}

impl DepartureState {
    /// Applies a report by the target itself, in reply to a probe or request sent at `sent_ms`.
    #[must_use]
    pub fn observe_target(self, availability: Availability, sent_ms: u64, now_ms: u64) -> Self {
        match availability {
            Availability::Leaving => Self {
                target_leaving_at: self.target_leaving_at.max(Some(now_ms)),
                ..self
            },
            // The reply may have been delayed, so a live report counts from when the probe was
            // sent.
            Availability::Live => Self {
                target_live_at: self.target_live_at.max(Some(sent_ms)),
                ..self
            },
        }
    }

    /// Applies the state of the target in the platform's list.
    #[must_use]
    pub fn observe_list(self, availability: Availability, now_ms: u64) -> Self {
        match availability {
            Availability::Leaving => Self {
                list_leaving_at: self.list_leaving_at.max(Some(now_ms)),
                list_live_since: None,
                ..self
            },
            Availability::Live => {
                let list_live_since = self.list_live_since.unwrap_or(now_ms);
                let start = self.list_leaving_at.unwrap_or(0).max(list_live_since);
                let settled = now_ms.saturating_sub(start) >= LIST_SETTLE_MS;
                Self {
                    list_live_since: Some(list_live_since),
                    list_live_at: if settled {
                        Some(now_ms)
                    } else {
                        self.list_live_at
                    },
                    ..self
                }
            }
        }
    }

    /// Applies a notice from a peer. Peers only report that a target is leaving, never that it is
    /// live.
    #[must_use]
    pub fn observe_notice(self, notice: DepartureNotice, now_ms: u64) -> Self {
        let leaving_at = Some(now_ms.saturating_sub(notice.age_ms));
        match notice.origin {
            Origin::Target => Self {
                target_leaving_at: self.target_leaving_at.max(leaving_at),
                ..self
            },
            Origin::List => Self {
                list_leaving_at: self.list_leaving_at.max(leaving_at),
                ..self
            },
        }
    }

    /// Returns whether the target accepts no new requests.
    pub fn is_leaving(&self) -> bool {
        let is_closed =
            |leaving_at: Option<u64>, live_at| leaving_at.is_some() && leaving_at >= live_at;
        is_closed(self.target_leaving_at, self.target_live_at)
            || is_closed(self.list_leaving_at, self.list_live_at)
    }

    /// Returns the notices to send to peers: those still in effect and not too old.
    pub fn notices(&self, now_ms: u64) -> impl Iterator<Item = DepartureNotice> {
        let target = (Origin::Target, self.target_leaving_at, self.target_live_at);
        let list = (Origin::List, self.list_leaving_at, self.list_live_at);
        [target, list]
            .into_iter()
            .filter_map(move |(origin, leaving_at, live_at)| {
                let age_ms = now_ms.saturating_sub(leaving_at?);
                (leaving_at >= live_at && age_ms <= NOTICE_TTL_MS)
                    .then_some(DepartureNotice { origin, age_ms })
            })
    }
}
