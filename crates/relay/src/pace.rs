//! The pace that a target states.

use std::time::Duration;

/// How long a target's work takes at a moment, relative to its usual time.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// use celerypond_relay::Pace;
///
/// let slow = Pace::from_percent(250.0).unwrap();
/// assert_eq!(slow.scale(Duration::from_millis(40)), Duration::from_millis(100));
/// // A target cannot take no time, and nobody waits for one that takes a thousand times as long.
/// assert_eq!(Pace::from_percent(0.0), None);
/// assert_eq!(Pace::from_percent(1e5), None);
/// ```
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Pace(f32);

/// The minimum of a plausible pace, as a multiple of the usual time.
const MIN_FACTOR: f64 = 0.05;
/// The maximum of a plausible pace.
const MAX_FACTOR: f64 = 100.0;

impl Pace {
    /// The usual pace.
    pub const USUAL: Self = Self(1.0);

    /// Returns the pace of a statement, in percent of the usual time; `None` if it is implausible.
    pub fn from_percent(percent: f64) -> Option<Self> {
        let factor = percent / 100.0;
        let is_plausible = (MIN_FACTOR..=MAX_FACTOR).contains(&factor);
        is_plausible.then_some(Self(factor as f32))
    }

    /// Returns the multiple of the usual time.
    pub fn factor(self) -> f64 {
        f64::from(self.0)
    }

    /// Returns the time that work of a usual time takes.
    pub fn scale(self, usual: Duration) -> Duration {
        usual.mul_f64(self.factor())
    }
}

impl Default for Pace {
    fn default() -> Self {
        Self::USUAL
    }
}
