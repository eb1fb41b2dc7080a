//! SHA-256 digests, written as 64 hexadecimal digits.

use std::{fmt, str::FromStr};

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};
use thiserror::Error;

const BYTES: usize = 32;

/// A SHA-256 digest.
///
/// # Examples
///
/// ```
/// use celerypond_types::Digest;
///
/// let digest = Digest::of(b"abc");
/// assert!(digest.to_string().starts_with("ba7816bf"));
/// assert_eq!(digest.to_string().parse::<Digest>().unwrap(), digest);
/// ```
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, JsonSchema)]
#[serde(try_from = "String", into = "String")]
#[schemars(with = "String")]
pub struct Digest([u8; BYTES]);

/// An error of parsing a digest.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum DigestError {
    /// The text does not have 64 characters.
    #[error("expected 64 hexadecimal digits, found {0} characters")]
    Length(usize),
    /// A character is not a hexadecimal digit.
    #[error("expected hexadecimal digits, found another character at {0}")]
    Digit(usize),
}

impl Digest {
    /// Computes the digest of `bytes`.
    pub fn of(bytes: &[u8]) -> Self {
        Self(Sha256::digest(bytes).into())
    }

    /// Returns the bytes of the digest.
    pub const fn as_bytes(&self) -> &[u8; BYTES] {
        &self.0
    }

    /// Returns the first eight digits, which suffice for display.
    pub fn short(&self) -> String {
        self.to_string()[..8].to_owned()
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for byte in self.0 {
            write!(f, "{byte:02x}")?;
        }
        Ok(())
    }
}

impl fmt::Debug for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Digest({self})")
    }
}

impl FromStr for Digest {
    type Err = DigestError;

    fn from_str(text: &str) -> Result<Self, DigestError> {
        let digits = text.as_bytes();
        if digits.len() != 2 * BYTES {
            return Err(DigestError::Length(text.chars().count()));
        }
        let mut bytes = [0; BYTES];
        for (index, digit) in digits.iter().enumerate() {
            let value = char::from(*digit)
                .to_digit(16)
                .ok_or(DigestError::Digit(index))?;
            bytes[index / 2] = bytes[index / 2] << 4 | value as u8;
        }
        Ok(Self(bytes))
    }
}

impl TryFrom<String> for Digest {
    type Error = DigestError;

    fn try_from(text: String) -> Result<Self, DigestError> {
        text.parse()
    }
}

impl From<Digest> for String {
    fn from(digest: Digest) -> Self {
        digest.to_string()
    }
}
