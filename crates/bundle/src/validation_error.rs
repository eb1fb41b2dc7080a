//! A fault in a document: where it is, what was expected and what stands there.

use std::fmt;

use celerypond_types::Digest;
use serde::Serialize;
use smol_str::SmolStr;
use thiserror::Error;

/// A fault in a document.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct ValidationError {
    /// Where it is, such as `models[0].base`.
    pub path: SmolStr,
    /// What stands there, shortened.
    pub found: SmolStr,
    /// What was expected.
    #[serde(serialize_with = "expected_text")]
    pub expected: Expected,
}

/// What was expected in place of a fault.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum Expected {
    /// A JSON document.
    #[error("a JSON document: {0}")]
    Json(SmolStr),
    /// What the JSON Schema says.
    #[error("{0}")]
    Schema(SmolStr),
    /// A field of that name.
    #[error("the field `{0}`")]
    Field(SmolStr),
    /// No field of that name.
    #[error("no field `{0}`")]
    NoField(SmolStr),
    /// A value that its type can hold; the text says what is wrong.
    #[error("a value that can be read: {0}")]
    Value(SmolStr),
    /// The version of the format that this program reads.
    #[error("format {0}")]
    Format(u32),
    /// A short name.
    #[error("1 to 63 of the characters a-z, A-Z, 0-9, `.`, `_` and `-`")]
    Name,
    /// A value that stands only once.
    #[error("a value that no other entry has")]
    Unique,
    /// The name of something of that kind in the document.
    #[error("the name of {0} of this document")]
    NameOf(EntryKind),
    /// A number in a range.
    #[error("a number from {0} to {1}")]
    Range(u64, u64),
    /// At least one entry.
    #[error("at least one entry")]
    NonEmptyList,
    /// Shares that sum to at most 100.
    #[error("shares that sum to at most 100")]
    ShareSum,
    /// A version other than the base.
    #[error("a version other than the base")]
    NotBase,
    /// A path that begins with a slash.
    #[error("a path that begins with `/`")]
    Path,
    /// An HTTP method in capitals.
    #[error("an HTTP method in capitals")]
    Method,
    /// The digest of a key, and not of an empty one.
    #[error("the digest of a key that is not empty")]
    KeyDigest,
}

/// A kind of named entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EntryKind {
    /// A target that is an engine.
    Engine,
    /// A target that is a process of a plain service.
    ServiceTarget,
    /// A version of the same model.
    Version,
}

impl fmt::Display for EntryKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Engine => "an engine",
            Self::ServiceTarget => "a target of kind service",
            Self::Version => "a version of the model",
        })
    }
}

impl ValidationError {
    /// Makes a fault; what was found is shortened for reading.
    pub fn new(path: impl AsRef<str>, found: impl AsRef<str>, expected: Expected) -> Self {
        const SHOWN: usize = 60;

        let mut text: String = found.as_ref().chars().take(SHOWN).collect();
        if found.as_ref().chars().count() > SHOWN {
            text.push('…');
        }
        Self {
            path: path.as_ref().into(),
            found: text.into(),
            expected,
        }
    }
}

impl fmt::Display for ValidationError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{}: found {}, expected {}",
            self.path, self.found, self.expected
        )
    }
}

/// The faults that one check collects.
#[derive(Clone, Debug, Default)]
pub(crate) struct ValidationErrors(pub(crate) Vec<ValidationError>);

impl ValidationErrors {
    /// Adds a fault.
    pub(crate) fn add(
        &mut self,
        path: impl AsRef<str>,
        found: impl AsRef<str>,
        expected: Expected,
    ) {
        self.0.push(ValidationError::new(path, found, expected));
    }

    /// Checks that a name has a form that is safe in paths, logs and object keys.
    pub(crate) fn name(&mut self, path: &str, name: &str) {
        const LONGEST: usize = 63;

        let plain = |c: char| c.is_ascii_alphanumeric() || matches!(c, '.' | '_' | '-');
        if name.is_empty() || name.len() > LONGEST || !name.chars().all(plain) {
            self.add(path, quoted(name), Expected::Name);
        }
    }

    /// Checks that a number lies in a range.
    pub(crate) fn range(&mut self, path: &str, value: u64, least: u64, most: u64) {
        if !(least..=most).contains(&value) {
            self.add(path, value.to_string(), Expected::Range(least, most));
        }
    }

    /// Checks that each value stands only once; the later place is the fault.
    pub(crate) fn unique<T: Ord + fmt::Display>(
        &mut self,
        values: impl Iterator<Item = (String, T)>,
    ) {
        let mut seen = std::collections::BTreeSet::new();
        for (path, value) in values {
            let text = value.to_string();
            if !seen.insert(value) {
                self.add(path, quoted(&text), Expected::Unique);
            }
        }
    }

    /// Checks that a key digest is not that of an empty key, which any caller could send.
    pub(crate) fn key_digest(&mut self, path: &str, digest: &Digest) {
        if *digest == Digest::of(b"") {
            self.add(path, digest.short(), Expected::KeyDigest);
        }
    }
}

/// Puts text in quotation marks, as it stands in the document.
pub(crate) fn quoted(text: &str) -> String {
    format!("{text:?}")
}

fn expected_text<S: serde::Serializer>(expected: &Expected, out: S) -> Result<S::Ok, S::Error> {
    out.collect_str(expected)
}
