//! Whether a target is leaving, from sources that lag and disagree.

use serde::{Deserialize, Serialize};

/// How long the list must say 'live' without a break before it takes back its own 'leaving'.
///
/// It must be longer than the list lags: a reader of a replica that is behind would otherwise
/// open a target that the list has closed.
pub const LIST_SETTLE_MS: u64 = 30_000;
/// How long a 'leaving' is passed on to peers.
const RELAY_MS: u64 = 60_000;

/// Who said that a target leaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Origin {
    /// The platform's list of instances.
    List,
    /// The target itself, by its health or by a response.
    Target,
}

/// What a source says of a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Availability {
    /// It takes new work.
    Live,
    /// It takes no new work.
    Leaving,
}

/// A 'leaving' as peers pass it on.
///
/// It carries its age, not a time: clocks of instances differ. Time on the wire makes the word
/// look younger than it is, which can only keep a target closed until its next own 'live'.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DepartureNotice {
    /// Who said it first.
    pub origin: Origin,
    /// How long ago it was heard, in milliseconds.
    pub age_ms: u64,
}

/// What the two origins last said of a target, in milliseconds of the process's clock.
///
/// The failure: an instance hears from a target that it leaves, then reads an old list that says
/// 'live', and sends work that the target cuts off. So each origin can only take back its own
/// word, and a target leaves as long as the last word of either is 'leaving'. All fields only
/// rise, so words may come in any order and twice.
///
/// # Examples
///
/// ```
/// use celerypond_route::{DepartureState, Availability};
///
/// let left = DepartureState::default().observe_target(Availability::Leaving, 900, 1_000);
/// assert!(left.is_leaving());
/// // A list that lags and an answer to an earlier probe change nothing.
/// assert!(left.observe_list(Availability::Live, 2_000).is_leaving());
/// assert!(left.observe_target(Availability::Live, 990, 2_000).is_leaving());
/// // An answer to a later probe does.
/// assert!(!left.observe_target(Availability::Live, 3_000, 3_001).is_leaving());
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DepartureState {
    target_left: Option<u64>,
    target_live: Option<u64>,
    list_left: Option<u64>,
    list_live: Option<u64>,
    /// Since when the list has said 'live' without a break.
    steady: Option<u64>,
}

impl DepartureState {
    /// Takes the target's own word, from a probe or request that was sent at `sent_ms`.
    #[must_use]
    pub fn observe_target(self, word: Availability, sent_ms: u64, now_ms: u64) -> Self {
        match word {
            Availability::Leaving => Self {
                target_left: self.target_left.max(Some(now_ms)),
                ..self
            },
            // The answer may have been late on its way: only when it was asked for counts.
            Availability::Live => Self {
                target_live: self.target_live.max(Some(sent_ms)),
                ..self
            },
        }
    }

    /// Takes the word of the platform's list.
    #[must_use]
    pub fn observe_list(self, word: Availability, now_ms: u64) -> Self {
        match word {
            Availability::Leaving => Self {
                list_left: self.list_left.max(Some(now_ms)),
                steady: None,
                ..self
            },
            Availability::Live => {
                let steady = self.steady.unwrap_or(now_ms);
                let start = self.list_left.unwrap_or(0).max(steady);
                let settled = now_ms.saturating_sub(start) >= LIST_SETTLE_MS;
                Self {
                    steady: Some(steady),
                    list_live: if settled {
                        Some(now_ms)
                    } else {
                        self.list_live
                    },
                    ..self
                }
            }
        }
    }

    /// Takes a 'leaving' that a peer passes on; a peer's 'live' is never taken.
    #[must_use]
    pub fn observe_notice(self, relay: DepartureNotice, now_ms: u64) -> Self {
        let heard = Some(now_ms.saturating_sub(relay.age_ms));
        match relay.origin {
            Origin::Target => Self {
                target_left: self.target_left.max(heard),
                ..self
            },
            Origin::List => Self {
                list_left: self.list_left.max(heard),
                ..self
            },
        }
    }

    /// Returns whether the target takes no new work.
    pub fn is_leaving(&self) -> bool {
        let closed = |left: Option<u64>, live| left.is_some() && left >= live;
        closed(self.target_left, self.target_live) || closed(self.list_left, self.list_live)
    }

    /// Returns what to pass on to peers: each 'leaving' that holds and is not too old.
    pub fn notices(&self, now_ms: u64) -> impl Iterator<Item = DepartureNotice> {
        let target = (Origin::Target, self.target_left, self.target_live);
        let list = (Origin::List, self.list_left, self.list_live);
        [target, list]
            .into_iter()
            .filter_map(move |(origin, left, live)| {
                let age_ms = now_ms.saturating_sub(left?);
                (left >= live && age_ms <= RELAY_MS).then_some(DepartureNotice { origin, age_ms })
            })
    }
}
