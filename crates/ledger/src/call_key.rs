//! The key of a call and the fingerprint of its request.

use std::fmt;

use celerypond_types::{AccountName, Digest, RequestKey};
use serde::{Deserialize, Deserializer, Serialize, Serializer};

/// The identity of a call with an idempotency key: a digest of the account and that key.
///
/// # Examples
///
/// ```
/// use celerypond_ledger::CallKey;
///
/// let key = CallKey::of(&"holding".into(), &"hold-17".into());
/// assert_ne!(key, CallKey::of(&"harrowgate".into(), &"hold-17".into()));
/// assert!(key.shard(16) < 16);
/// ```
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallKey(u128);

/// A digest of a call's method, path and body, which shows that a key is reused for another call.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
pub struct RequestFingerprint(u64);

impl CallKey {
    /// Computes the key of a call from the account and its idempotency key.
    pub fn of(account: &AccountName, key: &RequestKey) -> Self {
        let account = account.as_str();
        // Without the length, two accounts could make the same text by moving the boundary between
        // account and key.
        let text = format!("{}:{account}{key}", account.len());
        Self(leading_bits(Digest::of(text.as_bytes())))
    }

    /// Returns the shard of this key out of `count`, which must not be 0.
    pub const fn shard(self, count: u16) -> u16 {
        (self.0 % count as u128) as u16
    }
}

impl RequestFingerprint {
    /// Computes the fingerprint of a call from its method, path and body.
    pub fn of(method: &str, path: &str, body: &[u8]) -> Self {
        let head = format!("{method} {path}\n");
        let text = [head.as_bytes(), body].concat();
        Self((leading_bits(Digest::of(&text)) >> 64) as u64)
    }
}

/// Returns the first 128 bits of a digest.
fn leading_bits(digest: Digest) -> u128 {
    let bytes = digest.as_bytes().iter().take(16);
    bytes.fold(0, |bits, byte| bits << 8 | u128::from(*byte))
}

/// Implements formatting and serialization of an integer type as fixed-width hexadecimal text.
macro_rules! impl_hex_format {
    ($name:ident, $int:ty, $format:literal) => {
        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, $format, self.0)
            }
        }

        impl fmt::Debug for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, concat!(stringify!($name), "(", $format, ")"), self.0)
            }
        }

        impl Serialize for $name {
            fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
                serializer.collect_str(self)
            }
        }

        impl<'de> Deserialize<'de> for $name {
            fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
                let text = smol_str::SmolStr::deserialize(deserializer)?;
                let value = <$int>::from_str_radix(&text, 16);
                value.map(Self).map_err(serde::de::Error::custom)
            }
        }
    };
}

impl_hex_format!(CallKey, u128, "{:032x}");
impl_hex_format!(RequestFingerprint, u64, "{:016x}");
