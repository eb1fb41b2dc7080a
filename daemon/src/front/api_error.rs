//! Errors as returned to callers, and replies in JSON.

use std::time::Duration;

use celerypond_types::NotRunReason;
use gotham::hyper::{Response, StatusCode};
use http::{header, HeaderValue};
use serde::Serialize;
use smol_str::SmolStr;

use crate::{body, front::Reply};

/// An error as returned to callers.
#[derive(Clone, Debug, Serialize)]
pub struct ApiError {
    /// The kind, which determines what the caller may do.
    pub kind: ErrorKind,
    /// The message, for humans.
    pub message: SmolStr,
    /// The time after which to retry, in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
    /// Whether the request was refused by the account's limit.
    #[serde(skip)]
    pub over_limit: bool,
}

/// The kind of an error, which determines what the caller may do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ErrorKind {
    /// The key is missing or wrong.
    Unauthorized,
    /// The request is malformed; it was not run.
    BadRequest,
    /// The request names something that does not exist; it was not run.
    NotFound,
    /// The request is larger than allowed; it was not run.
    TooLarge,
    /// The request conflicts with another one, or with the state of its subject.
    Conflict,
    /// The request did not run, and may be sent again.
    NotRun,
    /// The request may have run.
    Unknown,
    /// The answer could not be completed.
    Incomplete,
}

impl ErrorKind {
    fn status(self) -> StatusCode {
        match self {
            Self::Unauthorized => StatusCode::UNAUTHORIZED,
            Self::BadRequest => StatusCode::BAD_REQUEST,
            Self::NotFound => StatusCode::NOT_FOUND,
            Self::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::Conflict => StatusCode::CONFLICT,
            Self::NotRun => StatusCode::SERVICE_UNAVAILABLE,
            Self::Unknown => StatusCode::GATEWAY_TIMEOUT,
            Self::Incomplete => StatusCode::BAD_GATEWAY,
        }
    }
}

#[derive(Serialize)]
struct Wrapped<'a> {
    error: &'a ApiError,
}

impl ApiError {
    /// Creates an error.
    pub fn new(kind: ErrorKind, message: impl std::fmt::Display) -> Self {
        Self {
            kind,
            message: smol_str::format_smolstr!("{message}"),
            retry_after_ms: None,
            over_limit: false,
        }
    }

    /// Creates the error of a request that did not run and may be sent again after `retry_after`.
    pub fn not_run(reason: NotRunReason, retry_after: Duration) -> Self {
        Self {
            retry_after_ms: Some(retry_after.as_millis() as u64),
            over_limit: reason == NotRunReason::AccountLimit,
            ..Self::new(ErrorKind::NotRun, reason)
        }
    }

    /// Returns the error as JSON text.
    pub fn text(&self) -> String {
        serde_json::to_string(&Wrapped { error: self }).unwrap_or_default()
    }

    /// Returns the error as a reply.
    pub fn reply(&self) -> Reply {
        let status = match self.over_limit {
            true => StatusCode::TOO_MANY_REQUESTS,
            false => self.kind.status(),
        };
        let mut reply = json_text(status, self.text());
        if self.kind == ErrorKind::Unauthorized {
            let scheme = HeaderValue::from_static("Bearer");
            reply.headers_mut().insert(header::WWW_AUTHENTICATE, scheme);
        }
        if let Some(after) = self.retry_after_ms {
            // The header is in whole seconds; rounded down, callers would retry too early.
            let seconds = after.div_ceil(1000).max(1);
            reply
                .headers_mut()
                .insert(header::RETRY_AFTER, seconds.into());
        }
        reply
    }
}

/// Creates a JSON reply from a value.
pub fn json(status: StatusCode, value: &impl Serialize) -> Reply {
    json_text(status, serde_json::to_string(value).unwrap_or_default())
}

fn json_text(status: StatusCode, text: String) -> Reply {
    let mut reply = Response::new(body::full(text));
    *reply.status_mut() = status;
    let kind = HeaderValue::from_static("application/json");
    reply.headers_mut().insert(header::CONTENT_TYPE, kind);
    reply
}
