//! A running digest of token ids.

use std::fmt;

use celerypond_types::TokenId;
use rapidhash::v3::rapidhash_v3;
use serde::{Deserialize, Serialize};

const STATE_BYTES: usize = size_of::<u64>();
const TOKEN_BYTES: usize = size_of::<u32>();

/// A running digest of all token ids of an answer so far.
///
/// Two instances, or two attempts, that agree on the position and the digest hold the same tokens.
/// Each step digests the previous state with the next token, so both order and length count.
/// The function is fixed (rapidhash version 3), because digests travel between instances of
/// different builds. It guards against mistakes; [`ResumeTokenCodec`](crate::ResumeTokenCodec) guards against forgery.
///
/// # Examples
///
/// ```
/// use celerypond_answer::ChainDigest;
/// use celerypond_types::TokenId;
///
/// let forth = ChainDigest::of(&[TokenId(1), TokenId(2)]);
/// let back = ChainDigest::of(&[TokenId(2), TokenId(1)]);
/// assert_ne!(forth, back);
/// assert_eq!(forth, ChainDigest::of(&[TokenId(1)]).with(TokenId(2)));
/// ```
#[derive(Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ChainDigest(pub u64);

impl ChainDigest {
    /// Computes the digest of `tokens`.
    pub fn of(tokens: &[TokenId]) -> Self {
        tokens
            .iter()
            .fold(Self::default(), |digest, token| digest.with(*token))
    }

    /// Returns the digest with one more token.
    #[must_use]
    pub fn with(self, token: TokenId) -> Self {
        let mut bytes = [0; STATE_BYTES + TOKEN_BYTES];
        bytes[..STATE_BYTES].copy_from_slice(&self.0.to_le_bytes());
        bytes[STATE_BYTES..].copy_from_slice(&token.0.to_le_bytes());
        Self(rapidhash_v3(&bytes))
    }
}

impl fmt::Debug for ChainDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}
