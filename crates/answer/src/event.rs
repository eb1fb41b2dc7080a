//! Events of an engine's stream.

use celerypond_types::{Attempt, Position, RequestKey, TokenId, VersionName};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use thiserror::Error;

/// One token, as an engine sends it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Frame {
    /// The request that the token answers.
    pub request: RequestKey,
    /// The attempt that generated it.
    pub attempt: Attempt,
    /// The version that generated it.
    pub version: VersionName,
    /// Its place in the answer.
    pub position: Position,
    /// Its id.
    pub token: TokenId,
    /// Its text.
    pub text: SmolStr,
}

/// The end of an answer, as an engine sends it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Done {
    /// The request that was answered.
    pub request: RequestKey,
    /// The attempt that came to its end.
    pub attempt: Attempt,
    /// How many tokens the whole answer has.
    pub length: Position,
    /// Why it ended.
    pub reason: FinishReason,
}

/// Why an answer ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FinishReason {
    /// The model ended it.
    Stop,
    /// It has as many tokens as the caller allowed.
    Length,
}

/// An event of an engine's stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Event {
    /// A token.
    Frame(Frame),
    /// The end.
    Done(Done),
}

/// The ways in which data of a stream is not an event.
#[derive(Debug, Error)]
pub enum EventError {
    /// It is not JSON, or misses a field.
    #[error("the data is not an event of a stream")]
    Malformed(#[from] serde_json::Error),
}

/// Both kinds of event, told apart by `done`; avoids the buffering of an untagged parse.
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
    /// [`EventError::Malformed`] when the text is cut short, is not JSON or misses a field.
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
