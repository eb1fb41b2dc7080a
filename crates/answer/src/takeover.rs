//! What an instance needs to go on with an answer that another one began.

use celerypond_types::{Attempt, InstanceName, Position, TokenId};
use thiserror::Error;

use crate::{ChainDigest, DriverId, KeeperRecord, Origin, ResumeToken};

/// What an instance needs to go on with an answer that another one began.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TakeOver {
    /// The first attempt number of the new driver.
    pub attempt: Attempt,
    /// The stream, version and seed to go on with.
    pub origin: Origin,
    /// Where the caller's last token came from, if the keepers know of a later attempt that is looked
    /// at first. That one may belong to another caller's driver.
    pub fallback: Option<Origin>,
    /// The instance that drove the request before, if a keeper knew it.
    pub previous_instance: Option<InstanceName>,
    /// How many tokens the caller has.
    pub delivered: Position,
    /// The digest of those tokens.
    pub digest: ChainDigest,
    /// The first tokens of the answer, as far as they are known.
    pub prefix: Vec<TokenId>,
    /// The text of those tokens, if the answer is not streamed.
    pub text: String,
}

/// Why a request can't be taken over.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum TakeOverError {
    /// The tokens that the caller sent are not those that its resume token names.
    #[error("the tokens sent do not agree with the resume token")]
    TokenMismatch,
    /// The request was taken over more often than can be counted.
    #[error("the request was taken over too often")]
    TermsExhausted,
}

impl TakeOver {
    /// Plans a take-over from what the caller sent and what the keepers know; `Ok(None)` means that
    /// nothing is known, so the request is a new one.
    ///
    /// `caller_tokens` are the token ids that the caller sent back, or none.
    ///
    /// # Errors
    ///
    /// A [`TakeOverError`] when the caller's tokens are not those of its resume token, or when the
    /// terms are used up.
    ///
    /// # Examples
    ///
    /// ```
    /// use celerypond_answer::{DriverId, TakeOver};
    ///
    /// assert_eq!(TakeOver::plan(DriverId::new(1), None, None, &[]), Ok(None));
    /// ```
    pub fn plan(
        driver: DriverId,
        token: Option<&ResumeToken>,
        record: Option<&KeeperRecord>,
        caller_tokens: &[TokenId],
    ) -> Result<Option<Self>, TakeOverError> {
        let Some((origin, fallback)) = choose_origins(token, record) else {
            return Ok(None);
        };
        let known = [
            token.map(|token| token.origin.attempt),
            record.map(KeeperRecord::attempt),
        ];
        let highest = known.into_iter().flatten().max().unwrap_or_default();
        let attempt = driver
            .first_attempt_after(highest)
            .ok_or(TakeOverError::TermsExhausted)?;
        let delivered = token.map_or(Position(0), |token| token.position);
        let digest = token.map_or_else(ChainDigest::default, |token| token.digest);
        let (prefix, text) = known_prefix(
            delivered,
            digest,
            record_for(record, &origin),
            caller_tokens,
        )?;
        Ok(Some(Self {
            attempt,
            origin,
            fallback,
            previous_instance: record.map(|record| record.instance.clone()),
            delivered,
            digest,
            prefix,
            text,
        }))
    }
}

/// Chooses where to look for the answer's tokens first, and where then.
///
/// What the caller has fixes the version. The later attempt goes first, unless its record proves
/// that it is another driver's, which goes on from other tokens than the caller's.
fn choose_origins(
    token: Option<&ResumeToken>,
    record: Option<&KeeperRecord>,
) -> Option<(Origin, Option<Origin>)> {
    let (token, record) = match (token, record) {
        (Some(token), Some(record)) => (token, record),
        (token, record) => {
            let origin = token.map(|token| &token.origin);
            let only = origin.or(record.map(|record| &record.origin));
            return only.map(|only| (only.clone(), None));
        }
    };
    let own = token.origin.clone();
    if *record.version() != own.version || record.attempt() < own.attempt || diverges(record, token)
    {
        return Some((own, None));
    }
    let fallback = (*record.stream() != own.stream).then_some(own);
    Some((record.origin.clone(), fallback))
}

/// Whether a record's tokens are others than the caller's.
fn diverges(record: &KeeperRecord, token: &ResumeToken) -> bool {
    record
        .prefix
        .get(..token.position.0 as usize)
        .is_some_and(|known| ChainDigest::of(known) != token.digest)
}

/// Returns the record if it is about the stream of `origin`.
fn record_for<'a>(record: Option<&'a KeeperRecord>, origin: &Origin) -> Option<&'a KeeperRecord> {
    record.filter(|record| *record.stream() == origin.stream)
}

fn known_prefix(
    delivered: Position,
    digest: ChainDigest,
    record: Option<&KeeperRecord>,
    caller_tokens: &[TokenId],
) -> Result<(Vec<TokenId>, String), TakeOverError> {
    if !caller_tokens.is_empty() {
        let tokens = caller_tokens
            .get(..delivered.0 as usize)
            .ok_or(TakeOverError::TokenMismatch)?;
        if ChainDigest::of(tokens) != digest {
            return Err(TakeOverError::TokenMismatch);
        }
        return Ok((tokens.to_vec(), String::new()));
    }
    let Some(record) = record else {
        return Ok((Vec::new(), String::new()));
    };
    // Tokens that were not shown need their text, which only a buffered answer's record has.
    if record.position() <= delivered || !record.text.is_empty() {
        return Ok((record.prefix.clone(), record.text.clone()));
    }
    let known = &record.prefix[..delivered.0 as usize];
    let agrees = ChainDigest::of(known) == digest;
    let tokens = if agrees { known.to_vec() } else { Vec::new() };
    Ok((tokens, String::new()))
}
