//! Numbers the attempts of the instances that drive one request.

use celerypond_types::Attempt;
use rand::Rng;

const RETRY_BITS: u32 = 10;
const DRIVER_BITS: u32 = 14;
const TERM_SHIFT: u32 = RETRY_BITS + DRIVER_BITS;
const DRIVER_MASK: u16 = (1 << DRIVER_BITS) - 1;
const RETRY_MASK: u32 = (1 << RETRY_BITS) - 1;

/// One driver of a request: an instance that generates an answer for one connection of a caller.
///
/// An attempt number has three parts: the term, which rises with each take-over; the driver's
/// random id; and the try. A higher number is always the later driver's or the later try.
///
/// The failure: two instances start to drive one request at the same moment, and don't know of each
/// other. The symptom would be two streams of one name at an engine, and tokens of one in the
/// answer of the other. The id keeps their numbers apart, but for one chance in 16,384 of such
/// meetings, and the greater one wins at the keepers.
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
    /// Makes a driver with the low 14 bits of `id`.
    pub const fn new(id: u16) -> Self {
        Self(id & DRIVER_MASK)
    }

    /// Draws a id.
    pub fn random(rng: &mut impl Rng) -> Self {
        Self::new(rng.random())
    }

    /// Returns the number of the first attempt of a request that nobody drove before.
    pub const fn first_attempt(self) -> Attempt {
        Attempt((self.0 as u32) << RETRY_BITS)
    }

    /// Returns the first number after a driver that reached `attempt`, or `None` when the terms are
    /// used up.
    pub fn first_attempt_after(self, attempt: Attempt) -> Option<Attempt> {
        let term = (attempt.0 >> TERM_SHIFT) + 1;
        let shifted = term.checked_mul(1 << TERM_SHIFT)?;
        Some(Attempt(shifted | self.first_attempt().0))
    }

    /// Returns the number of the next try of the same driver, or `None` when they are used up.
    pub fn next_attempt(attempt: Attempt) -> Option<Attempt> {
        (attempt.0 & RETRY_MASK < RETRY_MASK).then(|| attempt.next())
    }
}
