//! Hashes that are the same in every instance.

use rapidhash::v3::rapidhash_v3;

/// Hashes a name or a piece of a prompt.
///
/// Instances must agree on the result, for a prefix goes to the same engines from everywhere.
///
/// # Examples
///
/// ```
/// use celerypond_route::hash;
///
/// assert_eq!(hash(b"bar, 20 mm"), hash(b"bar, 20 mm"));
/// assert_ne!(hash(b"bar, 20 mm"), hash(b"bar, 25 mm"));
/// ```
pub fn hash(bytes: &[u8]) -> u64 {
    rapidhash_v3(bytes)
}

/// Mixes two hashes into one.
pub(crate) const fn mix(left: u64, right: u64) -> u64 {
    // The finalizer of SplitMix64: every bit of the input moves about half of the output.
    let mut bits = left ^ right.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    bits = (bits ^ (bits >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    bits = (bits ^ (bits >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    bits ^ (bits >> 31)
}
