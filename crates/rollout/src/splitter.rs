//! Deterministic traffic shares.

/// One whole share, in parts per million.
pub const WHOLE_PPM: u32 = 1_000_000;

/// Sends a share of requests to a version by error diffusion.
///
/// Drawing each request by chance overshoots with small counts: at 1 % the first hundred requests may
/// well hold four. Here the count of any prefix stays within one of the share.
///
/// # Examples
///
/// ```
/// use celerypond_rollout::Splitter;
///
/// let mut splitter = Splitter::default();
/// let chosen = (0..1_000).filter(|_| splitter.take(10_000)).count();
/// assert_eq!(chosen, 10);
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Splitter {
    credit: u32,
}

impl Splitter {
    /// Returns whether the next request goes to the version, whose share is in parts per million.
    pub fn take(&mut self, share_ppm: u32) -> bool {
        // A credit saved up under an earlier share must not be spent once the share is zero.
        if share_ppm == 0 {
            self.credit = 0;
            return false;
        }
        self.credit += share_ppm.min(WHOLE_PPM);
        let is_chosen = self.credit >= WHOLE_PPM;
        if is_chosen {
            self.credit -= WHOLE_PPM;
        }
        is_chosen
    }
}
