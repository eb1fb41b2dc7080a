//! A hash chain over the token ids of an answer.

use std::fmt;

use celerypond_types::TokenId;
use rapidhash::v3::rapidhash_v3;
use serde::{Deserialize, Serialize};

const STATE_BYTES: usize = size_of::<u64>();
const TOKEN_BYTES: usize = size_of::<u32>();

/// A hash chain over all token ids of an answer so far.
///
/// Two instances, or two attempts, with the same position and digest have the same tokens. Each
/// step hashes the previous digest with the next token, so the digest depends on the order and the
/// number of tokens. The hash function is fixed (rapidhash version 3), because instances of
/// different builds exchange digests. It is not cryptographic: it detects mistakes, and
/// [`ResumeTokenCodec`](crate::ResumeTokenCodec) detects forgery.
///
/// # Examples
///
/// ```
/// use celerypond_answer::ChainDigest;
/// use celerypond_types::TokenId;
///
/// let forward = ChainDigest::of(&[TokenId(1), TokenId(2)]);
/// let reversed = ChainDigest::of(&[TokenId(2), TokenId(1)]);
/// assert_ne!(forward, reversed);
/// assert_eq!(forward, ChainDigest::of(&[TokenId(1)]).with(TokenId(2)));
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

    /// Returns the digest after one more token.
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
