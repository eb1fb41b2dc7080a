//! The urgency of requests.

use serde::{Deserialize, Serialize};

/// The urgency of a request relative to others of its service; the lowest level is served first.
///
/// # Examples
///
/// ```
/// use celerypond_relay::Urgency;
///
/// assert!(Urgency::new(0).precedes(Urgency::new(2)));
/// assert_eq!(Urgency::new(200), Urgency::new(9));
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Urgency(u8);

impl Urgency {
    /// The number of levels.
    pub const LEVELS: usize = 10;

    /// The last level.
    pub const LAST: Self = Self::new(Self::LEVELS - 1);

    /// Returns the urgency of a level. Levels beyond the last one count as the last one.
    pub const fn new(level: usize) -> Self {
        let last = Self::LEVELS - 1;
        Self(if level < last {
            level as u8
        } else {
            last as u8
        })
    }

    /// Returns the level, from 0 for the most urgent to `LEVELS - 1`.
    pub const fn level(self) -> usize {
        self.0 as usize
    }

    /// Returns whether it is the most urgent level.
    pub const fn is_first(self) -> bool {
        self.0 == 0
    }

    /// Returns whether requests of this urgency are served before those of another one.
    pub const fn precedes(self, other: Self) -> bool {
        self.0 < other.0
    }
}

impl Default for Urgency {
    /// The urgency of requests of services whose requests are all equally urgent.
    fn default() -> Self {
        Self(5)
    }
}
