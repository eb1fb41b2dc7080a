//! Deterministic traffic splitting.

/// All traffic, in parts per million.
pub const FULL_SHARE_PPM: u32 = 1_000_000;

/// Selects a share of requests by error diffusion.
///
/// Random selection overshoots with small counts: at 1 % it may well select four of the first
/// hundred requests. Here the number selected of the first n requests stays within one of their
/// share.
///
/// # Examples
///
/// ```
/// use celerypond_rollout::TrafficSplitter;
///
/// let mut splitter = TrafficSplitter::default();
/// let chosen = (0..1_000).filter(|_| splitter.selects_next(10_000)).count();
/// assert_eq!(chosen, 10);
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TrafficSplitter {
    credit: u32,
}

impl TrafficSplitter {
    /// Returns whether to select the next request at a share in parts per million.
    pub fn selects_next(&mut self, share_ppm: u32) -> bool {
        // Credit from an earlier share must not select a request once the share is zero.
        if share_ppm == 0 {
            self.credit = 0;
            return false;
        }
        self.credit += share_ppm.min(FULL_SHARE_PPM);
        let is_chosen = self.credit >= FULL_SHARE_PPM;
        if is_chosen {
            self.credit -= FULL_SHARE_PPM;
        }
        is_chosen
    }
}

/// Returns whether to select the request with this number, for a counter that several threads
/// share.
///
/// This is stateless error diffusion: of the first n requests, the share of n rounded down is
/// selected.
///
/// # Examples
///
/// ```
/// use celerypond_rollout::selects;
///
/// assert_eq!((0..1_000).filter(|number| selects(*number, 10_000)).count(), 10);
/// ```
pub const fn selects(number: u64, share_ppm: u32) -> bool {
    let share = share_ppm as u128;
    let number = number as u128;
    let before = number * share / FULL_SHARE_PPM as u128;
    let after = (number + 1) * share / FULL_SHARE_PPM as u128;
    after > before
}
