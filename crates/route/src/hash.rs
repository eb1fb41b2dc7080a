//! Hash functions with the same results in every instance.

use rapidhash::v3::rapidhash_v3;

/// Hashes a name or a prefix of a prompt.
///
/// All instances must get the same hash, so that they send a prefix to the same engines.
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

/// Combines two hashes.
pub(crate) const fn mix(left: u64, right: u64) -> u64 {
    // The finalizer of SplitMix64: each input bit flips about half of the output bits.
    let mut bits = left ^ right.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    bits = (bits ^ (bits >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    bits = (bits ^ (bits >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    bits ^ (bits >> 31)
}
