//! Events in the stream of an engine.

use celerypond_types::{Attempt, Position, RequestKey, TokenId, VersionName};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use thiserror::Error;

/// A token event of an engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Frame {
    /// The request that the token belongs to.
    pub request: RequestKey,
    /// The attempt that generated it.
    pub attempt: Attempt,
    /// The version that generated it.
    pub version: VersionName,
    /// Its position in the answer.
    pub position: Position,
    /// Its id.
    pub token: TokenId,
    /// Its text.
    pub text: SmolStr,
}

/// An event that marks the end of an answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Done {
    /// The request that was completed.
    pub request: RequestKey,
    /// The attempt that generated the last token.
    pub attempt: Attempt,
    /// The number of tokens of the complete answer.
    pub length: Position,
    /// Why generation ended.
    pub reason: FinishReason,
}

/// Why the generation of an answer ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FinishReason {
    /// The model ended the answer.
    Stop,
    /// The answer reached the maximum number of tokens that the caller asked for.
    Length,
}

/// An event in the stream of an engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Event {
    /// A token.
    Frame(Frame),
    /// The end.
    Done(Done),
}

/// An error in the data of a stream event.
#[derive(Debug, Error)]
pub enum EventError {
    /// The data is not valid JSON, or a field is missing.
    #[error("malformed stream event")]
    Malformed(#[from] serde_json::Error),
}

/// The fields of both kinds of event, distinguished by `done`. Avoids the buffering that serde
/// needs to parse an untagged enum.
#[derive(Deserialize)]
struct RawEvent {
    request: RequestKey,
    attempt: Attempt,
    #[serde(default)]
    done: bool,
    version: Option<VersionName>,
    position: Option<Position>,
    token: Option<TokenId>,
    text: Option<SmolStr>,
    length: Option<Position>,
    reason: Option<FinishReason>,
}

impl Event {
    /// Parses the data of one server-sent event.
    ///
    /// # Errors
    ///
    /// Returns [`EventError::Malformed`] if the text is truncated or not valid JSON, or if a field
    /// is missing.
    ///
    /// # Examples
    ///
    /// ```
    /// use celerypond_answer::{Event, FinishReason};
    ///
    /// let data = r#"{"request":"r","attempt":0,"done":true,"length":7,"reason":"stop"}"#;
    /// let Event::Done(done) = Event::parse(data).unwrap() else { panic!() };
    /// assert_eq!(done.reason, FinishReason::Stop);
    /// assert!(Event::parse(&data[..40]).is_err());
    /// ```
    pub fn parse(data: &str) -> Result<Self, EventError> {
        let raw: RawEvent = serde_json::from_str(data)?;
        raw.into_event()
            .map_err(serde::de::Error::missing_field)
            .map_err(EventError::Malformed)
    }
}

impl RawEvent {
    fn into_event(self) -> Result<Event, &'static str> {
        if self.done {
            return Ok(Event::Done(Done {
                request: self.request,
                attempt: self.attempt,
                length: self.length.ok_or("length")?,
                reason: self.reason.ok_or("reason")?,
            }));
        }
        Ok(Event::Frame(Frame {
            request: self.request,
            attempt: self.attempt,
            version: self.version.ok_or("version")?,
            position: self.position.ok_or("position")?,
            token: self.token.ok_or("token")?,
            text: self.text.ok_or("text")?,
        }))
    }
}
