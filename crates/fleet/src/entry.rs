//! What an instance tells of itself.

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use thiserror::Error;

/// The largest value of an entry, in bytes.
pub(crate) const VALUE_BYTES: usize = 1024;

/// Entries that one origin may have in one class.
pub(crate) const SLOTS: usize = 128;

/// How far and how soon entries spread; the order of the variants is the order of sending.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Class {
    /// Who an instance is and whether it leaves; to the whole fleet, pushed.
    Control,
    /// Sums over a group; to the whole fleet, pushed.
    Summary,
    /// What an instance saw and does; within its group, asked for.
    Evidence,
    /// What accounts ask of an instance; within its group, asked for.
    Demand,
    /// What targets do; within the group, asked for.
    Load,
}

impl Class {
    /// All classes.
    pub const ALL: [Self; 5] = [
        Self::Control,
        Self::Summary,
        Self::Evidence,
        Self::Demand,
        Self::Load,
    ];

    /// The classes that go to the whole fleet.
    pub const FLEET: [Self; 2] = [Self::Control, Self::Summary];

    /// The classes that stay within a group.
    pub const GROUP: [Self; 3] = [Self::Evidence, Self::Demand, Self::Load];

    /// Returns whether new entries are pushed to peers that did not ask.
    pub const fn is_pushed(self) -> bool {
        matches!(self, Self::Control | Self::Summary)
    }
}

/// What an entry is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum EntryKind {
    /// Name, run, address and data centre of the origin.
    Identity,
    /// A sign of life, sent only to contradict a claim of death.
    Alive,
    /// The origin takes no new work, for the rest of its run.
    Leaving,
    /// A target takes no new work; the key is its name.
    TargetLeaving,
    /// How many of a group act on which revision.
    ActingSummary,
    /// Evidence of a group about a version; the key names it.
    EvidenceSummary,
    /// Demand of a group by account.
    DemandSummary,
    /// Load of a group's targets by version.
    LoadSummary,
    /// The revision that the origin acts on.
    Acting,
    /// Evidence of one instance about a version; the key names it.
    Evidence,
    /// Demand at one instance; the key names the account.
    Demand,
    /// Load of the targets that the origin watches.
    TargetLoad,
}

impl EntryKind {
    /// Returns the class of the kind.
    pub const fn class(self) -> Class {
        match self {
            Self::Identity | Self::Alive | Self::Leaving | Self::TargetLeaving => Class::Control,
            Self::ActingSummary
            | Self::EvidenceSummary
            | Self::DemandSummary
            | Self::LoadSummary => Class::Summary,
            Self::Acting | Self::Evidence => Class::Evidence,
            Self::Demand => Class::Demand,
            Self::TargetLoad => Class::Load,
        }
    }

    /// Returns whether news of the kind is pushed at once instead of at the next round.
    pub const fn is_urgent(self) -> bool {
        matches!(self, Self::Leaving | Self::TargetLeaving)
    }
}

/// The content of an entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Item {
    /// What it is about.
    pub kind: EntryKind,
    /// What tells it from others of its kind; may be empty.
    pub key: SmolStr,
    /// The value, opaque here.
    pub value: Box<[u8]>,
}

/// An entry as it travels.
///
/// An origin numbers its slots and uses a slot again once it is cleared, so that an origin that runs
/// for months has no more entries than it ever had at once.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The place among the entries of its origin and class.
    pub slot: u16,
    /// The sequence number of the last change.
    pub sequence: u64,
    /// The content; nothing when the slot was cleared.
    pub item: Option<Item>,
}

/// The ways in which an entry cannot be set.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum EntryError {
    /// The value is longer than the bound.
    #[error("a value of {0} bytes is too long")]
    Long(usize),
    /// The class has all the entries that it may have.
    #[error("the class has no free slot")]
    Full,
}
