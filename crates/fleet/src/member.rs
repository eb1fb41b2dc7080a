//! What is known of one instance.

use celerypond_types::{DataCentre, InstanceName};
use smol_str::SmolStr;
use tokio::time::Instant;

use crate::{Incarnation, Origin};

/// Failed exchanges in a row after which an instance is suspected.
const FAILURES_LIMIT: u8 = 2;

/// Whether an instance is worth sending work to.
///
/// This only steers. It never decides who may write: a paused instance is suspected and comes back,
/// and two halves of a partition suspect each other. Who may write is the store's condition alone.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum MemberState {
    /// It answers, or nothing else is known.
    Live,
    /// It does not answer, or a peer says so and it did not contradict.
    Suspected,
    /// It takes no new work, for the rest of its run.
    Leaving,
}

/// What is known of one instance.
#[derive(Clone, Debug)]
pub struct Member {
    /// Its name.
    pub name: InstanceName,
    /// Its address for peers.
    pub address: SmolStr,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Its run, once known.
    pub origin: Option<Origin>,
    /// The ordinal of its run.
    pub incarnation: Incarnation,
    /// Whether the platform's list has it.
    pub(crate) listed: bool,
    /// Whether the platform's list says that it leaves.
    pub(crate) list_leaving: bool,
    /// Whether this run said that it leaves. This is never taken back: the list lags, and would
    /// send it new work while it drains.
    pub(crate) leaving: bool,
    pub(crate) failures: u8,
    pub(crate) claim: Option<u64>,
    pub(crate) claimed: Option<Instant>,
    pub(crate) news: Instant,
}

impl Member {
    /// Returns whether the instance is worth sending work to.
    pub const fn state(&self) -> MemberState {
        if self.leaving || self.list_leaving {
            MemberState::Leaving
        } else if self.is_silent() {
            MemberState::Suspected
        } else {
            MemberState::Live
        }
    }

    /// Returns whether the instance seems not to answer, leaving or not.
    pub(crate) const fn is_silent(&self) -> bool {
        self.failures >= FAILURES_LIMIT || self.claim.is_some()
    }

    /// Returns whether one exchange failed and a second one would make it suspected.
    pub(crate) const fn is_doubtful(&self) -> bool {
        self.failures == FAILURES_LIMIT - 1
    }
}
