//! Plans how an instance takes over an answer.

use celerypond_types::{Attempt, InstanceName, Position, TokenId};
use thiserror::Error;

use crate::{ChainDigest, DriverId, KeeperRecord, Origin, ResumeToken};

/// The plan by which an instance takes over an answer that another driver started.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TakeOver {
    /// The first attempt number of the new driver.
    pub attempt: Attempt,
    /// The stream to resume, with its version and seed.
    pub origin: Origin,
    /// The origin of the caller's last token, if `origin` is a later attempt known to the keepers.
    /// That attempt may belong to another caller's driver and have other tokens.
    pub fallback: Option<Origin>,
    /// The instance that drove the request before, if the keepers have a record.
    pub previous_instance: Option<InstanceName>,
    /// The number of tokens that the caller has.
    pub delivered: Position,
    /// The digest of those tokens.
    pub digest: ChainDigest,
    /// The known first tokens of the answer.
    pub prefix: Vec<TokenId>,
    /// The text of those tokens, if the answer is not streamed.
    pub text: String,
}

/// Why a request can't be taken over.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum TakeOverError {
    /// The tokens that the caller sent do not match its resume token.
    #[error("the tokens sent do not agree with the resume token")]
    TokenMismatch,
    /// The number of takeovers exceeds the range of the term.
    #[error("the request was taken over too often")]
    TermsExhausted,
}

impl TakeOver {
    /// Plans a takeover from the resume token of the caller and the record of the keepers. Returns
    /// `Ok(None)` if there is neither, so the request is a new one.
    ///
    /// `caller_tokens` are the token ids that the caller sent, or empty if it sent none.
    ///
    /// # Errors
    ///
    /// Returns a [`TakeOverError`] if the caller's tokens do not match its resume token, or if the
    /// term overflows.
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

/// Chooses the origin to resume first, and the fallback.
///
/// The version of the caller's tokens must not change. The later attempt comes first, unless its
/// record shows that it belongs to another driver whose tokens differ from the caller's.
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

/// Returns whether the tokens of a record are known to differ from the caller's.
fn diverges(record: &KeeperRecord, token: &ResumeToken) -> bool {
    record
        .prefix
        .get(..token.position.0 as usize)
        .is_some_and(|known| ChainDigest::of(known) != token.digest)
}

/// Returns the record if it belongs to the stream of `origin`.
fn record_for<'a>(record: Option<&'a KeeperRecord>, origin: &Origin) -> Option<&'a KeeperRecord> {
    record.filter(|record| *record.stream() == origin.stream)
}

/// Returns the known first tokens of the answer, and their text if the answer is buffered.
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
    // To deliver further tokens, their text is needed, which only the record of a buffered answer
    // has.
    if record.position() <= delivered || !record.text.is_empty() {
        return Ok((record.prefix.clone(), record.text.clone()));
    }
    let known = &record.prefix[..delivered.0 as usize];
    let agrees = ChainDigest::of(known) == digest;
    let tokens = if agrees { known.to_vec() } else { Vec::new() };
    Ok((tokens, String::new()))
}
