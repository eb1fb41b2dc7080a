//! Deterministic traffic shares.

/// One whole share, in parts per million.
pub const FULL_SHARE_PPM: u32 = 1_000_000;

/// Sends a share of requests to a version by error diffusion.
///
/// Drawing each request by chance overshoots with small counts: at 1 % the first hundred requests may
/// well hold four. Here the count of any prefix stays within one of the share.
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
    /// Returns whether the next request goes to the version, whose share is in parts per million.
    pub fn selects_next(&mut self, share_ppm: u32) -> bool {
        // A credit saved up under an earlier share must not be spent once the share is zero.
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

/// Returns whether the request with this number goes to a version, for counters that threads share.
///
/// It is the same error diffusion without state: of the first n requests, the whole part of the share of
/// n are chosen.
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
