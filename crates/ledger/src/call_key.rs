//! The key of a call and the tag of its body.

use std::fmt;

use celerypond_types::{AccountName, Digest, RequestKey};
use serde::{Deserialize, Deserializer, Serialize, Serializer};

/// The identity of a keyed call: a digest of the account and the caller's key.
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

/// A digest of a call's body, by which the reuse of a key for another call is found.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
pub struct RequestFingerprint(u64);

impl CallKey {
    /// Makes the key of a call.
    pub fn of(account: &AccountName, key: &RequestKey) -> Self {
        let account = account.as_str();
        // The length keeps two accounts from making the same text by moving the border.
        let text = format!("{}:{account}{key}", account.len());
        Self(leading(Digest::of(text.as_bytes())))
    }

    /// Returns the shard of this key out of `count`, which must not be 0.
    pub const fn shard(self, count: u16) -> u16 {
        (self.0 % count as u128) as u16
    }
}

impl RequestFingerprint {
    /// Makes the tag of a call from its method, path and body.
    pub fn of(method: &str, path: &str, body: &[u8]) -> Self {
        let head = format!("{method} {path}\n");
        let text = [head.as_bytes(), body].concat();
        Self((leading(Digest::of(&text)) >> 64) as u64)
    }
}

fn leading(digest: Digest) -> u128 {
    let bytes = digest.as_bytes().iter().take(16);
    bytes.fold(0, |all, byte| all << 8 | u128::from(*byte))
}

macro_rules! hex {
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
            fn serialize<S: Serializer>(&self, out: S) -> Result<S::Ok, S::Error> {
                out.collect_str(self)
            }
        }

        impl<'de> Deserialize<'de> for $name {
            fn deserialize<D: Deserializer<'de>>(input: D) -> Result<Self, D::Error> {
                let text = smol_str::SmolStr::deserialize(input)?;
                let value = <$int>::from_str_radix(&text, 16);
                value.map(Self).map_err(serde::de::Error::custom)
            }
        }
    };
}

hex!(CallKey, u128, "{:032x}");
hex!(RequestFingerprint, u64, "{:016x}");
