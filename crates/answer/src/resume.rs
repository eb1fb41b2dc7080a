//! What a caller sends to go on with an answer at any instance.

use celerypond_types::{Attempt, Position, TargetName, VersionName};
use thiserror::Error;

use crate::{ChainDigest, Stream};

pub(crate) const SEPARATOR: char = '.';
pub(crate) const TAIL_BYTES: usize = 12;
const FORMAT: u8 = 1;

/// What a caller sends to go on with an answer at any instance, as `Last-Event-ID`.
///
/// [`Seal`](crate::Seal) encodes and decodes it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResumeToken {
    /// The highest attempt number that the sender knew of.
    pub attempt: Attempt,
    /// The stream that the last token came from.
    pub stream: Stream,
    /// The version that generates the answer.
    pub version: VersionName,
    /// The seed of the answer.
    pub seed: u64,
    /// How many tokens the caller has.
    pub position: Position,
    /// The digest of those tokens.
    pub digest: ChainDigest,
}

/// The ways in which a text is not a resume token of this request.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum ResumeError {
    /// It does not have two parts.
    #[error("expected two parts")]
    Parts,
    /// A part is not in base 64.
    #[error("expected base 64")]
    Digits,
    /// The second part has another length.
    #[error("the second part has {0} bytes")]
    Length(usize),
    /// The tag does not agree: it was changed, or made for another request.
    #[error("the tag does not agree")]
    Tag,
    /// The tag agrees, but a later or earlier build wrote another format.
    #[error("the format is not known")]
    Format,
}

pub(crate) fn head(attempt: Attempt, stream: &Stream, version: &VersionName, seed: u64) -> Vec<u8> {
    let target = stream.target.as_str().as_bytes();
    let version = version.as_str().as_bytes();
    let mut bytes = Vec::with_capacity(21 + target.len() + version.len());
    bytes.push(FORMAT);
    bytes.extend(attempt.0.to_le_bytes());
    bytes.extend(stream.attempt.0.to_le_bytes());
    bytes.extend(seed.to_le_bytes());
    bytes.extend((target.len() as u32).to_le_bytes());
    bytes.extend(target);
    bytes.extend(version);
    bytes
}

pub(crate) fn tail(position: Position, digest: ChainDigest) -> [u8; TAIL_BYTES] {
    let mut bytes = [0; TAIL_BYTES];
    bytes[..4].copy_from_slice(&position.0.to_le_bytes());
    bytes[4..].copy_from_slice(&digest.0.to_le_bytes());
    bytes
}

pub(crate) fn parse(head: &[u8], tail: &[u8]) -> Result<ResumeToken, ResumeError> {
    read(head, tail).ok_or(ResumeError::Format)
}

fn read(mut head: &[u8], mut tail: &[u8]) -> Option<ResumeToken> {
    let [format] = take(&mut head)?;
    if format != FORMAT {
        return None;
    }
    let attempt = Attempt(u32::from_le_bytes(take(&mut head)?));
    let started = Attempt(u32::from_le_bytes(take(&mut head)?));
    let seed = u64::from_le_bytes(take(&mut head)?);
    let length = u32::from_le_bytes(take(&mut head)?) as usize;
    let (target, version) = head.split_at_checked(length)?;
    Some(ResumeToken {
        attempt,
        stream: Stream {
            target: TargetName::new(str::from_utf8(target).ok()?),
            attempt: started,
        },
        version: VersionName::new(str::from_utf8(version).ok()?),
        seed,
        position: Position(u32::from_le_bytes(take(&mut tail)?)),
        digest: ChainDigest(u64::from_le_bytes(take(&mut tail)?)),
    })
}

fn take<const N: usize>(bytes: &mut &[u8]) -> Option<[u8; N]> {
    let (first, rest) = bytes.split_first_chunk::<N>()?;
    *bytes = rest;
    Some(*first)
}
