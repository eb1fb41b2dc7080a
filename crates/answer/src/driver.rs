//! Attempt numbers that are unique across the drivers of a request.

use celerypond_types::Attempt;
use rand::Rng;

const RETRY_BITS: u32 = 10;
const DRIVER_BITS: u32 = 14;
const TERM_SHIFT: u32 = RETRY_BITS + DRIVER_BITS;
const DRIVER_MASK: u16 = (1 << DRIVER_BITS) - 1;
const RETRY_MASK: u32 = (1 << RETRY_BITS) - 1;

/// The random id of a driver, which makes its attempt numbers differ from those of other drivers.
///
/// An attempt number consists of a term, which increases with each takeover, the driver id and a
/// retry counter, from the highest bits to the lowest. A later driver or a later retry of the same
/// driver always has a higher number.
///
/// Two instances that start to drive a request at the same time, without knowing of each other,
/// would otherwise use the same attempt number: an engine would have two streams with one id, and
/// tokens of one would get into the answer of the other. Their ids are equal with a probability of
/// 1 in 16,384. If they differ, the driver with the higher number wins at the keepers.
///
/// # Examples
///
/// ```
/// use celerypond_answer::DriverId;
///
/// let (one, two) = (DriverId::new(1), DriverId::new(2));
/// assert!(one.first_attempt() < two.first_attempt());
/// assert!(two.first_attempt() < one.first_attempt_after(two.first_attempt()).unwrap());
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DriverId(u16);

impl DriverId {
    /// Creates an id from the low 14 bits of `id`.
    pub const fn new(id: u16) -> Self {
        Self(id & DRIVER_MASK)
    }

    /// Draws a random id.
    pub fn random(rng: &mut impl Rng) -> Self {
        Self::new(rng.random())
    }

    /// Returns the first attempt number for a request that had no driver before.
    pub const fn first_attempt(self) -> Attempt {
        Attempt((self.0 as u32) << RETRY_BITS)
    }

    /// Returns the first attempt number after a takeover from a driver that reached `attempt`, or
    /// `None` if the term overflows.
    pub fn first_attempt_after(self, attempt: Attempt) -> Option<Attempt> {
        let term = (attempt.0 >> TERM_SHIFT) + 1;
        let shifted = term.checked_mul(1 << TERM_SHIFT)?;
        Some(Attempt(shifted | self.first_attempt().0))
    }

    /// Returns the number of the driver's next attempt after `attempt`, or `None` if its retry
    /// counter overflows.
    pub fn next_attempt(attempt: Attempt) -> Option<Attempt> {
        (attempt.0 & RETRY_MASK < RETRY_MASK).then(|| attempt.next())
    }
}
