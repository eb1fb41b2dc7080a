//! Failures as callers see them.

use std::time::Duration;

use celerypond_types::NotRunReason;
use gotham::hyper::{Response, StatusCode};
use http::{header, HeaderValue};
use serde::Serialize;
use smol_str::SmolStr;

use crate::{body, front::Reply};

/// A failure as callers see it.
#[derive(Clone, Debug, Serialize)]
pub struct Problem {
    /// What kind of failure it is, and so what the caller may do.
    pub kind: Kind,
    /// What happened, for people.
    pub message: SmolStr,
    /// When to come back, in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
    /// Whether it is the account's own limit that refuses.
    #[serde(skip)]
    pub over_limit: bool,
}

/// What kind of failure it is, and so what the caller may do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// The key is missing or wrong.
    Unauthorized,
    /// The request is not of the right form; it was not run.
    BadRequest,
    /// Something that the request names does not exist; it was not run.
    NotFound,
    /// The request is larger than allowed; it was not run.
    TooLarge,
    /// Something else came first.
    Conflict,
    /// The request did not run; it may be sent again.
    NotRun,
    /// The request may have run.
    Unknown,
    /// The answer could not be completed.
    Incomplete,
}

impl Kind {
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
    error: &'a Problem,
}

impl Problem {
    /// Makes a failure.
    pub fn new(kind: Kind, message: impl std::fmt::Display) -> Self {
        Self {
            kind,
            message: smol_str::format_smolstr!("{message}"),
            retry_after_ms: None,
            over_limit: false,
        }
    }

    /// Makes a refusal: the request did not run, and this is when to come back.
    pub fn not_run(reason: NotRunReason, retry_after: Duration) -> Self {
        Self {
            retry_after_ms: Some(retry_after.as_millis() as u64),
            over_limit: reason == NotRunReason::AccountLimit,
            ..Self::new(Kind::NotRun, reason)
        }
    }

    /// Returns the failure as JSON text.
    pub fn text(&self) -> String {
        serde_json::to_string(&Wrapped { error: self }).unwrap_or_default()
    }

    /// Returns the failure as a reply.
    pub fn reply(&self) -> Reply {
        let status = match self.over_limit {
            true => StatusCode::TOO_MANY_REQUESTS,
            false => self.kind.status(),
        };
        let mut reply = json_text(status, self.text());
        if self.kind == Kind::Unauthorized {
            let scheme = HeaderValue::from_static("Bearer");
            reply.headers_mut().insert(header::WWW_AUTHENTICATE, scheme);
        }
        if let Some(after) = self.retry_after_ms {
            // The header counts whole seconds; rounding down would bring callers back too early.
            let seconds = after.div_ceil(1000).max(1);
            reply
                .headers_mut()
                .insert(header::RETRY_AFTER, seconds.into());
        }
        reply
    }
}

/// Makes a JSON reply from a value.
pub fn json(status: StatusCode, value: &impl Serialize) -> Reply {
    json_text(status, serde_json::to_string(value).unwrap_or_default())
}

fn json_text(status: StatusCode, text: String) -> Reply {
    let mut reply = Response::new(body::whole(text));
    *reply.status_mut() = status;
    let kind = HeaderValue::from_static("application/json");
    reply.headers_mut().insert(header::CONTENT_TYPE, kind);
    reply
}
