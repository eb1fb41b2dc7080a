//! Entries: what an instance publishes about itself.

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use thiserror::Error;

/// Maximum length of the value of an entry, in bytes.
pub(crate) const MAX_VALUE_BYTES: usize = 1024;

/// Maximum number of entries that one origin may have in one class.
pub(crate) const MAX_SLOTS: usize = 128;

/// Determines how far and by which means an entry spreads.
///
/// Entries are sent in the order of the variants, which are also used as array indices.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum EntryClass {
    /// Identity and leaving state of an instance. Fleet-wide; pushed.
    Control,
    /// Totals of a group. Fleet-wide; pushed.
    Summary,
    /// Rollout evidence and the revision in use at an instance. Group-local; sent on request.
    Evidence,
    /// Demand of accounts at an instance. Group-local; sent on request.
    Demand,
    /// Load of targets. Group-local; sent on request.
    Load,
}

impl EntryClass {
    /// All classes.
    pub const ALL: [Self; 5] = [
        Self::Control,
        Self::Summary,
        Self::Evidence,
        Self::Demand,
        Self::Load,
    ];

    /// The classes that spread to the whole fleet.
    pub const FLEET_WIDE: [Self; 2] = [Self::Control, Self::Summary];

    /// The classes that stay within a group.
    pub const GROUP_LOCAL: [Self; 3] = [Self::Evidence, Self::Demand, Self::Load];

    /// Returns whether new entries are pushed to peers without a request.
    pub const fn is_pushed(self) -> bool {
        matches!(self, Self::Control | Self::Summary)
    }
}

/// The subject of an entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum EntryKind {
    /// The encoded [`Identity`](crate::Identity) of the origin.
    Identity,
    /// Published only to refute a claim that the origin does not respond.
    Alive,
    /// The origin accepts no new work for the rest of its run.
    Leaving,
    /// A target accepts no new work; the key is its name.
    TargetLeaving,
    /// The number of instances of a group that use each revision.
    ActingSummary,
    /// Evidence of a group about a version, which is the key.
    EvidenceSummary,
    /// Demand of a group by account.
    DemandSummary,
    /// Load of a group's targets by version.
    LoadSummary,
    /// The revision that the origin uses.
    Acting,
    /// Evidence of one instance about a version, which is the key.
    Evidence,
    /// Demand of an account at one instance; the key is the name of the account.
    Demand,
    /// Load of the targets that the origin watches.
    TargetLoad,
}

impl EntryKind {
    /// Returns the class of the kind.
    pub const fn class(self) -> EntryClass {
        match self {
            Self::Identity | Self::Alive | Self::Leaving | Self::TargetLeaving => {
                EntryClass::Control
            }
            Self::ActingSummary
            | Self::EvidenceSummary
            | Self::DemandSummary
            | Self::LoadSummary => EntryClass::Summary,
            Self::Acting | Self::Evidence => EntryClass::Evidence,
            Self::Demand => EntryClass::Demand,
            Self::TargetLoad => EntryClass::Load,
        }
    }

    /// Returns whether changes are pushed immediately instead of in the next round.
    pub const fn is_urgent(self) -> bool {
        matches!(self, Self::Leaving | Self::TargetLeaving)
    }
}

/// The content of an entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Item {
    /// The kind.
    pub kind: EntryKind,
    /// Distinguishes entries of one kind; may be empty.
    pub key: SmolStr,
    /// The value, which this crate does not interpret.
    pub value: Box<[u8]>,
}

/// A slot of an origin, as sent to peers.
///
/// An origin reuses cleared slots. Peers therefore never hold more slots for an origin than it had
/// entries at one time, even if it runs for months.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The index of the slot within its origin and class.
    pub slot: u16,
    /// The sequence number of the last change.
    pub sequence: u64,
    /// The content, or `None` if the slot was cleared.
    pub item: Option<Item>,
}

/// An error that occurs while setting an entry.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum EntryError {
    /// The value exceeds the maximum length.
    #[error("value of {0} bytes exceeds the maximum length")]
    ValueTooLong(usize),
    /// The class already has the maximum number of entries.
    #[error("entry class has no free slot")]
    ClassFull,
}
