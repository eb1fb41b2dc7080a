//! What this instance knows of another one.

use celerypond_types::{DataCentre, InstanceName};
use smol_str::SmolStr;
use tokio::time::Instant;

use crate::{Incarnation, Origin};

/// Number of consecutive failed exchanges after which an instance is suspected.
const SUSPECT_AFTER_FAILURES: u8 = 2;

/// Whether work should be sent to an instance.
///
/// The state is a hint for routing and may be wrong: a paused instance is suspected although it will
/// resume, and the two sides of a partition suspect each other. It must not decide which instance may
/// write; only a conditional write to the store decides that.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum MemberState {
    /// Not known to be unresponsive or leaving.
    Live,
    /// It does not respond to this instance, or a peer claims so and it has not refuted the claim.
    Suspected,
    /// It accepts no new work for the rest of its run.
    Leaving,
}

/// What this instance knows of another one.
#[derive(Clone, Debug)]
pub struct Member {
    /// The name.
    pub name: InstanceName,
    /// The address at which peers reach it.
    pub address: SmolStr,
    /// The data centre.
    pub data_centre: DataCentre,
    /// The key of its latest known run; `None` until it has been heard of by gossip.
    pub origin: Option<Origin>,
    /// The number of its latest known run.
    pub incarnation: Incarnation,
    /// Whether the platform's list contains it.
    pub(crate) listed: bool,
    /// Whether the platform's list marks it as leaving.
    pub(crate) listed_as_leaving: bool,
    /// Whether this run has announced that it is leaving. Never reset within the run: the list lags
    /// behind, and would have new work sent to the instance while it drains.
    pub(crate) announced_leaving: bool,
    /// Number of consecutive failed exchanges with it.
    pub(crate) failures: u8,
    /// The sequence number in the claim that it does not respond, unless that has been refuted.
    pub(crate) claim: Option<u64>,
    /// When the last claim about it was accepted.
    pub(crate) last_claim: Option<Instant>,
    /// When it last sent a message or published a control entry.
    pub(crate) last_heard: Instant,
    /// Its run before the latest one, if that was known.
    pub previous_run: Option<PreviousRun>,
}

/// A run of an instance that a later one has replaced.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PreviousRun {
    /// The number of the run.
    pub incarnation: Incarnation,
    /// When it last sent a message or published a control entry.
    pub last_heard: Instant,
}

impl Member {
    /// Returns whether work should be sent to the instance.
    pub const fn state(&self) -> MemberState {
        if self.announced_leaving || self.listed_as_leaving {
            MemberState::Leaving
        } else if self.is_unresponsive() {
            MemberState::Suspected
        } else {
            MemberState::Live
        }
    }

    /// Returns when the latest run last sent a message or published a control entry.
    pub const fn last_heard(&self) -> Instant {
        self.last_heard
    }

    /// Returns whether the instance seems not to respond, whether or not it is leaving.
    pub(crate) const fn is_unresponsive(&self) -> bool {
        self.failures >= SUSPECT_AFTER_FAILURES || self.claim.is_some()
    }

    /// Returns whether one more failed exchange would make it suspected.
    pub(crate) const fn is_almost_suspected(&self) -> bool {
        self.failures == SUSPECT_AFTER_FAILURES - 1
    }
}
