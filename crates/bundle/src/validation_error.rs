//! Validation errors of a document.

use std::fmt;

use celerypond_types::Digest;
use serde::Serialize;
use smol_str::SmolStr;
use thiserror::Error;

/// A validation error at one place of a document.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct ValidationError {
    /// The path of the invalid value, such as `models[0].base`.
    pub path: SmolStr,
    /// The value or a description of it, truncated.
    pub found: SmolStr,
    /// The expected value.
    #[serde(serialize_with = "expected_text")]
    pub expected: Expected,
}

/// The value that was expected instead of an invalid one.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum Expected {
    /// A JSON document.
    #[error("a JSON document: {0}")]
    Json(SmolStr),
    /// A value that conforms to the JSON Schema, with a description.
    #[error("{0}")]
    Schema(SmolStr),
    /// A required field with this name.
    #[error("the field `{0}`")]
    Field(SmolStr),
    /// No field with this name.
    #[error("no field `{0}`")]
    NoField(SmolStr),
    /// A value that can be deserialized, with the error message.
    #[error("a value that can be read: {0}")]
    Value(SmolStr),
    /// The supported version of the format.
    #[error("format {0}")]
    Format(u32),
    /// A valid name.
    #[error("1 to 63 of the characters a-z, A-Z, 0-9, `.`, `_` and `-`")]
    Name,
    /// A value that no other entry has.
    #[error("a value that no other entry has")]
    Unique,
    /// The name of an entry of this kind in the document.
    #[error("the name of {0} of this document")]
    NameOf(EntryKind),
    /// A number from this minimum to this maximum.
    #[error("a number from {0} to {1}")]
    Range(u64, u64),
    /// A list with at least one entry.
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
    /// An HTTP method in upper case.
    #[error("an HTTP method in capitals")]
    Method,
    /// The digest of a non-empty key.
    #[error("the digest of a key that is not empty")]
    KeyDigest,
}

/// The kind of a named entry.
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
    /// Creates an error. `found` is truncated to a length that is readable in a message.
    pub fn new(path: impl AsRef<str>, found: impl AsRef<str>, expected: Expected) -> Self {
        const MAX_CHARS: usize = 60;

        let mut text: String = found.as_ref().chars().take(MAX_CHARS).collect();
        if found.as_ref().chars().count() > MAX_CHARS {
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

/// The errors that a validation collects.
#[derive(Clone, Debug, Default)]
pub(crate) struct ValidationErrors(pub(crate) Vec<ValidationError>);

impl ValidationErrors {
    /// Adds an error.
    pub(crate) fn add(
        &mut self,
        path: impl AsRef<str>,
        found: impl AsRef<str>,
        expected: Expected,
    ) {
        self.0.push(ValidationError::new(path, found, expected));
    }

    /// Checks that a name has only characters that are safe in paths, logs and object keys, and
    /// that its length is valid.
    pub(crate) fn check_name(&mut self, path: &str, name: &str) {
        const MAX_LEN: usize = 63;

        let is_allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '.' | '_' | '-');
        if name.is_empty() || name.len() > MAX_LEN || !name.chars().all(is_allowed) {
            self.add(path, quoted(name), Expected::Name);
        }
    }

    /// Checks that a number is in a range.
    pub(crate) fn check_range(&mut self, path: &str, value: u64, min: u64, max: u64) {
        if !(min..=max).contains(&value) {
            self.add(path, value.to_string(), Expected::Range(min, max));
        }
    }

    /// Checks that all values are different. The error is reported at the later of two equal
    /// values.
    pub(crate) fn check_unique<T: Ord + fmt::Display>(
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

    /// Checks that a digest is not that of the empty key, which any caller could send.
    pub(crate) fn check_key_digest(&mut self, path: &str, digest: &Digest) {
        if *digest == Digest::of(b"") {
            self.add(path, digest.short(), Expected::KeyDigest);
        }
    }
}

/// Quotes text as it appears in the document.
pub(crate) fn quoted(text: &str) -> String {
    format!("{text:?}")
}

fn expected_text<S: serde::Serializer>(expected: &Expected, out: S) -> Result<S::Ok, S::Error> {
    out.collect_str(expected)
}
